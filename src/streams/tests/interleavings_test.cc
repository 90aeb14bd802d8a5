#include <catch2/catch.hpp>

#include "streams/tests/stream_world.h"

namespace limpetlink {
namespace {

constexpr std::uint64_t kSeeds = 20000;

std::string Join(const std::vector<std::string>& faults) {
  std::string text;
  for (const std::string& fault : faults) {
    text += fault + "\n";
  }
  return text;
}

StreamWorldOptions OptionsOf(std::uint64_t seed, BrokenStreamRule broken) {
  StreamWorldOptions options;
  options.seed = seed;
  options.broken = broken;
  options.on_loss = seed % 2 == 0 ? OnLoss::kRestart : OnLoss::kEnd;
  return options;
}

TEST_CASE("stream, 20,000 seeds of faults, keeps every promise") {
  StreamCounts sum;
  std::uint64_t finishes = 0;
  std::uint64_t take_ups = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    StreamWorld world(OptionsOf(seed, BrokenStreamRule::kNone));
    world.Run();
    const auto faults = world.history.Check(true);
    INFO("seed " << seed << "\n" << Join(faults));
    REQUIRE(faults.empty());
    sum.duplicates += world.counts.duplicates;
    sum.gaps += world.counts.gaps;
    sum.stale += world.counts.stale;
    sum.late += world.counts.late;
    sum.stalls += world.counts.stalls;
    sum.restarts += world.counts.restarts;
    sum.silent_reruns += world.counts.silent_reruns;
    sum.pauses += world.counts.pauses;
    take_ups += world.take_ups;
    finishes += world.history.finish ? 1 : 0;
  }
  // The runs did meet what they are there for.
  CHECK(sum.duplicates > kSeeds / 20);
  CHECK(sum.gaps > kSeeds / 20);
  CHECK(sum.stale > kSeeds / 20);
  CHECK(sum.late > kSeeds / 20);
  CHECK(sum.stalls > kSeeds / 20);
  CHECK(sum.restarts > kSeeds / 100);
  CHECK(sum.silent_reruns > kSeeds / 20);
  CHECK(sum.pauses > kSeeds / 20);
  CHECK(take_ups > kSeeds / 20);
  CHECK(finishes > kSeeds / 2);
}

std::uint64_t FirstSeedCaught(BrokenStreamRule broken) {
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    StreamWorld world(OptionsOf(seed, broken));
    world.Run();
    if (!world.history.Check(true).empty()) {
      return seed;
    }
  }
  return 0;
}

TEST_CASE("stream history checker, one rule broken on purpose, catches it") {
  CHECK(FirstSeedCaught(BrokenStreamRule::kSplice) > 0);
  CHECK(FirstSeedCaught(BrokenStreamRule::kNoOffsetCheck) > 0);
  CHECK(FirstSeedCaught(BrokenStreamRule::kNoIdCheck) > 0);
  CHECK(FirstSeedCaught(BrokenStreamRule::kEarlyNotRun) > 0);
  CHECK(FirstSeedCaught(BrokenStreamRule::kEndIsFinish) > 0);
  CHECK(FirstSeedCaught(BrokenStreamRule::kAlwaysCancel) > 0);
}

}  // namespace
}  // namespace limpetlink
