#include <catch2/catch.hpp>

#include "gateway/tests/gateway_fixture.h"

namespace limpetlink::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// @brief A host in "region" with workers there and in "other", each with
/// routes and an organisation that may be restricted to regions.
class RegionFixture : public GatewayFixture {
 public:
  RegionFixture() {
    for (const char* service : {"engines", "app"}) {
      const std::string name = service;
      this->Register(name + "-near-1", service);
      this->Register(name + "-near-2", service);
      this->Register(name + "-far-1", service, false, "there");
      this->Register(name + "-far-2", service, false, "there");
    }
  }

  void Restrict(const std::vector<std::string>& route,
                const std::vector<std::string>& organisation) {
    Deployment next = MakeDeployment(++this->version);
    for (ForwardingRoute& each : next.routes) {
      each.regions = route;
    }
    next.holders[0].regions = organisation;
    this->Publish(next);
  }

  std::uint64_t version = 10;
};

TEST_CASE_METHOD(RegionFixture,
                 "home regions, every combination and path, no worker outside "
                 "them gets a request",
                 "[gateway]") {
  const std::vector<std::vector<std::string>> lists = {
      {}, {"region"}, {"other"}, {"region", "other"}, {"unknown"}};
  const auto allows = [](const std::vector<std::string>& list,
                         const std::string& region) {
    return list.empty() ||
           std::find(list.begin(), list.end(), region) != list.end();
  };
  for (const auto& route : lists) {
    for (const auto& organisation : lists) {
      this->Restrict(route, organisation);
      const bool near =
          allows(route, "region") && allows(organisation, "region");
      const bool far = allows(route, "other") && allows(organisation, "other");
      for (const char* path : {"/lookup/7", "/order/7", "/stream/7"}) {
        CAPTURE(path, near, far);
        const RequestId id = this->SendRequest(path);
        std::vector<HttpCall> calls = this->TakeCalls();
        CHECK(calls.size() == (near || far ? 1 : 0));
        if (calls.empty()) {
          CHECK(this->ResponseTo(id).body.find("routing.102") !=
                std::string::npos);
          CHECK(this->ResponseTo(id).body.find("not_run") != std::string::npos);
          CHECK(FindHeader(this->ResponseTo(id).headers, "Retry-After") ==
                nullptr);
        }
        // Retries after refusals and failed connections, and second copies.
        for (int i = 0; i < 8 && !calls.empty(); ++i) {
          for (const HttpCall& call : calls) {
            const bool is_far = HeaderOf(call.headers, "worker").find("far") !=
                                std::string::npos;
            CHECK((is_far ? far : near));
            if (i % 2 == 0) {
              this->EndCall(call, HttpEnd::kNotConnected);
            } else {
              this->Respond(call, 503, "", {{"not-run", "yes"}});
            }
          }
          this->Advance(milliseconds(150));
          calls = this->TakeCalls();
        }
        CHECK(this->ResponseTo(id).ended);
      }
    }
  }
}

TEST_CASE_METHOD(RegionFixture,
                 "home regions, a stream's worker leaves, moves within them",
                 "[gateway]") {
  this->Restrict({"other"}, {});
  this->SendRequest("/stream/7");
  const HttpCall call = this->Call();
  const std::string source = HeaderOf(call.headers, "worker");
  REQUIRE(source.find("far") != std::string::npos);
  this->RespondHead(call, 200);
  this->RespondBytes(call, "id: 1\n\n");
  this->Register(source, "engines", true, "there");
  this->Respond(this->CallTo(source + ":80/report"), 200, "");
  this->Advance(milliseconds(20));
  const HttpCall copy = this->CallTo("/copy");
  CHECK(copy.body.find("engines-far") != std::string::npos);
}

/// @brief A host with two engines; what their responses tell about them.
class WorkerStateFixture : public GatewayFixture {
 public:
  WorkerStateFixture() {
    this->Register("one", "engines");
    this->Register("two", "engines");
  }

  /// @brief Sends streams until one is at the worker; the others end.
  HttpCall StreamAt(const std::string& worker) {
    for (int i = 0; i < 50; ++i) {
      this->SendRequest("/stream/7");
      HttpCall call = this->Call();
      if (HeaderOf(call.headers, "worker") == worker) {
        return call;
      }
      this->Respond(call, 200, "id: 1\n\n");
    }
    FAIL("no stream was placed at " << worker);
    return {};
  }

  /// @return how many of some streams are placed at the worker
  int StreamsPlacedAt(const std::string& worker) {
    int count = 0;
    for (int i = 0; i < 20; ++i) {
      this->SendRequest("/stream/7");
      for (const HttpCall& call : this->TakeCalls()) {
        count += HeaderOf(call.headers, "worker") == worker ? 1 : 0;
        this->Respond(call, 200, "id: 1\n\n");
      }
    }
    return count;
  }
};

TEST_CASE_METHOD(WorkerStateFixture,
                 "worker state, a response tells that its worker leaves, the "
                 "worker gets nothing new and the neighbours are told",
                 "[gateway]") {
  NeighbourMessage message;
  message.host = HostId{"10.0.0.3"};
  message.domain = FailureDomainId{"here"};
  message.address = "10.0.0.3:7";
  message.sequence = 1;
  this->ReceiveFromNeighbour(message);
  this->Advance(seconds(1));
  this->datagrams.clear();
  SECTION("in the head of a stream") {
    this->RespondHead(this->StreamAt("one"), 200, {{"leaving", "1"}});
  }
  SECTION("in a refusal") {
    this->Respond(this->StreamAt("one"), 503, "",
                  {{"not-run", "yes"}, {"leaving", "1"}});
    this->TakeCalls();
  }
  SECTION("in a report") {
    this->Respond(this->CallTo("one:80/report"), 200, "", {{"leaving", "1"}});
  }
  CHECK(this->StreamsPlacedAt("one") == 0);
  this->Advance(milliseconds(50));
  const auto tells = [](const PeerSend& sent) {
    const absl::StatusOr<NeighbourMessage> sent_message =
        DecodeNeighbourMessage(sent.bytes);
    return sent_message.ok() && sent_message->leaving.size() == 1 &&
           sent_message->leaving[0].worker.value == "one";
  };
  CHECK(std::any_of(this->datagrams.begin(), this->datagrams.end(), tells));
}

TEST_CASE_METHOD(WorkerStateFixture,
                 "worker state, a refusal asks for a pause, the worker gets "
                 "nothing until its end",
                 "[gateway]") {
  this->Register("two", "engines", true);
  this->Respond(this->StreamAt("one"), 503, "",
                {{"not-run", "yes"}, {"pause-ms", "2500"}});
  this->Advance(milliseconds(2400));
  CHECK(this->StreamsPlacedAt("one") == 0);
  this->Advance(milliseconds(200));
  CHECK(this->StreamsPlacedAt("one") == 20);
}

TEST_CASE_METHOD(WorkerStateFixture,
                 "worker state, all workers ask for a pause, requests are "
                 "refused at once until the first one's end",
                 "[gateway]") {
  this->Respond(this->StreamAt("one"), 503, "",
                {{"not-run", "yes"}, {"pause-ms", "2500"}});
  for (const HttpCall& call : this->TakeCalls()) {
    this->Respond(call, 200, "id: 1\n\n");
  }
  this->Respond(this->StreamAt("two"), 503, "",
                {{"not-run", "yes"}, {"pause-ms", "900"}});
  const RequestId id = this->SendRequest("/stream/7");
  CHECK(this->TakeCalls().empty());
  CHECK(this->ResponseTo(id).status == 503);
  CHECK(this->ResponseTo(id).body.find("not_run") != std::string::npos);
  const double seconds_to_wait =
      std::stod(HeaderOf(this->ResponseTo(id).headers, "Retry-After"));
  CHECK(seconds_to_wait >= 0.9);
  CHECK(seconds_to_wait < 1.7);
  this->Advance(milliseconds(1000));
  CHECK(this->StreamsPlacedAt("two") == 20);
}

TEST_CASE_METHOD(WorkerStateFixture,
                 "worker state, a worker restarts during its pause, gets "
                 "requests at once",
                 "[gateway]") {
  this->Respond(this->StreamAt("one"), 503, "",
                {{"not-run", "yes"}, {"pause-ms", "60000"}});
  this->TakeCalls();
  this->Unregister("one");
  this->Advance(seconds(3));
  this->Register("one", "engines");
  CHECK(this->StreamsPlacedAt("one") > 0);
}

/// @brief A host with two engines, of which one has named a limit.
class WorkerLimitFixture : public WorkerStateFixture {
 public:
  WorkerLimitFixture() {
    this->Answer(this->StreamAt("one"), {{"limit", "2"}});
    this->Advance(milliseconds(1000));
    this->Drop();
  }

  void Answer(const HttpCall& call, Headers headers) {
    this->Respond(call, 200, "id: 1\n\n", std::move(headers));
  }

  /// @brief Completes all other calls.
  void Drop() {
    for (const HttpCall& call : this->TakeCalls()) {
      this->Respond(call, 200, "id: 1\n\n");
    }
  }

  /// @return streams placed at the worker in a time; answered with the headers
  int PlacedIn(Duration span, const std::string& worker,
               const Headers& headers) {
    int count = 0;
    for (Duration passed{0}; passed < span; passed += milliseconds(50)) {
      this->Advance(milliseconds(50));
      this->SendRequest("/stream/7");
      for (const HttpCall& call : this->TakeCalls()) {
        const bool is_stream = call.url.find("/stream/") != std::string::npos;
        const bool counts =
            is_stream && HeaderOf(call.headers, "worker") == worker;
        count += counts ? 1 : 0;
        this->Respond(call, 200, "id: 1\n\n", counts ? headers : Headers{});
      }
    }
    return count;
  }
};

TEST_CASE_METHOD(WorkerLimitFixture,
                 "worker limit, named in a response, is kept until a response "
                 "without it",
                 "[gateway]") {
  const int placed = this->PlacedIn(seconds(10), "one", {{"limit", "2"}});
  CHECK(placed >= 15);
  CHECK(placed <= 21);
  this->PlacedIn(seconds(6), "one", {});
  CHECK(this->PlacedIn(seconds(4), "one", {}) > 16);
}

TEST_CASE_METHOD(WorkerLimitFixture,
                 "worker limit, unreadable in a response, neither begins nor "
                 "ends",
                 "[gateway]") {
  CHECK(this->PlacedIn(seconds(10), "one", {{"limit", "unreadable"}}) <= 21);
  CHECK(this->PlacedIn(seconds(4), "two", {{"limit", "unreadable"}}) > 60);
}

TEST_CASE_METHOD(WorkerLimitFixture,
                 "worker limit, a response that isn't the answer to its "
                 "request, neither begins nor ends it",
                 "[gateway]") {
  SECTION("late answer to an earlier request") {
    this->RespondHead(this->StreamAt("one"), 200, {{"id", "other"}});
  }
  SECTION("another worker at its address") {
    this->Respond(this->StreamAt("one"), 421, "", {{"not-run", "yes"}});
  }
  this->Drop();
  CHECK(this->PlacedIn(seconds(10), "one", {{"limit", "2"}}) <= 21);
}

TEST_CASE_METHOD(WorkerLimitFixture,
                 "worker limit, restarts, the worker is not limited",
                 "[gateway]") {
  this->Unregister("one");
  this->Advance(seconds(3));
  this->Drop();
  this->Register("one", "engines");
  CHECK(this->PlacedIn(seconds(4), "one", {}) > 16);
}

TEST_CASE_METHOD(WorkerLimitFixture,
                 "worker limit, a neighbour named it, is kept unless the "
                 "neighbour speaks of another incarnation",
                 "[gateway]") {
  NeighbourMessage message;
  message.host = HostId{"10.0.0.3"};
  message.domain = FailureDomainId{"here"};
  message.address = "10.0.0.3:7";
  message.sequence = 1;
  LimitNotice notice{UpstreamId{"two"}, 0, 1.0, milliseconds(50), {}};
  SECTION("this incarnation") {
    message.gossip.limits = {notice};
    this->ReceiveFromNeighbour(message);
    // Two hosts of one domain: this one's share is half of the limit.
    CHECK(this->PlacedIn(seconds(10), "two", {{"limit", "1"}}) <= 7);
  }
  SECTION("another incarnation") {
    notice.started_at = 1;
    message.gossip.limits = {notice};
    this->ReceiveFromNeighbour(message);
    CHECK(this->PlacedIn(seconds(10), "two", {}) > 50);
  }
}

}  // namespace
}  // namespace limpetlink::testing
