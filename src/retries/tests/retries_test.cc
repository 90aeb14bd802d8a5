#include "retries/retries.h"

#include <catch2/catch.hpp>

namespace limpetlink {
namespace {

TEST_CASE("retry budget, everything fails, repeats at most a tenth",
          "[retries]") {
  RetryBudget budget;
  int repeated = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.Earn();
    repeated += budget.Spend() ? 1 : 0;
  }
  CHECK(repeated >= 100);
  CHECK(repeated <= 103);
}

TEST_CASE("failed attempt, may have run, only an idempotent one is repeated",
          "[retries]") {
  CHECK_FALSE(MayRepeat({false, true}));
  CHECK(MayRepeat({true, true}));
  CHECK(MayRepeat({false, false}));
}

TEST_CASE("hedge delays, lookups vary, delay is near the slowest twentieth",
          "[retries]") {
  HedgeDelays delays;
  CHECK_FALSE(delays.Find("app", "/calendar").has_value());
  Random random(1);
  for (int i = 0; i < 5000; ++i) {
    delays.Observe("app", "/calendar",
                   std::chrono::microseconds(random.Below(100000)));
  }
  const auto delay = delays.Find("app", "/calendar");
  REQUIRE(delay.has_value());
  CHECK(ToSeconds(*delay) > 0.08);
  CHECK(ToSeconds(*delay) < 0.11);
}

}  // namespace
}  // namespace limpetlink
