/// @file
/// @brief ShareAllocator: divides an organisation's limits among the hosts.
#pragma once

#include <map>

#include "limits/detail/host_limit.h"

namespace limpetlink {

/// @brief Allocates shares of an organisation's limits to hosts by their
/// demand; used by the host that owns the limits.
class ShareAllocator {
 public:
  /// @brief Sets the total limit and the number of hosts.
  void SetTotal(const LimitShare& new_total, std::size_t new_hosts);

  /// @brief Records a host's demand and allocates a share to it.
  /// @param host the requesting host
  /// @param demand its recent usage, refused requests included
  /// @return its share, valid for kShareLifetime; the shares valid at one time
  /// never sum to more than the limit, apart from the one request that each
  /// host may always run
  /// @note Complexity: linear in the hosts with a valid share.
  LimitShare Allocate(Instant now, const HostId& host,
                      const LimitShare& demand);

 private:
  struct Allocation {
    LimitShare demand;
    LimitShare allocated;
    Instant until;
  };

  LimitShare total;
  std::size_t hosts = 1;
  std::map<HostId, Allocation> allocations;
};

/// @brief How long an allocated share is valid.
inline constexpr Duration kShareLifetime = std::chrono::seconds(6);

}  // namespace limpetlink
