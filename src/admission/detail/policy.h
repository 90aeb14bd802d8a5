/// @file
/// @brief How the operator's weights move admission.
#pragma once

#include "base/base.h"
#include "fleet/fleet.h"

namespace limpetlink {

/// @brief Bounds of admission; all follow from the document's weights.
struct AdmissionPolicy {
  double overflow_risk = 0.02;  ///< most that may be run that memory overflows
  Duration step_target{0};      ///< longest decode step wanted
  Duration max_wait{0};         ///< a longer expected wait is refused at once
  double headroom_deviations = 2.0;  ///< verdict headroom above its mean
  bool organisation_lengths = true;  ///< false: lengths by route only
  bool risk = true;         ///< false: admit on current use (for comparisons)
  bool batch_cap = true;    ///< false: no cap on the batch
  bool prefill_cap = true;  ///< false: no cap on prefill in flight
  bool headroom = true;     ///< false: no headroom for verdicts
  bool rising_priority = true;  ///< false: all streams alike at the engine
};

/// @brief Derives the bounds from the weights.
/// @param weights the document's weights, each in [0, 1]
/// @return the bounds; docs/weights.md says what each weight does
/// @note Example: `MakeAdmissionPolicy({0.9, 0.3, 0.9}).longest_wait`
AdmissionPolicy MakeAdmissionPolicy(const Weights& weights);

}  // namespace limpetlink
