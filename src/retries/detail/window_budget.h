/// @file
/// @brief Bounds repeated work over a sliding window of time.
#pragma once

#include <deque>

#include "base/base.h"

namespace limpetlink {

/// @brief How many repeats a window may hold.
struct WindowBudgetSettings {
  Duration window{std::chrono::seconds(10)};
  double ratio = 0.1;  ///< repeats for each first attempt in the window
  double extra = 0;    ///< repeats on top; this host's part of what all share
};

/// @brief Counts first attempts and repeats of the last window. At every
/// moment the repeats of the window that ends then are at most the ratio of
/// its first attempts plus the extra, so hosts that know nothing of each other
/// keep a bound on their sum.
class WindowBudget {
 public:
  explicit WindowBudget(WindowBudgetSettings settings) : settings(settings) {}

  /// @brief Counts a first attempt.
  void Earn(Instant now);

  /// @brief Spends one repeat.
  /// @return whether there was one to spend
  bool Spend(Instant now);

  /// @return repeats that may be spent now
  double Left(Instant now);

 private:
  void Expire(Instant now);

  WindowBudgetSettings settings;
  std::deque<Instant> firsts;
  std::deque<Instant> repeats;
};

}  // namespace limpetlink
