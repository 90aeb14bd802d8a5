#include <catch2/catch.hpp>
#include <csignal>

#include "tests/process/fleet_fixture.h"

namespace limpetlink::testing {
namespace {

class PlacementFixture : public FleetFixture {
 public:
  PlacementFixture() {
    this->StartPlacement(1);
    this->StartPlacement(2);
  }

  void SetDesiredVersion(const std::string& version) {
    for (nlohmann::json& model : this->document["models"]) {
      model["version"] = version;
    }
    this->WriteFleet();
  }

  nlohmann::json LoadReport(int engine) {
    return this->caller.Call("GET", this->EngineUrl(engine, "/v1/load")).Json();
  }

  bool AllEnginesServe(const std::string& version) {
    for (int engine = 1; engine <= kEngines; ++engine) {
      if (this->LoadReport(engine).value("version", "") != version) {
        return false;
      }
    }
    return true;
  }

  /// Returns the number of the placement host that holds the lease; 0 if none.
  int LeaseHolder() {
    const std::string lease =
        this->caller
            .Call("GET", this->PlatformUrl("/v1/objects/lease/placement"))
            .body;
    for (const int number : {1, 2}) {
      if (lease.find("placement-" + std::to_string(number)) !=
          std::string::npos) {
        return number;
      }
    }
    return 0;
  }
};

}  // namespace

TEST_CASE_METHOD(
    PlacementFixture,
    "engine commands, a new desired version, every engine serves it") {
  this->SetDesiredVersion("next");
  CHECK(WaitUntil([this] { return this->AllEnginesServe("next"); }));
}

TEST_CASE_METHOD(PlacementFixture,
                 "engine commands, the holder dies, the other continues with a "
                 "higher fence") {
  this->SetDesiredVersion("next");
  REQUIRE(WaitUntil([this] { return this->AllEnginesServe("next"); }));
  const std::uint64_t fence = this->LoadReport(1)["fence"];
  const int holder = this->LeaseHolder();
  REQUIRE(holder != 0);
  this->placements.at(holder)->Signal(SIGKILL);
  this->SetDesiredVersion("newest");
  CHECK(WaitUntil([this] { return this->AllEnginesServe("newest"); }));
  CHECK(this->LoadReport(1)["fence"].get<std::uint64_t>() > fence);
}

TEST_CASE_METHOD(
    PlacementFixture,
    "engine commands, the holder is paused and resumes, keep the later state") {
  this->SetDesiredVersion("next");
  REQUIRE(WaitUntil([this] { return this->AllEnginesServe("next"); }));
  const int holder = this->LeaseHolder();
  REQUIRE(holder != 0);
  this->placements.at(holder)->Signal(SIGSTOP);
  this->SetDesiredVersion("newest");
  REQUIRE(WaitUntil([this] { return this->AllEnginesServe("newest"); }));
  const std::uint64_t fence = this->LoadReport(1)["fence"];
  this->placements.at(holder)->Signal(SIGCONT);
  this->SetDesiredVersion("last");
  CHECK(WaitUntil([this] { return this->AllEnginesServe("last"); }));
  CHECK(this->LoadReport(1)["fence"].get<std::uint64_t>() >= fence);
}

}  // namespace limpetlink::testing
