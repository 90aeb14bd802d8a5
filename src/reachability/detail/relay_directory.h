/// @file
/// @brief RelayDirectory: the other hosts that can pass a request on to a
/// worker.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/base.h"

namespace limpetlink {

/// @brief What a host says about the requests that it relays to workers for
/// other hosts.
struct RelayOffer {
  HostId host;
  FailureDomainId domain;
  std::string address;            ///< "ip:port" at which it accepts them
  std::string token;              ///< proves that a request comes from a host
  bool cut_off = false;           ///< reaches no worker itself
  std::uint32_t in_progress = 0;  ///< relayed requests
  std::vector<UpstreamId> unreachable;  ///< workers; the first ones only
};

/// Unreachable workers that an offer names, at most.
inline constexpr std::size_t kMaxUnreachableInOffer = 16;

/// @brief A worker to be reached through another host.
struct RelayQuery {
  UpstreamId worker;
  FailureDomainId worker_domain;
  FailureDomainId own_domain;
  std::set<HostId> excluded;  ///< hosts that refused this request
  /// Whether the request may pass through hosts of a failure domain.
  std::function<bool(const FailureDomainId&)> is_allowed;
};

/// @brief Keeps the latest offers of other hosts and selects one.
class RelayDirectory {
 public:
  /// Time after which an offer that was not repeated is void.
  static constexpr Duration kLifetime = std::chrono::milliseconds(3500);

  /// @param seed of the random choice among equal hosts
  explicit RelayDirectory(std::uint64_t seed) : random(seed) {}

  /// @brief Replaces the offer of a host.
  void Put(Instant now, RelayOffer offer);

  /// @brief Asks the host nothing for a while: it refused or did not answer.
  void OnRefused(Instant now, const HostId& host);

  void OnBegin(const HostId& host) { ++this->in_progress[host]; }
  void OnEnd(const HostId& host);

  /// @return the offers of hosts that are not cut off, in random order
  std::vector<RelayOffer> Available(Instant now, std::size_t max);

  /// @return the number of hosts whose latest offer is not cut off
  std::size_t Offering() const { return this->offering; }

  /// @return a host that reaches the worker: near, and with few requests
  std::optional<RelayOffer> Choose(Instant now, const RelayQuery& query);

  /// @return whether Choose() would return one
  bool CanReach(Instant now, const RelayQuery& query) const;

 private:
  struct Entry {
    RelayOffer offer;
    Instant received_at{};
    Instant refused_until{};
  };

  bool IsUsable(Instant now, const Entry& entry, const RelayQuery& query) const;
  double Cost(const Entry& entry, const RelayQuery& query);

  std::map<HostId, Entry> entries;
  /// Hosts that are not cut off. While there are none, as when all workers are
  /// lost, requests are refused without a search.
  std::size_t offering = 0;
  std::map<HostId, std::uint32_t> in_progress;  ///< of this host, by relay
  Random random;
};

}  // namespace limpetlink
