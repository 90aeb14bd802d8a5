#include "retries/retries.h"

#include <catch2/catch.hpp>

namespace limpetlink {
namespace {

TEST_CASE("retry budget, every request fails, retries at most a tenth",
          "[retries]") {
  RetryBudget budget;
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.Earn();
    retries += budget.Spend() ? 1 : 0;
  }
  CHECK(retries >= 100);
  CHECK(retries <= 103);
}

TEST_CASE("failed attempt, may have run, is retried only if idempotent",
          "[retries]") {
  CHECK_FALSE(IsRetryable({false, true}));
  CHECK(IsRetryable({true, true}));
  CHECK(IsRetryable({false, false}));
}

TEST_CASE("hedge delays, varying lookups, delay is near the 95th percentile",
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
