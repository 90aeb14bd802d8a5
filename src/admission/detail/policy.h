/// @file
/// @brief Derives the admission policy from the operator's weights.
#pragma once

#include "base/base.h"
#include "fleet/fleet.h"

namespace limpetlink {

/// @brief Limits used by admission; all derive from the document's weights.
struct AdmissionPolicy {
  /// Maximum accepted probability of a memory overflow.
  double overflow_risk = 0.02;
  Duration step_target{0};  ///< target for the longest decode step
  Duration max_wait{0};     ///< a longer expected wait is refused immediately
  /// Standard deviations of verdict headroom above the mean.
  double headroom_deviations = 2.0;
  bool organisation_lengths = true;  ///< false: lengths by route only
  bool risk = true;         ///< false: admit on current use (for comparisons)
  bool batch_cap = true;    ///< false: no cap on the batch
  bool prefill_cap = true;  ///< false: no cap on prefill in flight
  bool headroom = true;     ///< false: no headroom for verdicts
  /// False: equal priority for all streams at the engine.
  bool rising_priority = true;
};

/// @brief Derives the limits from the weights.
/// @param weights the document's weights, each in [0, 1]
/// @return the limits; docs/weights.md describes the effect of each weight
/// @note Example: `MakeAdmissionPolicy({0.9, 0.3, 0.9}).max_wait`
AdmissionPolicy MakeAdmissionPolicy(const Weights& weights);

}  // namespace limpetlink
