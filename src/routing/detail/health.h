/// @file
/// @brief Whether a worker may get new work: leaving, ejected or returning.
#pragma once

#include <cstdint>

#include "base/base.h"

namespace limpetlink {

/// @brief Signs about one worker, and what follows from them.
/// @note The earliest sign that a worker leaves is in force at once. It is
/// cleared only by a report that says otherwise and that arrives later than
/// any report made before the sign can arrive.
class WorkerHealth {
 public:
  /// @brief The host list, a report or a refusal says that the worker leaves.
  /// @param gone whether it is not there any more at all
  void MarkLeaving(Instant now, bool gone);

  /// @brief The host list says that the worker is live.
  void MarkListed(Instant now);

  /// @brief The worker's own report arrived.
  /// @param draining whether it says that it leaves
  void ApplyReport(Instant now, bool draining);

  /// @brief A request reached the worker and ended as it should.
  void RecordSuccess(Instant now);

  /// @brief A request failed there.
  /// @param refused the connection or the request was refused: a sign that the
  /// worker leaves
  void RecordFailure(Instant now, bool refused);

  /// @return whether no new work may go there
  bool IsLeaving(Instant now) const;

  /// @return whether it is out for its failures
  bool Ejected(Instant now) const { return now < this->ejected_until; }

  /// @return fraction of the worker that may be used: rises after an ejection
  double UsableFraction(Instant now) const;

 private:
  bool leaving = false;
  bool listed_gone = false;
  Instant sign;
  std::uint32_t failures = 0;   ///< in a row
  std::uint32_t ejections = 0;  ///< since it last ran well for long
  Instant ejected_until;
  Instant returned_until;  ///< end of the slow return
};

}  // namespace limpetlink
