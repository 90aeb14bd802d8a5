#include <algorithm>
#include <utility>

#include "absl/strings/ascii.h"
#include "routes/routes.h"

namespace limpetlink {
namespace {

std::string HostName(std::string_view host) {
  const std::size_t port = host.rfind(':');
  const bool has_port =
      port != std::string_view::npos && host.find(']', port) == host.npos;
  std::string name(has_port ? host.substr(0, port) : host);
  absl::AsciiStrToLower(&name);
  return name;
}

bool HasPrefix(std::string_view path, const std::string& prefix) {
  return path.substr(0, prefix.size()) == prefix;
}

}  // namespace

RouteTable::RouteTable(Deployment deployment)
    : deployment(std::move(deployment)) {
  const std::vector<ForwardingRoute>& routes = this->deployment.routes;
  for (std::size_t i = 0; i < routes.size(); ++i) {
    this->by_host[HostName(routes[i].host)].push_back(i);
  }
  for (auto& [host, indices] : this->by_host) {
    std::stable_sort(indices.begin(), indices.end(),
                     [&routes](std::size_t a, std::size_t b) {
                       return routes[a].path_prefix.size() >
                              routes[b].path_prefix.size();
                     });
  }
  for (std::size_t i = 0; i < this->deployment.holders.size(); ++i) {
    for (const std::string& digest : this->deployment.holders[i].key_digests) {
      this->by_digest.emplace(digest, i);
    }
  }
  for (std::size_t i = 0; i < this->deployment.services.size(); ++i) {
    this->by_service.emplace(this->deployment.services[i].name, i);
  }
}

const ForwardingRoute* RouteTable::Find(std::string_view host,
                                        std::string_view path) const {
  const auto found = this->by_host.find(HostName(host));
  if (found == this->by_host.end()) {
    return nullptr;
  }
  for (const std::size_t index : found->second) {
    const ForwardingRoute& route = this->deployment.routes[index];
    if (HasPrefix(path, route.path_prefix)) {
      return &route;
    }
  }
  return nullptr;
}

const KeyHolder* RouteTable::FindKeyHolder(std::string_view key) const {
  const auto found = this->by_digest.find(Sha256Hex(key));
  return found == this->by_digest.end()
             ? nullptr
             : &this->deployment.holders[found->second];
}

const ForwardingService* RouteTable::FindService(
    const std::string& name) const {
  const auto found = this->by_service.find(name);
  return found == this->by_service.end()
             ? nullptr
             : &this->deployment.services[found->second];
}

const std::string& ChooseService(const ForwardingRoute& route,
                                 double fraction) {
  double total_weight = 0;
  for (const WeightedService& target : route.services) {
    total_weight += target.weight;
  }
  double remaining = fraction * total_weight;
  for (const WeightedService& target : route.services) {
    remaining -= target.weight;
    if (remaining < 0) {
      return target.service;
    }
  }
  return route.services.front().service;
}

}  // namespace limpetlink
