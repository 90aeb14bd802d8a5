#include <catch2/catch.hpp>

#include "gateway/tests/gateway_fixture.h"

namespace limpetlink::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

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
      const HttpCall call = this->Call();
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

}  // namespace
}  // namespace limpetlink::testing
