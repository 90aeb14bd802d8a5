/// @file
/// @brief WorkerReachability: the workers that this host can't connect to.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/base.h"

namespace limpetlink {

/// @brief A worker that could be probed.
struct ProbeCandidate {
  UpstreamId worker;
  std::string service;
  FailureDomainId domain;
};

/// @brief Parameters of WorkerReachability.
struct ReachabilitySettings {
  /// Time between the probes of an unreachable worker.
  Duration probe_interval{std::chrono::milliseconds(400)};
  Duration first_probe_delay{std::chrono::milliseconds(100)};
  /// Time between two rounds of probes of workers that are not known to be
  /// unreachable, while others are.
  Duration comparison_interval{std::chrono::milliseconds(500)};
  /// Time between two probes of a worker on suspicion only.
  Duration suspicion_interval{std::chrono::milliseconds(1000)};
  std::size_t max_running_probes = 8;
  /// A host is cut off if it reaches none of so many workers ...
  std::size_t min_unreachable = 4;
  std::size_t min_domains = 2;  ///< in so many failure domains
  std::size_t min_failed_comparisons = 2;
  /// ... and no probe has succeeded for this long.
  Duration success_lifetime{std::chrono::milliseconds(1500)};
  /// A worker that becomes unreachable within this time of its return has to
  /// pass `repeated_probes` probes.
  Duration unstable{std::chrono::seconds(10)};
  std::size_t repeated_probes = 3;
};

/// @brief Tells workers apart that this host can't connect to, and decides
/// whether it is the host that is cut off.
///
/// Only connection attempts count: an established connection may outlive the
/// way to its worker, and a worker may be silent. A dead service is not a cut:
/// after each failure workers of other services and domains are probed, and one
/// success shows that this host has links. While it is cut off, all workers
/// count as unreachable.
/// @note Example:
/// @code
/// reachability.OnConnectFailed(now, worker);
/// for (const UpstreamId& each : reachability.TakeDueProbes(now, workers)) {
///   /* connect, then OnProbeSucceeded() or OnProbeFailed() */
/// }
/// @endcode
class WorkerReachability {
 public:
  explicit WorkerReachability(ReachabilitySettings settings = {})
      : settings(settings) {}

  /// @brief Records that a call could not connect to the worker.
  void OnConnectFailed(Instant now, const UpstreamId& worker);

  /// @brief Records that a probe could not connect to the worker.
  void OnProbeFailed(Instant now, const UpstreamId& worker);

  /// @brief Records that a probe connected to the worker.
  void OnProbeSucceeded(Instant now, const UpstreamId& worker);

  /// @brief Has the worker probed soon: it cut a request or is silent.
  void Suspect(Instant now, const UpstreamId& worker);

  /// @brief Forgets a worker that terminated or restarted.
  void Remove(const UpstreamId& worker);

  bool IsReachable(const UpstreamId& worker) const {
    return !this->cut_off && this->unreachable.count(worker) == 0;
  }

  /// @return whether connections of calls to the worker failed and no probe
  /// has confirmed yet that others will
  bool IsDoubtful(const UpstreamId& worker) const {
    const auto found = this->unreachable.find(worker);
    return !this->cut_off && found != this->unreachable.end() &&
           !found->second.confirmed;
  }

  /// @return whether this host reaches no worker
  bool IsCutOff() const { return this->cut_off; }

  /// @return whether any worker is unreachable
  bool IsImpaired() const {
    return this->cut_off || !this->unreachable.empty();
  }

  /// @return the workers that are known to be unreachable, sorted
  std::vector<UpstreamId> Unreachable() const;

  /// @brief Returns the workers to connect to now. Each must be answered with
  /// OnProbeSucceeded() or OnProbeFailed().
  /// @param candidates all workers that may be probed
  std::vector<UpstreamId> TakeDueProbes(
      Instant now, const std::vector<ProbeCandidate>& candidates);

  /// @return when TakeDueProbes() has to be called; kNever if nothing is due
  Instant NextWakeup() const;

 private:
  struct Entry {
    Instant next_probe{};
    bool confirmed = false;          ///< by a probe
    std::size_t missing_probes = 1;  ///< that have to succeed
  };

  Entry& NoteFailure(Instant now, const UpstreamId& worker);
  /// @brief Selects workers that are not known to be unreachable, unlike the
  /// last one that failed.
  std::vector<UpstreamId> SelectComparisons(
      const std::vector<ProbeCandidate>& candidates) const;
  void UpdateCutOff(Instant now);

  ReachabilitySettings settings;
  std::map<UpstreamId, Entry> unreachable;
  std::map<UpstreamId, Instant> returned_at;
  std::map<UpstreamId, Instant> suspected_at;
  std::set<UpstreamId> suspects;  ///< to be probed
  std::set<UpstreamId> probing;
  std::set<UpstreamId> comparisons;               ///< among those being probed
  std::map<UpstreamId, FailureDomainId> domains;  ///< of the candidates
  UpstreamId last_failed;
  std::size_t failed_comparisons = 0;  ///< since the last success
  std::optional<Instant> last_success;
  Instant next_comparison = kNever;
  Instant last_comparison{};
  bool cut_off = false;
};

}  // namespace limpetlink
