#include <catch2/catch.hpp>

#include "tests/core/world.h"

namespace limpetlink::testing {
namespace {

constexpr Duration kNothingNewAfter = std::chrono::seconds(3);
constexpr Duration kBetweenRequests = std::chrono::milliseconds(50);
constexpr Duration kWait = std::chrono::seconds(10);
constexpr int kRequestsAfter = 100;

/// Requests go to both hosts all the time; engine 0 is the one that leaves.
class LeavingFixture {
 protected:
  LeavingFixture() : world(WorldOptions{}) {
    REQUIRE(this->world.RunUntilReady());
    for (std::size_t i = 0; i < this->world.engines.size(); ++i) {
      this->world.platform.hosts.push_back(
          {"engine-" + std::to_string(i),
           "127.0.0.1:" + std::to_string(9000 + i), "upstream", "live"});
    }
    this->SendFor(std::chrono::seconds(5));
    REQUIRE(this->Leaving().Accepted() > 0);
  }

  EngineFake& Leaving() { return *this->world.engines[0]; }

  void SetListed(const std::string& state) {
    for (PlatformFake::Host& host : this->world.platform.hosts) {
      if (host.id == "engine-0") {
        host.state = state;
      }
    }
  }

  void SendFor(Duration time) {
    const Instant end = this->world.timeline.Now() + time;
    while (this->world.timeline.Now() < end) {
      CallerRequest request;
      request.method = "POST";
      request.path = "/v1/completions";
      request.body = R"({"model":"model","prompt":"p","stream":true})";
      this->next_host = 1 - this->next_host;
      this->world.Send(this->next_host, std::move(request), kWait);
      this->world.RunFor(kBetweenRequests);
    }
  }

  /// Whether the leaving engine is given nothing while requests go on.
  bool GetsNothingNew() {
    const std::uint64_t before = this->Leaving().Accepted();
    this->SendFor(kBetweenRequests * kRequestsAfter);
    return this->Leaving().Accepted() == before;
  }

  World world;
  std::size_t next_host = 0;
};

TEST_CASE_METHOD(
    LeavingFixture,
    "leaving engine, host list says so, gets nothing new after 3 s") {
  this->SetListed("leaving");
  this->SendFor(kNothingNewAfter);
  CHECK(this->GetsNothingNew());
}

TEST_CASE_METHOD(
    LeavingFixture,
    "leaving engine, its own report says so, gets nothing new after 3 s") {
  this->Leaving().ReportDraining(true);
  this->SendFor(kNothingNewAfter);
  CHECK(this->GetsNothingNew());
}

TEST_CASE_METHOD(LeavingFixture,
                 "leaving engine, only one of two sources clears it, still "
                 "gets nothing new") {
  this->SetListed("leaving");
  this->Leaving().ReportDraining(true);
  this->SendFor(kNothingNewAfter);
  SECTION("the list lags and says live") { this->SetListed("live"); }
  SECTION("the report is taken back") { this->Leaving().ReportDraining(false); }
  this->SendFor(std::chrono::seconds(10));
  CHECK(this->GetsNothingNew());
}

TEST_CASE_METHOD(LeavingFixture,
                 "leaving engine, both sources clear it, is used again") {
  this->SetListed("leaving");
  this->SendFor(kNothingNewAfter);
  this->SetListed("live");
  this->SendFor(std::chrono::seconds(20));
  CHECK_FALSE(this->GetsNothingNew());
}

TEST_CASE_METHOD(LeavingFixture,
                 "leaving engine, streams in progress, end whole") {
  this->SetListed("leaving");
  this->SendFor(kNothingNewAfter);
  this->world.RunFor(kWait);
  for (const CallerLog& log : this->world.callers) {
    CHECK(log.body.find("data: [DONE]") != std::string::npos);
  }
}

}  // namespace
}  // namespace limpetlink::testing
