/// @file
/// @brief Selects the host from which to request a reservation.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"
#include "dispatch/detail/worker_table.h"
#include "routing/routing.h"

namespace limpetlink {

/// @brief The other owners of each target's workers, with their last reported
/// waits.
class OwnerDirectory {
 public:
  /// @brief Rebuilds the directory after a change of hosts or document.
  void Index(const FleetDocument& document, const WorkerTable& workers,
             const Router& router);

  /// @brief Chooses the owner from which to request a reservation: responsive,
  /// near, and with the shortest reported wait; ties are spread by the ticket.
  /// @param ticket spreads requests over equal owners
  /// @param tried hosts to skip
  /// @return the host, or nothing when all were tried or are unresponsive
  /// @note Complexity: linear in the target's owners.
  std::optional<HostId> Choose(Instant now, const std::string& target,
                               Ticket ticket,
                               const std::vector<HostId>& tried) const;

  /// @brief Records the expected wait that an owner reported.
  void RecordWait(Instant now, const HostId& owner, const std::string& target,
                  Duration expected_wait);

  /// @brief Marks an owner as unresponsive for a while after it did not answer.
  void MarkUnresponsive(Instant now, const HostId& owner);

  /// @return whether an owner is currently marked as unresponsive
  bool IsUnresponsive(Instant now, const HostId& owner) const;

  /// @return whether any other host owns workers of the target
  bool HasOwners(const std::string& target) const;

 private:
  struct Owner {
    HostId host;
    Distance distance = Distance::kOtherRegion;
    std::uint64_t hash = 0;
    Duration wait{0};
    Instant updated;
  };

  std::map<std::string, std::vector<Owner>> targets;
  std::map<HostId, Instant> unresponsive_until;
};

}  // namespace limpetlink
