/// @file
/// @brief Which other host to ask for a place.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"
#include "dispatch/detail/worker_table.h"
#include "routing/routing.h"

namespace limpetlink {

/// @brief The other owners of each target's workers and what they last said.
class OwnerDirectory {
 public:
  /// @brief Rebuilds the directory after a change of hosts or document.
  void Index(const FleetDocument& document, const WorkerTable& workers,
             const Router& router);

  /// @brief Chooses the owner to ask: near, not silent, with the shortest wait
  /// it told; else spread by the ticket.
  /// @param ticket spreads requests over equal owners
  /// @param tried hosts not to ask again
  /// @return the host, or nothing when all were tried or are silent
  /// @note Complexity: linear in the target's owners.
  std::optional<HostId> Choose(Instant now, const std::string& target,
                               Ticket ticket,
                               const std::vector<HostId>& tried) const;

  /// @brief An owner told its expected wait.
  void RecordWait(Instant now, const HostId& owner, const std::string& target,
                  Duration expected_wait);

  /// @brief An owner did not answer.
  void MarkUnresponsive(Instant now, const HostId& owner);

  /// @return whether an owner is thought silent now
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
