/// @file
/// @brief What a gateway host is built with.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "base/base.h"
#include "metadata_store/metadata_store.h"

namespace limpetlink {

/// @brief Bounds that the operators of a deployment set.
struct GatewayBounds {
  Duration grace{std::chrono::seconds(8)};  ///< from SIGTERM to SIGKILL
  /// Configuration must be in force within this time of its acceptance.
  Duration apply{std::chrono::milliseconds(2500)};
  /// A key that was taken away must not work for longer.
  Duration revocation{std::chrono::milliseconds(5000)};
  /// A worker that leaves may get new work for no longer.
  Duration drain{std::chrono::milliseconds(2500)};
  bool strict_revocation = true;  ///< also while the store cannot be reached
  double retry_ratio = 0.1;       ///< repeats for each request of a service
  Duration retry_window{std::chrono::seconds(10)};

  friend bool operator==(const GatewayBounds& a, const GatewayBounds& b) {
    const auto all = [](const GatewayBounds& each) {
      return std::tie(each.grace, each.apply, each.revocation, each.drain,
                      each.strict_revocation, each.retry_ratio,
                      each.retry_window);
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
  std::vector<std::string> seeds;  ///< hosts that know neighbours
  GatewayBounds bounds;
  std::uint64_t seed = 1;
};

}  // namespace limpetlink
