#include <algorithm>
#include <catch2/catch.hpp>

#include "migration/migration.h"

namespace limpetlink {
namespace {

using std::chrono::milliseconds;

constexpr TransferSpeed kSpeed{131072.0, 19000.0};

std::vector<MigrationDestination> TwoNearOneFar() {
  return {{UpstreamId{"near-1"}, false},
          {UpstreamId{"far"}, true},
          {UpstreamId{"near-2"}, false}};
}

TEST_CASE("transfer speed, 4000 tokens, take 0.22 s within a failure domain",
          "[migration]") {
  CHECK(ToSeconds(kSpeed.TransferTime(4000, false)) ==
        Approx(0.2208).epsilon(0.01));
  CHECK(ToSeconds(kSpeed.TransferTime(4000, true)) ==
        Approx(0.4415).epsilon(0.01));
}

TEST_CASE(
    "migration plan, eight streams, run serially within a notice of 1.9 s",
    "[migration]") {
  std::vector<RunningStream> runs;
  runs.reserve(8);
  for (int i = 0; i < 8; ++i) {
    runs.push_back(
        {"r" + std::to_string(i), 3000 + 250 * static_cast<std::uint64_t>(i)});
  }
  const auto slots =
      PlanMigrations(UpstreamId{"source"}, runs, {}, TwoNearOneFar(), kSpeed);
  REQUIRE(slots.size() == 8);
  for (std::size_t i = 1; i < slots.size(); ++i) {
    const Duration transfer =
        kSpeed.TransferTime(runs[i - 1].memory_tokens, false);
    CHECK(slots[i].start - slots[i - 1].start >= transfer + milliseconds(10));
  }
  const Duration end = slots.back().start + kSpeed.TransferTime(4750, false);
  CHECK(end < milliseconds(1900));
}

TEST_CASE(
    "migration plan, same report in another order, is the same on each host",
    "[migration]") {
  std::vector<RunningStream> runs = {{"a", 100}, {"b", 100}, {"c", 50}};
  const auto first =
      PlanMigrations(UpstreamId{"source"}, runs, {}, TwoNearOneFar(), kSpeed);
  std::reverse(runs.begin(), runs.end());
  const auto second =
      PlanMigrations(UpstreamId{"source"}, runs, {}, TwoNearOneFar(), kSpeed);
  REQUIRE(first.size() == second.size());
  for (std::size_t i = 0; i < first.size(); ++i) {
    CHECK(first[i].request_id == second[i].request_id);
    CHECK(first[i].destination == second[i].destination);
    CHECK(first[i].start == second[i].start);
  }
  CHECK(first.front().request_id == "c");
}

TEST_CASE(
    "migration plan, destinations in both domains, uses the source's domain "
    "first",
    "[migration]") {
  const std::vector<RunningStream> runs = {{"a", 100}, {"b", 100}};
  const auto slots =
      PlanMigrations(UpstreamId{"source"}, runs, {}, TwoNearOneFar(), kSpeed);
  CHECK(slots[0].destination != slots[1].destination);
  CHECK(slots[0].destination != 1);
  CHECK(slots[1].destination != 1);
  const auto far = PlanMigrations(UpstreamId{"source"}, runs, {},
                                  {{UpstreamId{"far"}, true}}, kSpeed);
  CHECK(far.size() == 2);
  CHECK(PlanMigrations(UpstreamId{"source"}, runs, {}, {}, kSpeed).empty());
}

}  // namespace
}  // namespace limpetlink
