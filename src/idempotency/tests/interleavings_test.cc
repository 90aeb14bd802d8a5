#include <catch2/catch.hpp>

#include "idempotency/tests/log_world.h"

namespace limpetlink {
namespace {

constexpr std::uint64_t kSeeds = 2500;  // in each of the four test cases

std::string Join(const std::vector<std::string>& violations) {
  std::string text;
  for (const std::string& violation : violations) {
    text += violation + "\n";
  }
  return text;
}

/// Runs a quarter of the seeds; four test cases can run in parallel.
void RunQuarter(std::uint64_t quarter) {
  LogCounts sum;
  const std::uint64_t first = quarter * kSeeds + 1;
  for (std::uint64_t seed = first; seed < first + kSeeds; ++seed) {
    SimulationOptions options;
    options.seed = seed;
    LogSimulation simulation(options);
    simulation.Run();
    const auto violations = simulation.history.Check(true);
    INFO("seed " << seed << "\n" << Join(violations));
    REQUIRE(violations.empty());
    sum.checkpoints += simulation.counts.checkpoints;
    sum.collisions += simulation.counts.collisions;
    sum.stale_views += simulation.counts.stale_views;
    sum.dispatched += simulation.counts.dispatched;
    sum.replayed += simulation.counts.replayed;
  }
  // Checks that the runs covered the situations under test.
  CHECK(sum.checkpoints > kSeeds / 10);
  CHECK(sum.collisions > kSeeds / 10);
  CHECK(sum.stale_views > 0);
  CHECK(sum.dispatched > kSeeds);
  CHECK(sum.replayed > kSeeds / 10);
}

TEST_CASE("idempotency log, seeds 1 to 2500, keeps every guarantee") {
  RunQuarter(0);
}

TEST_CASE("idempotency log, seeds 2501 to 5000, keeps every guarantee") {
  RunQuarter(1);
}

TEST_CASE("idempotency log, seeds 5001 to 7500, keeps every guarantee") {
  RunQuarter(2);
}

TEST_CASE("idempotency log, seeds 7501 to 10000, keeps every guarantee") {
  RunQuarter(3);
}

/// Injects the fault at each step of one scenario in turn.
/// @return the number of steps
std::uint64_t InjectAtEveryStep(std::uint64_t seed, InjectedFault fault) {
  bool more = true;
  std::uint64_t step = 0;
  while (more) {
    ++step;
    const SimulationOptions options{
        seed, DeliberateDefect::kNone, 2, 1, 6, 0, 0, 0, 0, 0, 0, fault, step};
    LogSimulation simulation(options);
    simulation.Run();
    const auto violations = simulation.history.Check(true);
    INFO("seed " << seed << ", injected fault " << static_cast<int>(fault)
                 << " at step " << step << "\n"
                 << Join(violations));
    REQUIRE(violations.empty());
    more = step < simulation.events;
  }
  return step;
}

TEST_CASE("idempotency log, one fault at every step, keeps every guarantee") {
  std::uint64_t steps = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    for (const InjectedFault fault :
         {InjectedFault::kCrash, InjectedFault::kFreeze, InjectedFault::kOutage,
          InjectedFault::kLostAfter, InjectedFault::kLostBefore}) {
      steps += InjectAtEveryStep(seed, fault);
    }
  }
  CHECK(steps > 1000);
}

std::uint64_t FirstFailingSeed(DeliberateDefect defect, std::uint64_t seeds) {
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    SimulationOptions options;
    options.seed = seed;
    options.defect = defect;
    LogSimulation simulation(options);
    simulation.Run();
    if (!simulation.history.Check(true).empty()) {
      return seed;
    }
  }
  return 0;
}

TEST_CASE("history checker, one deliberate defect, reports it") {
  CHECK(FirstFailingSeed(DeliberateDefect::kRetryAfterSend, 50) > 0);
  CHECK(FirstFailingSeed(DeliberateDefect::kDispatchBeforePersisted, 50) > 0);
  CHECK(FirstFailingSeed(DeliberateDefect::kEarlyNotRun, 50) > 0);
  CHECK(FirstFailingSeed(DeliberateDefect::kLostAsCreated, 2000) > 0);
  CHECK(FirstFailingSeed(DeliberateDefect::kExistsAsCreated, 2000) > 0);
  CHECK(FirstFailingSeed(DeliberateDefect::kAlwaysFirstAttempt, 2000) > 0);
  CHECK(FirstFailingSeed(DeliberateDefect::kNoFloorCheck, 4000) > 0);
}

}  // namespace
}  // namespace limpetlink
