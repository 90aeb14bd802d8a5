/// @file
/// @brief Room that drafts leave to verdicts.
#pragma once

#include <cstdint>

namespace limpetlink {

/// @brief Learns how many verdicts are in progress at once from the verdicts'
/// own arrivals.
class VerdictHeadroom {
 public:
  /// @brief Counts an arrival.
  /// @param in_progress verdicts in progress that it finds, with itself
  /// @param tokens memory it is expected to need
  void Observe(double in_progress, double tokens);

  /// @brief Gives the batch places to keep free.
  /// @param in_progress verdicts in progress now
  /// @param deviations how many standard deviations above the mean to cover
  /// @return places, 0 while no verdict has come
  double Slots(double in_progress, double deviations) const;

  /// @return memory that one verdict needs, in tokens
  double TokensPerVerdict() const { return this->tokens; }

 private:
  double mean = 0;
  double variance = 0;
  double tokens = 0;
  bool observed = false;
};

}  // namespace limpetlink
