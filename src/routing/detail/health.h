/// @file
/// @brief Health of a worker: leaving, ejection and slow start.
#pragma once

#include <cstdint>

#include "base/base.h"

namespace limpetlink {

/// @brief Tracks whether a worker may receive new work.
/// @note The first signal that a worker is leaving takes effect at once. Only a
/// report that contradicts it clears it, and only once no report that was sent
/// before the signal can still arrive.
class WorkerHealth {
 public:
  /// @brief Marks the worker as leaving, after the host list, a report or a
  /// refused request indicated it.
  /// @param gone whether the host list no longer contains the worker
  void MarkLeaving(Instant now, bool gone);

  /// @brief Records that the host list shows the worker as live.
  void MarkListed(Instant now);

  /// @brief Applies a report that the worker sent about itself.
  /// @param draining whether the report marks the worker as leaving
  void ApplyReport(Instant now, bool draining);

  /// @brief Records a request that the worker completed normally.
  void RecordSuccess(Instant now);

  /// @brief Records a request that failed at the worker and ejects the worker
  /// after several failures in a row.
  /// @param refused the connection or the request was refused, which also marks
  /// the worker as leaving
  void RecordFailure(Instant now, bool refused);

  /// @return whether the worker is leaving and takes no new work
  bool IsLeaving(Instant now) const;

  /// @return whether the worker is ejected because of its failures
  bool Ejected(Instant now) const { return now < this->ejected_until; }

  /// @return fraction of the worker's capacity that may be used, in [0.1, 1];
  /// rises linearly during the slow start after an ejection
  double UsableFraction(Instant now) const;

 private:
  bool leaving = false;
  bool listed_gone = false;
  Instant leaving_signal_at;
  std::uint32_t consecutive_failures = 0;
  std::uint32_t ejections = 0;  ///< since the last success after a slow start
  Instant ejected_until;
  Instant slow_start_until;
};

}  // namespace limpetlink
