#include <catch2/catch.hpp>
#include <chrono>

#include "fleet/fleet.h"

namespace limpetlink {
namespace {

/// Two equal documents; each test changes the second.
class FleetDiffFixture {
 protected:
  FleetDiffFixture() {
    const std::string digest_a(64, 'a');
    const std::string digest_b(64, 'b');
    this->before.name = "test";
    this->before.failure_domains = {{{"fd"}, "region"}};
    this->before.organisations = {{{"dairy"}, {digest_a}, 1.0, 8, 10.0},
                                  {{"troupe"}, {digest_b}, 2.0, 8, 10.0}};
    this->before.models = {{"m", "1", {}, 100}};
    for (int i = 0; i < 4; ++i) {
      const std::string number = std::to_string(i);
      this->before.upstreams.push_back({{"e" + number},
                                        UpstreamKind::kEngine,
                                        "m",
                                        "http://10.0.0.1:800" + number,
                                        {"fd"},
                                        true});
    }
    this->before.routes = {{"draft", "m"}, {"verdict", "m"}};
    this->after = this->before;
  }

  std::vector<std::string> DescribeChanges() const {
    std::vector<std::string> lines;
    for (const FleetDifference& change : DiffFleet(this->before, this->after)) {
      lines.push_back(ToText(change));
    }
    return lines;
  }

  void CheckPatch() const {
    const std::string patch = MakeFleetPatch(this->before, this->after);
    const FleetParseResult result = PatchFleet(this->before, patch);
    REQUIRE(result.Ok());
    CHECK(WriteFleet(result.document) == WriteFleet(this->after));
  }

  FleetDocument before;
  FleetDocument after;
};

using TextLines = std::vector<std::string>;

TEST_CASE_METHOD(FleetDiffFixture, "fleet difference, equal, is empty") {
  this->after.change_id = "c2";
  this->after.author = "someone";
  CHECK(this->DescribeChanges().empty());
  this->CheckPatch();
}

TEST_CASE_METHOD(FleetDiffFixture, "fleet difference, changes, are listed") {
  SECTION("changed members") {
    this->after.organisations[0].weight = 3;
    this->after.weights.tail = 0.75;
    CHECK(this->DescribeChanges() ==
          TextLines{"changed organisations/dairy: weight 1.0 -> "
                    "3.0",
                    "changed weights: tail 0.5 -> 0.75"});
  }
  SECTION("added and removed") {
    this->after.failure_domains.push_back({{"fd2"}, "region"});
    this->after.upstreams.erase(this->after.upstreams.begin());
    const TextLines lines = this->DescribeChanges();
    REQUIRE(lines.size() == 2);
    CHECK(lines[0] ==
          "added failure_domains/fd2: {\"id\":\"fd2\",\"region\":\"region\"}");
    CHECK(lines[1].rfind("removed upstreams/e0: ", 0) == 0);
  }
  SECTION("order of routes, whose first one is the model's default") {
    std::swap(this->after.routes[0], this->after.routes[1]);
    CHECK(this->DescribeChanges() == TextLines{"reordered routes"});
  }
  this->CheckPatch();
}

TEST_CASE_METHOD(FleetDiffFixture,
                 "fleet patch, an element in the middle removed, stays small") {
  this->after.upstreams.erase(this->after.upstreams.begin() + 1);
  this->after.upstreams[0].checks_fencing = false;
  this->after.upstreams.push_back(
      {{"e9"}, UpstreamKind::kEngine, "m", "http://10.0.0.9:1", {"fd"}, true});
  CHECK(MakeFleetPatch(this->before, this->after) ==
        "[{\"op\":\"remove\",\"path\":\"/upstreams/1\"},"
        "{\"op\":\"replace\",\"path\":\"/upstreams/0/checks_fencing\","
        "\"value\":false},"
        "{\"op\":\"add\",\"path\":\"/upstreams/3\",\"value\":{\"id\":\"e9\","
        "\"kind\":\"engine\",\"serves\":\"m\",\"url\":\"http://10.0.0.9:1\","
        "\"failure_domain\":\"fd\",\"checks_fencing\":true}}]");
  this->CheckPatch();
}

TEST_CASE_METHOD(
    FleetDiffFixture,
    "fleet patch, inapplicable or with an invalid result, gives errors") {
  CHECK_FALSE(PatchFleet(this->before, "{").Ok());
  CHECK_FALSE(
      PatchFleet(this->before, R"([{"op":"remove","path":"/upstreams/77"}])")
          .Ok());
  CHECK_FALSE(
      PatchFleet(this->before,
                 R"([{"op":"replace","path":"/weights/tail","value":7}])")
          .Ok());
}

}  // namespace
}  // namespace limpetlink
