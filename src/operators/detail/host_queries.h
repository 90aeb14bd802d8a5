/// @file
/// @brief Questions and orders of operators to entry hosts.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "operators/detail/blocking_http.h"

namespace limpetlink {

/// @brief Where and with what key an entry host is asked.
struct HostAccess {
  std::string address;       ///< "ip:port" for callers
  std::string operator_key;  ///< empty: none is sent
};

/// @brief What an entry host says of itself.
struct HostStatus {
  std::string address;
  bool available = false;
  std::string error;  ///< why there is no status; empty when answered
  std::string host;
  std::uint64_t fleet_version = 0;
  bool ready = false;
  bool draining = false;
  std::string body;  ///< the whole answer, JSON
};

/// @brief Asks a host for its status. Never fails: the answer says why there is
/// none.
HostStatus QueryStatus(const HttpExchange& exchange, const HostAccess& access);

/// @brief Asks a host for every request in progress.
/// @return the answer's JSON text, or why there is none
absl::StatusOr<std::string> QueryRequests(const HttpExchange& exchange,
                                          const HostAccess& access);

/// @brief Tells a host to take no new work and to finish what it has.
absl::Status SendDrainRequest(const HttpExchange& exchange,
                              const HostAccess& access);

/// @brief Splits "ip:port,ip:port" at commas; empty parts are left out.
std::vector<std::string> SplitAddresses(std::string_view text);

}  // namespace limpetlink
