// What a worker gets from a host after it requested a pause from it.
#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "gateway/tests/gateway_fixture.h"

namespace limpetlink::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class PauseFixture : public GatewayFixture {
 public:
  PauseFixture() { this->Register("e1", "engines"); }

  /// @brief Opens streams at the engine, which have begun.
  std::vector<HttpCall> OpenStreams(int count) {
    std::vector<HttpCall> calls;
    for (int i = 0; i < count; ++i) {
      this->SendRequest("/stream/" + std::to_string(i));
      calls.push_back(this->Call());
      this->RespondHead(calls.back(), 200);
      this->RespondBytes(calls.back(), "id: 1\n\n");
    }
    return calls;
  }

  /// @brief The engine requests a pause of 3 s in its response to a request.
  void RequestPause(const std::string& pause_ms = "3000") {
    this->SendRequest("/stream/99");
    this->Respond(this->Call(), 503, "",
                  {{"not-run", "yes"}, {"pause-ms", pause_ms}});
    this->paused_at = this->now;
    this->sent_before = this->calls_to["e1:80"];
  }

  /// @return calls of any kind since half a second after the pause's request
  std::size_t CallsInPause() {
    return this->calls_to["e1:80"] - this->sent_before;
  }

  Instant paused_at{};
  std::size_t sent_before = 0;
};

TEST_CASE_METHOD(PauseFixture,
                 "worker pause, requests that wait there are cut, is not asked "
                 "about each of them",
                 "[gateway]") {
  std::vector<HttpCall> streams;
  for (int i = 0; i < 8; ++i) {
    this->SendRequest("/stream/" + std::to_string(i));
    streams.push_back(this->Call());
  }
  this->RequestPause();
  this->Advance(milliseconds(600));
  for (const HttpCall& call : streams) {
    this->EndCall(call, HttpEnd::kCut);
  }
  this->Advance(milliseconds(2300));
  CHECK(this->CallsInPause() <= 2);
}

TEST_CASE_METHOD(PauseFixture,
                 "worker pause, it leaves as well, gets no command for each of "
                 "its streams",
                 "[gateway]") {
  this->OpenStreams(8);
  this->RequestPause();
  this->Register("e2", "engines");
  this->Advance(milliseconds(600));
  this->Register("e1", "engines", true);
  for (int i = 0; i < 8; ++i) {
    for (const HttpCall& report : this->TakeReports()) {
      this->Respond(report, 200, "");
    }
    for (const HttpCall& command : this->TakeCalls()) {
      this->Respond(command, 503, "");
    }
    this->Advance(milliseconds(280));
  }
  CHECK(this->CallsInPause() <= 2);
  // They are moved once the pause is over.
  this->Advance(seconds(2));
  CHECK(this->CallsInPause() > 2);
}

TEST_CASE_METHOD(PauseFixture,
                 "worker pause, another response names a shorter one or none, "
                 "lasts until the latest end",
                 "[gateway]") {
  const std::vector<HttpCall> streams = this->OpenStreams(2);
  this->SendRequest("/stream/50");
  const HttpCall waiting = this->Call();
  this->RequestPause();
  SECTION("shorter") {
    this->Respond(waiting, 503, "", {{"not-run", "yes"}, {"pause-ms", "500"}});
  }
  SECTION("none") { this->Respond(waiting, 503, "", {{"not-run", "yes"}}); }
  SECTION("a sound response") { this->Respond(waiting, 200, "id: 1\n\n"); }
  this->sent_before = this->calls_to["e1:80"];
  for (int i = 0; i < 20; ++i) {
    this->Advance(milliseconds(140));
    this->SendRequest("/stream/7");
  }
  CHECK(this->CallsInPause() == 0);
  this->Advance(milliseconds(300));
  this->SendRequest("/stream/7");
  CHECK(this->CallsInPause() >= 1);
}

}  // namespace
}  // namespace limpetlink::testing
