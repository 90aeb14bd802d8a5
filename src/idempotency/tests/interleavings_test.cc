#include <catch2/catch.hpp>

#include "idempotency/tests/log_world.h"

namespace limpetlink {
namespace {

constexpr std::uint64_t kSeeds = 2500;  // of each of four cases

std::string Join(const std::vector<std::string>& faults) {
  std::string text;
  for (const std::string& fault : faults) {
    text += fault + "\n";
  }
  return text;
}

/// Plays a quarter of the seeds; four cases, so that they can run side by side.
void PlayQuarter(std::uint64_t quarter) {
  LogCounts sum;
  const std::uint64_t first = quarter * kSeeds + 1;
  for (std::uint64_t seed = first; seed < first + kSeeds; ++seed) {
    WorldOptions options;
    options.seed = seed;
    LogWorld world(options);
    world.Run();
    const auto faults = world.history.Check(true);
    INFO("seed " << seed << "\n" << Join(faults));
    REQUIRE(faults.empty());
    sum.checkpoints += world.counts.checkpoints;
    sum.collisions += world.counts.collisions;
    sum.stale_views += world.counts.stale_views;
    sum.dispatched += world.counts.dispatched;
    sum.replayed += world.counts.replayed;
  }
  // The runs did meet what they are there for.
  CHECK(sum.checkpoints > kSeeds / 10);
  CHECK(sum.collisions > kSeeds / 10);
  CHECK(sum.stale_views > 0);
  CHECK(sum.dispatched > kSeeds);
  CHECK(sum.replayed > kSeeds / 10);
}

TEST_CASE("idempotency log, seeds 1 to 2500, keeps every promise") {
  PlayQuarter(0);
}

TEST_CASE("idempotency log, seeds 2501 to 5000, keeps every promise") {
  PlayQuarter(1);
}

TEST_CASE("idempotency log, seeds 5001 to 7500, keeps every promise") {
  PlayQuarter(2);
}

TEST_CASE("idempotency log, seeds 7501 to 10000, keeps every promise") {
  PlayQuarter(3);
}

/// Puts the fault in at each step of one scenario; returns the steps tried.
std::uint64_t TryEveryStep(std::uint64_t seed, StepFault fault) {
  bool more = true;
  std::uint64_t step = 0;
  while (more) {
    ++step;
    const WorldOptions options{
        seed, BrokenRule::kNone, 2, 1, 6, 0, 0, 0, 0, 0, 0, fault, step};
    LogWorld world(options);
    world.Run();
    const auto faults = world.history.Check(true);
    INFO("seed " << seed << ", fault " << static_cast<int>(fault) << " at step "
                 << step << "\n"
                 << Join(faults));
    REQUIRE(faults.empty());
    more = step < world.events;
  }
  return step;
}

TEST_CASE("idempotency log, one fault at every step, keeps every promise") {
  std::uint64_t steps = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    for (const StepFault fault :
         {StepFault::kCrash, StepFault::kFreeze, StepFault::kOutage,
          StepFault::kLostAfter, StepFault::kLostBefore}) {
      steps += TryEveryStep(seed, fault);
    }
  }
  CHECK(steps > 1000);
}

std::uint64_t FirstSeedCaught(BrokenRule broken, std::uint64_t seeds) {
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    WorldOptions options;
    options.seed = seed;
    options.broken = broken;
    LogWorld world(options);
    world.Run();
    if (!world.history.Check(true).empty()) {
      return seed;
    }
  }
  return 0;
}

TEST_CASE("history checker, one rule broken on purpose, catches it") {
  CHECK(FirstSeedCaught(BrokenRule::kRetryAfterSend, 50) > 0);
  CHECK(FirstSeedCaught(BrokenRule::kDispatchBeforeDurable, 50) > 0);
  CHECK(FirstSeedCaught(BrokenRule::kEarlyNotRun, 50) > 0);
  CHECK(FirstSeedCaught(BrokenRule::kLostIsCreated, 2000) > 0);
  CHECK(FirstSeedCaught(BrokenRule::kExistsIsCreated, 2000) > 0);
  CHECK(FirstSeedCaught(BrokenRule::kClaimsFirst, 2000) > 0);
  CHECK(FirstSeedCaught(BrokenRule::kNoFloorCheck, 4000) > 0);
}

}  // namespace
}  // namespace limpetlink
