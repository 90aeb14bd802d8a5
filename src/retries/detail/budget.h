/// @file
/// @brief Bounds repeated work.
#pragma once

namespace limpetlink {

/// @brief Each first attempt earns a tenth of a retry; a retry costs one.
class RetryBudget {
 public:
  /// @brief Counts a first attempt.
  void Earn();

  /// @brief Spends one retry.
  /// @return whether there was one to spend
  bool Spend();

  /// @return retries that may be spent now
  double Left() const { return this->left; }

 private:
  double left = kStart;

  static constexpr double kStart = 3.0;  ///< for a host that has just begun
};

/// @brief What is known of a failed attempt.
struct FailedAttempt {
  bool idempotent = false;   ///< the rule of the request says so
  bool may_have_run = true;  ///< bytes of it may have reached the worker
};

/// @brief Says whether a failed attempt may be repeated at all, budget aside.
inline bool MayRepeat(const FailedAttempt& attempt) {
  return attempt.idempotent || !attempt.may_have_run;
}

}  // namespace limpetlink
