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

  void WantVersion(const std::string& version) {
    for (nlohmann::json& model : this->document["models"]) {
      model["version"] = version;
    }
    this->PutFleet();
  }

  nlohmann::json Load(int engine) {
    return this->caller.Call("GET", this->EngineUrl(engine, "/v1/load")).Json();
  }

  bool AllServe(const std::string& version) {
    for (int engine = 1; engine <= kEngines; ++engine) {
      if (this->Load(engine).value("version", "") != version) {
        return false;
      }
    }
    return true;
  }

  /// The number of the placement host that holds the lease; 0 without one.
  int Holder() {
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
    "engine orders, a new version is wanted, bring every engine to it") {
  this->WantVersion("next");
  CHECK(Until([this] { return this->AllServe("next"); }));
}

TEST_CASE_METHOD(
    PlacementFixture,
    "engine orders, the holder dies, the other goes on with a higher number") {
  this->WantVersion("next");
  REQUIRE(Until([this] { return this->AllServe("next"); }));
  const std::uint64_t fence = this->Load(1)["fence"];
  const int holder = this->Holder();
  REQUIRE(holder != 0);
  this->placements.at(holder)->Signal(SIGKILL);
  this->WantVersion("newest");
  CHECK(Until([this] { return this->AllServe("newest"); }));
  CHECK(this->Load(1)["fence"].get<std::uint64_t>() > fence);
}

TEST_CASE_METHOD(
    PlacementFixture,
    "engine orders, the holder is paused and wakes, harm no later state") {
  this->WantVersion("next");
  REQUIRE(Until([this] { return this->AllServe("next"); }));
  const int holder = this->Holder();
  REQUIRE(holder != 0);
  this->placements.at(holder)->Signal(SIGSTOP);
  this->WantVersion("newest");
  REQUIRE(Until([this] { return this->AllServe("newest"); }));
  const std::uint64_t fence = this->Load(1)["fence"];
  this->placements.at(holder)->Signal(SIGCONT);
  this->WantVersion("last");
  CHECK(Until([this] { return this->AllServe("last"); }));
  CHECK(this->Load(1)["fence"].get<std::uint64_t>() >= fence);
}

}  // namespace limpetlink::testing
