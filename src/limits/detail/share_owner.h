/// @file
/// @brief Splits an organisation's limits over the hosts that use them.
#pragma once

#include <map>

#include "limits/detail/host_limit.h"

namespace limpetlink {

/// @brief Kept by the host that owns an organisation's limits.
class ShareAllocator {
 public:
  /// @brief Sets the whole limit and the number of hosts.
  void SetTotal(const LimitShare& new_total, std::size_t new_hosts);

  /// @brief Takes a host's wants in and hands it a share.
  /// @param from the host that asks
  /// @param wanted what it used or was asked for lately
  /// @return its share; the shares handed out for one time never sum to more
  /// than the limit, but for the one request each host may always run
  /// @note Complexity: linear in the hosts that asked lately.
  LimitShare Allocate(Instant now, const HostId& from,
                      const LimitShare& wanted);

 private:
  struct Claim {
    LimitShare wanted;
    LimitShare handed;
    Instant until;
  };

  LimitShare total;
  std::size_t hosts = 1;
  std::map<HostId, Claim> claims;
};

/// @brief How long a share holds.
inline constexpr Duration kShareLifetime = std::chrono::seconds(6);

}  // namespace limpetlink
