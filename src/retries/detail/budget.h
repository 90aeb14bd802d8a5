/// @file
/// @brief Limits retries to a fraction of the requests.
#pragma once

namespace limpetlink {

/// @brief A token bucket: each first attempt adds a tenth of a token, each
/// retry takes one.
class RetryBudget {
 public:
  /// @brief Records a first attempt.
  void Earn();

  /// @brief Spends one retry.
  /// @return false if the budget has none left
  bool Spend();

  /// @return number of retries left
  double Left() const { return this->left; }

 private:
  double left = kInitialRetries;

  static constexpr double kInitialRetries = 3.0;  ///< initial budget of a host
};

/// @brief Properties of a failed attempt.
struct FailedAttempt {
  bool idempotent = false;   ///< declared by the request's rule
  bool may_have_run = true;  ///< some of its bytes may have reached a worker
};

/// @brief Returns whether a failed attempt may be retried, regardless of
/// budget.
inline bool IsRetryable(const FailedAttempt& attempt) {
  return attempt.idempotent || !attempt.may_have_run;
}

}  // namespace limpetlink
