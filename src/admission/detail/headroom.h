/// @file
/// @brief Estimates the capacity that drafts leave free for verdicts.
#pragma once

#include <cstdint>

namespace limpetlink {

/// @brief Estimates the number of concurrent verdicts from their arrivals.
class VerdictHeadroom {
 public:
  /// @brief Records an arrival.
  /// @param in_progress verdicts in progress, including this one
  /// @param tokens expected memory use, in tokens
  void Observe(double in_progress, double tokens);

  /// @brief Computes the number of batch slots to keep free.
  /// @param in_progress verdicts in progress now
  /// @param deviations how many standard deviations above the mean to cover
  /// @return slots; 0 before the first verdict
  double Slots(double in_progress, double deviations) const;

  /// @return average memory use of a verdict, in tokens
  double TokensPerVerdict() const { return this->tokens; }

 private:
  double mean = 0;
  double variance = 0;
  double tokens = 0;
  bool observed = false;
};

}  // namespace limpetlink
