#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "retries/retries.h"

namespace limpetlink {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("window budget, every request fails, no window holds too many",
          "[retries]") {
  WindowBudget budget({seconds(10), 0.2, 2.0});
  std::vector<Instant> firsts;
  std::vector<Instant> repeats;
  Random random(7);
  Instant now{seconds(100)};
  for (int i = 0; i < 4000; ++i) {
    now += milliseconds(random.Below(40));
    const bool quiet = (i / 500) % 2 == 1;  // bursts and lulls
    if (!quiet || random.Below(10) == 0) {
      firsts.push_back(now);
      budget.Earn(now);
    }
    if (budget.Spend(now)) {
      repeats.push_back(now);
    }
  }
  REQUIRE(repeats.size() > 100);
  for (const Instant end : repeats) {
    const auto in_window = [end](Instant at) {
      return at <= end && at >= end - seconds(10);
    };
    const auto first = std::count_if(firsts.begin(), firsts.end(), in_window);
    const auto again = std::count_if(repeats.begin(), repeats.end(), in_window);
    CHECK(static_cast<double>(again) <= 0.2 * static_cast<double>(first) + 2.0);
  }
}

TEST_CASE("window budget, no requests, has only the extra", "[retries]") {
  WindowBudget budget({seconds(10), 0.2, 1.0});
  const Instant now{seconds(100)};
  CHECK(budget.Spend(now));
  CHECK_FALSE(budget.Spend(now));
  CHECK_FALSE(budget.Spend(now + seconds(10)));
  CHECK(budget.Spend(now + seconds(10) + milliseconds(1)));
}

}  // namespace
}  // namespace limpetlink
