/// @file
/// @brief RouteTable: looks up routes, services and API keys.
#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "routes/detail/deployment.h"

namespace limpetlink {

/// @brief Immutable index of one Deployment.
/// @note Example:
/// @code
/// const RouteTable table(std::move(deployment));
/// const ForwardingRoute* route = table.Find("api.example:80", "/trial/7");
/// @endcode
class RouteTable {
 public:
  explicit RouteTable(Deployment deployment);

  /// @brief Finds the route with the longest matching path prefix.
  /// @param host as in the Host header; case and port are ignored
  /// @param path as sent, without the query; percent-encoding is not decoded
  /// @return the route, or nullptr
  /// @note Complexity: linear in the routes of the host.
  const ForwardingRoute* Find(std::string_view host,
                              std::string_view path) const;

  /// @brief Finds the holder of an API key. Keys are looked up by their digest,
  /// so that timing reveals nothing about the key.
  /// @return the holder, or nullptr
  const KeyHolder* FindKeyHolder(std::string_view key) const;

  /// @return the service with this name, or nullptr
  const ForwardingService* FindService(const std::string& name) const;

  /// @return whether routes that are not anonymous need an API key
  bool NeedsKeys() const { return !this->deployment.holders.empty(); }

  /// @return the indexed deployment
  const Deployment& Contents() const { return this->deployment; }

 private:
  Deployment deployment;
  /// Indices into the deployment's routes, the longest prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> by_host;
  std::unordered_map<std::string, std::size_t> by_digest;
  std::unordered_map<std::string, std::size_t> by_service;
};

/// @brief Selects a service of a route by weight.
/// @param fraction random number in [0, 1), drawn for the request
/// @return a service of the route; one of weight 0 is never selected unless
/// all weights are 0
const std::string& ChooseService(const ForwardingRoute& route, double fraction);

}  // namespace limpetlink
