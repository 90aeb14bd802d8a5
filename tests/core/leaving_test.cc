#include <catch2/catch.hpp>

#include "tests/core/world.h"

namespace limpetlink::testing {
namespace {

constexpr Duration kLeavingPropagation = std::chrono::seconds(3);
constexpr Duration kRequestInterval = std::chrono::milliseconds(50);
constexpr Duration kRequestTimeout = std::chrono::seconds(10);
constexpr int kProbeRequests = 100;

/// Sends requests to both hosts in turn while engine 0 is leaving.
class LeavingFixture {
 protected:
  LeavingFixture() : simulation(FleetSimulationOptions{}) {
    REQUIRE(this->simulation.RunUntilReady());
    for (std::size_t i = 0; i < this->simulation.engines.size(); ++i) {
      this->simulation.platform.hosts.push_back(
          {"engine-" + std::to_string(i),
           "127.0.0.1:" + std::to_string(9000 + i), "upstream", "live"});
    }
    this->SendRequestsFor(std::chrono::seconds(5));
    REQUIRE(this->LeavingEngine().AcceptedCount() > 0);
  }

  EngineFake& LeavingEngine() { return *this->simulation.engines[0]; }

  void SetListedState(const std::string& state) {
    for (PlatformFake::Host& host : this->simulation.platform.hosts) {
      if (host.id == "engine-0") {
        host.state = state;
      }
    }
  }

  void SendRequestsFor(Duration time) {
    const Instant end = this->simulation.timeline.Now() + time;
    while (this->simulation.timeline.Now() < end) {
      CallerRequest request;
      request.method = "POST";
      request.path = "/v1/completions";
      request.body = R"({"model":"model","prompt":"p","stream":true})";
      this->next_host = 1 - this->next_host;
      this->simulation.Send(this->next_host, std::move(request),
                            kRequestTimeout);
      this->simulation.RunFor(kRequestInterval);
    }
  }

  /// Returns whether the leaving engine accepts nothing during further
  /// requests.
  bool ReceivesNoNewWork() {
    const std::uint64_t before = this->LeavingEngine().AcceptedCount();
    this->SendRequestsFor(kRequestInterval * kProbeRequests);
    return this->LeavingEngine().AcceptedCount() == before;
  }

  FleetSimulation simulation;
  std::size_t next_host = 0;
};

TEST_CASE_METHOD(
    LeavingFixture,
    "leaving engine, marked in the host list, gets no new work after 3 s") {
  this->SetListedState("leaving");
  this->SendRequestsFor(kLeavingPropagation);
  CHECK(this->ReceivesNoNewWork());
}

TEST_CASE_METHOD(
    LeavingFixture,
    "leaving engine, marked in its own report, gets no new work after 3 s") {
  this->LeavingEngine().ReportDraining(true);
  this->SendRequestsFor(kLeavingPropagation);
  CHECK(this->ReceivesNoNewWork());
}

TEST_CASE_METHOD(LeavingFixture,
                 "leaving engine, cleared by only one of two sources, still "
                 "gets no new work") {
  this->SetListedState("leaving");
  this->LeavingEngine().ReportDraining(true);
  this->SendRequestsFor(kLeavingPropagation);
  SECTION("the host list is stale and has it as live") {
    this->SetListedState("live");
  }
  SECTION("the engine withdraws its report") {
    this->LeavingEngine().ReportDraining(false);
  }
  this->SendRequestsFor(std::chrono::seconds(10));
  CHECK(this->ReceivesNoNewWork());
}

TEST_CASE_METHOD(
    LeavingFixture,
    "leaving engine, cleared by both sources, gets new work again") {
  this->SetListedState("leaving");
  this->SendRequestsFor(kLeavingPropagation);
  this->SetListedState("live");
  this->SendRequestsFor(std::chrono::seconds(20));
  CHECK_FALSE(this->ReceivesNoNewWork());
}

TEST_CASE_METHOD(LeavingFixture, "leaving engine, running streams, complete") {
  this->SetListedState("leaving");
  this->SendRequestsFor(kLeavingPropagation);
  this->simulation.RunFor(kRequestTimeout);
  for (const CallerLog& log : this->simulation.callers) {
    CHECK(log.body.find("data: [DONE]") != std::string::npos);
  }
}

}  // namespace
}  // namespace limpetlink::testing
