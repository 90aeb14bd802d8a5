#include <catch2/catch.hpp>

#include "gateway/tests/gateway_fixture.h"

namespace limpetlink::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// @brief A host with four engines and a neighbour that tells of crashes.
class QuarantineFixture : public GatewayFixture {
 public:
  QuarantineFixture() {
    for (const char* engine : {"one", "two", "three", "four"}) {
      this->Register(engine, "engines");
    }
    this->Register("app-1", "app");
    this->Register("app-2", "app");
  }

  /// @brief A stream is cut after its response head; the engine's report call
  /// ends as given.
  void CutInFirstOutput(HttpEnd report_end, const std::string& report = "") {
    // No two requests are alike.
    this->SendRequest("/stream/" + std::to_string(++this->last_path), "key-1",
                      "a,bad");
    const HttpCall call = this->Call();
    this->RespondHead(call, 200);
    this->EndCall(call, HttpEnd::kCut);
    const HttpCall check =
        this->CallTo(HeaderOf(call.headers, "worker") + ":80/report");
    if (report_end == HttpEnd::kComplete) {
      this->Respond(check, 200, report);
    } else {
      this->EndCall(check, report_end);
    }
    this->Advance(seconds(1));
  }

  /// @brief A neighbour tells that three engines ended under the part "bad".
  void ReceiveCrashes() {
    NeighbourMessage message;
    message.host = HostId{"10.0.0.3"};
    message.domain = FailureDomainId{"here"};
    message.address = "10.0.0.3:7";
    message.sequence = 1;
    for (int i = 0; i < 3; ++i) {
      message.gossip.evidence.crashes.push_back(
          {UpstreamId{std::to_string(i)}, 0, seconds(1 + 2 * i), {{"bad", 1}}});
    }
    this->ReceiveFromNeighbour(message);
  }

  bool Refused(RequestId id) {
    return this->ResponseTo(id).body.find("request.112") != std::string::npos;
  }

  int last_path = 100;
};

TEST_CASE_METHOD(QuarantineFixture,
                 "prompt quarantine, engines end in the first output of a "
                 "part's requests, refuses the fourth",
                 "[gateway]") {
  for (int i = 0; i < 3; ++i) {
    this->CutInFirstOutput(i == 1 ? HttpEnd::kComplete : HttpEnd::kNotConnected,
                           "restarted");
  }
  const RequestId id = this->SendRequest("/stream/7", "key-1", "b,bad");
  CHECK(this->Refused(id));
  CHECK(this->TakeCalls().empty());
  CHECK_FALSE(this->Refused(this->SendRequest("/stream/7", "key-1", "a,good")));
  CHECK(this->TakeCalls().size() == 1);
}

TEST_CASE_METHOD(QuarantineFixture,
                 "prompt quarantine, live engines cut streams, refuses nothing",
                 "[gateway]") {
  for (int i = 0; i < 4; ++i) {
    this->CutInFirstOutput(HttpEnd::kComplete);
  }
  for (int i = 0; i < 4; ++i) {
    this->CutInFirstOutput(HttpEnd::kTimeout);
  }
  CHECK_FALSE(this->Refused(this->SendRequest("/stream/7", "key-1", "a,bad")));
}

TEST_CASE_METHOD(QuarantineFixture,
                 "prompt quarantine, the check of an engine uses a connection "
                 "that was cut, asks again",
                 "[gateway]") {
  this->SendRequest("/stream/7", "key-1", "bad");
  const HttpCall call = this->Call();
  this->RespondHead(call, 200);
  this->EndCall(call, HttpEnd::kCut);
  const std::string report = HeaderOf(call.headers, "worker") + ":80/report";
  this->EndCall(this->CallTo(report), HttpEnd::kCut);
  this->EndCall(this->CallTo(report), HttpEnd::kNotConnected);
  const RequestId page = this->SendOperatorRequest("GET", "/metrics");
  CHECK(this->ResponseTo(page).body.find("limpet_worker_crashes_total 1") !=
        std::string::npos);
}

TEST_CASE_METHOD(QuarantineFixture,
                 "prompt quarantine, a stream that waits at its engine, is "
                 "withdrawn with an unknown outcome",
                 "[gateway]") {
  const RequestId bad = this->SendRequest("/stream/7", "key-1", "a,bad");
  const HttpCall waiting = this->Call();
  const RequestId good = this->SendRequest("/stream/8", "key-1", "a,good");
  this->ReceiveCrashes();
  CHECK(this->Cancelled(waiting));
  CHECK(this->ResponseTo(bad).status == 502);
  CHECK(this->ResponseTo(bad).body.find("unknown") != std::string::npos);
  CHECK_FALSE(this->ResponseTo(good).ended);
}

TEST_CASE_METHOD(QuarantineFixture,
                 "prompt quarantine, first attempt not run, sends no second "
                 "one and says so",
                 "[gateway]") {
  const RequestId id = this->SendRequest("/lookup/7", "key-1", "bad");
  const HttpCall call = this->Call();
  this->RespondHead(call, 503, {{"not-run", "yes"}});
  this->ReceiveCrashes();
  this->EndCall(call);
  CHECK(this->TakeCalls().empty());
  CHECK(this->Refused(id));
  CHECK(FindHeader(this->ResponseTo(id).headers, "Retry-After") == nullptr);
}

TEST_CASE_METHOD(QuarantineFixture,
                 "prompt quarantine, a silent lookup, gets no second copy",
                 "[gateway]") {
  this->SendRequest("/lookup/7", "key-1", "bad");
  const HttpCall call = this->Call();
  this->RespondHead(call, 200);  // has begun, so it isn't withdrawn
  this->ReceiveCrashes();
  this->Advance(seconds(1));
  CHECK(this->TakeCalls().empty());
}

TEST_CASE_METHOD(QuarantineFixture,
                 "prompt quarantine, an operator releases a part, forwards its "
                 "requests again and tells the neighbours",
                 "[gateway]") {
  this->ReceiveCrashes();
  const RequestId page = this->SendOperatorRequest("GET", "/v1/quarantine");
  CHECK(this->ResponseTo(page).body.find("\"input\":\"bad\"") !=
        std::string::npos);
  const RequestId unknown =
      this->SendOperatorRequest("POST", "/v1/quarantine/release", "good");
  CHECK(this->ResponseTo(unknown).status == 404);
  this->datagrams.clear();
  const RequestId released =
      this->SendOperatorRequest("POST", "/v1/quarantine/release", "bad");
  CHECK(this->ResponseTo(released).status == 200);
  CHECK_FALSE(this->Refused(this->SendRequest("/stream/7", "key-1", "bad")));
  this->Advance(milliseconds(50));
  const auto tells = [](const PeerSend& sent) {
    const absl::StatusOr<NeighbourMessage> message =
        DecodeNeighbourMessage(sent.bytes);
    return message.ok() && message->gossip.evidence.sound.size() == 1;
  };
  CHECK(std::any_of(this->datagrams.begin(), this->datagrams.end(), tells));
}

TEST_CASE_METHOD(QuarantineFixture,
                 "request quarantine, workers end while they run a request, "
                 "refuses it and nothing else",
                 "[gateway]") {
  Deployment next = MakeDeployment(11);
  next.holders.push_back(
      {OrganisationId{"committee"}, {Sha256Hex("key-2")}, std::nullopt});
  this->Publish(next);
  const auto crash = [this](const std::string& path) {
    const RequestId id = this->SendRequest(path, "key-1");
    const HttpCall call = this->Call();
    this->EndCall(call, HttpEnd::kCut);
    const std::string report = HeaderOf(call.headers, "worker") + ":80/report";
    this->EndCall(this->CallTo(report), HttpEnd::kNotConnected);
    this->TakeCalls();
    this->Advance(seconds(1));
    return id;
  };
  const RequestId first = crash("/order/7");
  CHECK(this->ResponseTo(first).status == 502);
  CHECK(this->ResponseTo(first).body.find("unknown") != std::string::npos);
  for (const char* worker : {"app-3", "app-4"}) {
    this->Register(worker, "app");
    crash("/order/7");
  }
  const RequestId repeat = this->SendRequest("/order/7", "key-1");
  CHECK(this->TakeCalls().empty());
  CHECK(this->Refused(repeat));
  CHECK(this->ResponseTo(repeat).body.find("not_run") != std::string::npos);
  CHECK_FALSE(this->Refused(this->SendRequest("/order/8", "key-1")));
  CHECK_FALSE(this->Refused(this->SendRequest("/order/7", "key-2")));
  CHECK(this->TakeCalls().size() == 2);
}

TEST_CASE_METHOD(QuarantineFixture,
                 "request quarantine, live workers cut a request, refuses "
                 "nothing",
                 "[gateway]") {
  for (int i = 0; i < 5; ++i) {
    this->SendRequest("/order/7", "key-1");
    const HttpCall call = this->Call();
    this->EndCall(call, HttpEnd::kCut);
    const std::string report = HeaderOf(call.headers, "worker") + ":80/report";
    this->Respond(this->CallTo(report), 404, "");
    this->Advance(seconds(1));
  }
  CHECK_FALSE(this->Refused(this->SendRequest("/order/7", "key-1")));
}

}  // namespace
}  // namespace limpetlink::testing
