/// @file
/// @brief Operator requests to entry hosts.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "operators/detail/blocking_http.h"

namespace limpetlink {

/// @brief Address and key for operator requests to an entry host.
struct HostAccess {
  std::string address;       ///< "ip:port" for callers
  std::string operator_key;  ///< empty: no key is sent
};

/// @brief Status reported by an entry host.
struct HostStatus {
  std::string address;
  bool available = false;
  std::string error;  ///< why there is no status; empty when responded
  std::string host;
  std::uint64_t fleet_version = 0;
  bool ready = false;
  bool draining = false;
  std::string body;  ///< the complete response, JSON
};

/// @brief Queries the status of a host.
/// @return the status; on failure `available` is false and `error` is set
HostStatus QueryStatus(const HttpExchange& exchange, const HostAccess& access);

/// @brief Queries all requests in progress at a host.
/// @return the response's JSON text, or the error
absl::StatusOr<std::string> QueryRequests(const HttpExchange& exchange,
                                          const HostAccess& access);

/// @brief Starts draining a host: it accepts no new requests and completes
/// those in progress.
absl::Status SendDrainRequest(const HttpExchange& exchange,
                              const HostAccess& access);

/// @brief Splits "ip:port,ip:port" at commas and skips empty parts.
std::vector<std::string> SplitAddresses(std::string_view text);

}  // namespace limpetlink
