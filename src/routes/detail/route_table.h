/// @file
/// @brief Finds the route of a request and the holder of a key.
#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "routes/detail/deployment.h"

namespace limpetlink {

/// @brief An immutable index over one Deployment.
/// @note Example:
/// @code
/// const RouteTable table(std::move(deployment));
/// const ForwardingRoute* route = table.Find("api.example:80", "/trial/7");
/// @endcode
class RouteTable {
 public:
  explicit RouteTable(Deployment deployment);

  /// @brief Finds the route with the longest prefix that begins the path.
  /// @param host as in the Host header; case and port do not matter
  /// @param path as sent, without the query
  /// @return the route, or nullptr
  /// @note Complexity: linear in the routes of the host.
  const ForwardingRoute* Find(std::string_view host,
                              std::string_view path) const;

  /// @brief Finds who holds a key. Keys are looked up by their digest, so that
  /// the time taken tells nothing of the key.
  /// @return the holder, or nullptr
  const KeyHolder* FindKeyHolder(std::string_view key) const;

  /// @return the service of that name, or nullptr
  const ForwardingService* FindService(const std::string& name) const;

  /// @return whether routes that are not anonymous need a key
  bool NeedsKeys() const { return !this->deployment.holders.empty(); }

  const Deployment& Contents() const { return this->deployment; }

 private:
  Deployment deployment;
  /// Indices into routes, the longest prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> by_host;
  std::unordered_map<std::string, std::size_t> by_digest;
  std::unordered_map<std::string, std::size_t> by_service;
};

/// @brief Chooses the service of a split route.
/// @param fraction in [0, 1), drawn for the request
/// @return a service of the route; one of weight 0 is never chosen while
/// another has weight
const std::string& ChooseService(const ForwardingRoute& route, double fraction);

}  // namespace limpetlink
