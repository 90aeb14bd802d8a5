#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "retries/retries.h"

namespace limpetlink {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("window budget, every request fails, no window exceeds the limit",
          "[retries]") {
  WindowBudget budget({seconds(10), 0.2, 2.0});
  std::vector<Instant> requests;
  std::vector<Instant> retries;
  Random random(7);
  Instant now{seconds(100)};
  for (int i = 0; i < 4000; ++i) {
    now += milliseconds(random.Below(40));
    const bool quiet = (i / 500) % 2 == 1;  // bursts and lulls
    if (!quiet || random.Below(10) == 0) {
      requests.push_back(now);
      budget.Earn(now);
    }
    if (budget.Spend(now)) {
      retries.push_back(now);
    }
  }
  REQUIRE(retries.size() > 100);
  for (const Instant end : retries) {
    const auto in_window = [end](Instant at) {
      return at <= end && at >= end - seconds(10);
    };
    const auto request_count =
        std::count_if(requests.begin(), requests.end(), in_window);
    const auto retry_count =
        std::count_if(retries.begin(), retries.end(), in_window);
    CHECK(static_cast<double>(retry_count) <=
          0.2 * static_cast<double>(request_count) + 2.0);
  }
}

TEST_CASE("window budget, no requests, allows only the extra retries",
          "[retries]") {
  WindowBudget budget({seconds(10), 0.2, 1.0});
  const Instant now{seconds(100)};
  CHECK(budget.Spend(now));
  CHECK_FALSE(budget.Spend(now));
  CHECK_FALSE(budget.Spend(now + seconds(10)));
  CHECK(budget.Spend(now + seconds(10) + milliseconds(1)));
}

}  // namespace
}  // namespace limpetlink
