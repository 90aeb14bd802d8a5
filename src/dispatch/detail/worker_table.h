/// @file
/// @brief The workers of the fleet, their owners, and the load accounting of
/// the workers that this host owns.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "admission/admission.h"
#include "base/base.h"
#include "fleet/fleet.h"

namespace limpetlink {

/// @brief The live entry hosts and their failure domains.
struct HostView {
  std::vector<HostId> live;
  /// Of the hosts that advertised it.
  std::map<HostId, FailureDomainId> domains;
};

/// @brief Tracks the load of the workers that this host owns, and the owners of
/// all the others.
/// @note The owner is a host of the worker's failure domain where one is live,
/// else one of its region, so that a host's own workers are near it.
class WorkerTable {
 public:
  /// @param self this host
  explicit WorkerTable(HostId self);

  /// @brief Applies a document; keeps the load accounting of workers that stay.
  void Configure(Instant now, const FleetDocument& document,
                 const AdmissionPolicy& new_policy);

  /// @brief Applies a new list of live hosts. A worker whose ownership moves to
  /// this host starts with load accounting that must be rebuilt.
  void SetHosts(Instant now, HostView new_view);

  /// @return whether this host owns the worker
  bool IsOwned(const UpstreamId& worker) const;

  /// @return the worker's owner; this host for an unknown worker
  const HostId& OwnerOf(const UpstreamId& worker) const;

  /// @return the worker's document entry, or nullptr
  const Upstream* Find(const UpstreamId& worker) const;

  /// @return workers of a target that this host owns
  const std::vector<UpstreamId>& OwnedWorkersOf(
      const std::string& target) const;

  /// @return every worker that this host owns
  std::vector<UpstreamId> OwnedWorkers() const;

  /// @return workers of a target that other hosts own
  const std::vector<UpstreamId>& RemoteWorkersOf(
      const std::string& target) const;

  /// @brief Decides whether a worker owned by this host may start a request
  /// now.
  AdmissionDecision Check(Instant now, const UpstreamId& worker,
                          const Demand& demand, double share);

  /// @brief Records a placement at a worker owned by this host.
  void Add(Instant now, const UpstreamId& worker, const StreamKey& key,
           const Demand& demand, std::uint32_t produced);

  /// @brief Records the tokens produced by a stream at a worker owned by this
  /// host.
  void RecordProduced(Instant now, const UpstreamId& worker,
                      const StreamKey& key, std::uint32_t tokens);

  /// @brief Removes a placement.
  /// @return whether it was present
  bool Remove(const UpstreamId& worker, const StreamKey& key);

  /// @brief Removes a holder's placements from all workers owned by this host.
  void RemoveHolder(const HostId& holder);

  /// @brief Applies a worker's load report.
  void Report(Instant now, const UpstreamId& worker, const EngineLoad& load);

  /// @brief Records the arrival of a verdict for a target, which updates the
  /// verdict headroom of this host's workers.
  void ObserveVerdict(const std::string& target, const Demand& demand,
                      double waiting);

  /// @brief Records that a host has announced its placements.
  void RecordAnnouncement(const HostId& from);

  /// @return a worker's utilisation, 1 when full; 0 for a worker of another
  /// host
  double Utilisation(const UpstreamId& worker) const;

 private:
  struct Worker {
    Upstream upstream;
    HostId owner;
    Admitter admitter{AdmissionPolicy{}};
    ConcurrencyEstimate concurrency;
    std::set<HostId> awaiting_announcement;

    bool IsEngine() const {
      return this->upstream.kind == UpstreamKind::kEngine;
    }
  };

  HostId Owner(const Upstream& upstream) const;
  void TakeOver(Instant now, Worker& worker);
  void Index();

  HostId self;
  HostView view;
  AdmissionPolicy policy;
  std::map<FailureDomainId, std::string> regions;
  std::map<UpstreamId, Worker> workers;
  std::map<std::string, std::vector<UpstreamId>> owned;
  std::map<std::string, std::vector<UpstreamId>> remote;
};

}  // namespace limpetlink
