/// @file
/// @brief Settings of a gateway host.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "base/base.h"
#include "metadata_store/metadata_store.h"

namespace limpetlink {

/// @brief Limits that the operators of a deployment configure.
struct GatewayLimits {
  Duration grace_period{std::chrono::seconds(8)};  ///< from SIGTERM to SIGKILL
  /// Maximum time from the acceptance of a configuration to its activation.
  Duration max_apply_delay{std::chrono::milliseconds(2500)};
  /// Maximum time that a revoked key is still accepted.
  Duration max_revocation_delay{std::chrono::milliseconds(5000)};
  /// Maximum time that a leaving worker still receives new work.
  Duration max_drain_delay{std::chrono::milliseconds(2500)};
  /// Maximum time from the acceptance of an evacuation until no more requests
  /// are sent to the failure domain's workers; unset: there are no evacuations.
  std::optional<Duration> max_evacuation_delay;
  bool strict_revocation =
      true;                  ///< enforced while the store is unreachable too
  double retry_ratio = 0.1;  ///< retries per request of a service
  Duration retry_window{std::chrono::seconds(10)};

  friend bool operator==(const GatewayLimits& a, const GatewayLimits& b) {
    const auto all = [](const GatewayLimits& each) {
      return std::tie(each.grace_period, each.max_apply_delay,
                      each.max_revocation_delay, each.max_drain_delay,
                      each.max_evacuation_delay, each.strict_revocation,
                      each.retry_ratio, each.retry_window);
    };
    return all(a) == all(b);
  }
};

/// @brief Settings of a GatewayHost.
struct GatewaySettings {
  HostId self;
  FailureDomainId failure_domain;
  std::map<std::string, std::string> region_of;  ///< by failure domain
  MetadataStoreSettings store;
  std::string neighbour_address;   ///< "ip:port" for datagrams; empty: none
  std::vector<std::string> seeds;  ///< addresses of initial contact hosts
  /// Relays requests of other hosts, which arrive at `neighbour_address`
  /// over TCP.
  bool relays_requests = false;
  GatewayLimits limits;
  std::uint64_t seed = 1;
};

}  // namespace limpetlink
