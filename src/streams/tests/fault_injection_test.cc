#include <catch2/catch.hpp>

#include "streams/tests/stream_simulation.h"

namespace limpetlink {
namespace {

constexpr std::uint64_t kSeeds = 20000;

std::string Join(const std::vector<std::string>& violations) {
  std::string text;
  for (const std::string& violation : violations) {
    text += violation + "\n";
  }
  return text;
}

StreamSimulationOptions OptionsFor(std::uint64_t seed, StreamDefect defect) {
  StreamSimulationOptions options;
  options.seed = seed;
  options.defect = defect;
  options.on_loss = seed % 2 == 0 ? OnLoss::kRestart : OnLoss::kEnd;
  return options;
}

TEST_CASE("stream, 20,000 seeds of faults, keeps every guarantee") {
  StreamCounts totals;
  std::uint64_t finishes = 0;
  std::uint64_t handovers = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    StreamSimulation simulation(OptionsFor(seed, StreamDefect::kNone));
    simulation.Run();
    const auto violations = simulation.history.FindViolations(true);
    INFO("seed " << seed << "\n" << Join(violations));
    REQUIRE(violations.empty());
    totals.duplicates += simulation.counts.duplicates;
    totals.gaps += simulation.counts.gaps;
    totals.stale += simulation.counts.stale;
    totals.late += simulation.counts.late;
    totals.stalls += simulation.counts.stalls;
    totals.restarts += simulation.counts.restarts;
    totals.silent_reruns += simulation.counts.silent_reruns;
    totals.pauses += simulation.counts.pauses;
    handovers += simulation.handovers;
    finishes += simulation.history.finish ? 1 : 0;
  }
  // The seeds must have exercised every kind of fault.
  CHECK(totals.duplicates > kSeeds / 20);
  CHECK(totals.gaps > kSeeds / 20);
  CHECK(totals.stale > kSeeds / 20);
  CHECK(totals.late > kSeeds / 20);
  CHECK(totals.stalls > kSeeds / 20);
  CHECK(totals.restarts > kSeeds / 100);
  CHECK(totals.silent_reruns > kSeeds / 20);
  CHECK(totals.pauses > kSeeds / 20);
  CHECK(handovers > kSeeds / 20);
  CHECK(finishes > kSeeds / 2);
}

std::uint64_t FirstFailingSeed(StreamDefect defect) {
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    StreamSimulation simulation(OptionsFor(seed, defect));
    simulation.Run();
    if (!simulation.history.FindViolations(true).empty()) {
      return seed;
    }
  }
  return 0;
}

TEST_CASE("stream history, deliberate defect, is detected") {
  CHECK(FirstFailingSeed(StreamDefect::kSplice) > 0);
  CHECK(FirstFailingSeed(StreamDefect::kNoOffsetCheck) > 0);
  CHECK(FirstFailingSeed(StreamDefect::kNoIdCheck) > 0);
  CHECK(FirstFailingSeed(StreamDefect::kEarlyNotRun) > 0);
  CHECK(FirstFailingSeed(StreamDefect::kEndAsFinish) > 0);
  CHECK(FirstFailingSeed(StreamDefect::kAlwaysCancel) > 0);
}

}  // namespace
}  // namespace limpetlink
