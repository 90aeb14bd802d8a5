/// @file
/// @brief Limits retries within a sliding time window.
#pragma once

#include <deque>

#include "base/base.h"

namespace limpetlink {

/// @brief Retries allowed per window.
struct WindowBudgetSettings {
  Duration window{std::chrono::seconds(10)};
  double ratio = 0.1;  ///< retries per first attempt in the window
  double extra = 0;    ///< additional retries; this host's share
};

/// @brief Counts first attempts and retries in the last window. In any window,
/// the retries are at most `ratio` times the first attempts plus `extra`; the
/// sum over all hosts is therefore limited too, without any coordination.
class WindowBudget {
 public:
  explicit WindowBudget(WindowBudgetSettings settings) : settings(settings) {}

  /// @brief Records a first attempt.
  void Earn(Instant now);

  /// @brief Spends one retry.
  /// @return false if the budget has none left
  bool Spend(Instant now);

  /// @return number of retries left; fractional, may be negative
  double Left(Instant now);

 private:
  void Expire(Instant now);

  WindowBudgetSettings settings;
  std::deque<Instant> requests;
  std::deque<Instant> retries;
};

}  // namespace limpetlink
