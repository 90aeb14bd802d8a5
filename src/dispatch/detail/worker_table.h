/// @file
/// @brief The workers of the fleet, who owns each, and the accounts of those
/// that this host owns.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "admission/admission.h"
#include "base/base.h"
#include "fleet/fleet.h"

namespace limpetlink {

/// @brief The entry hosts that are live, and where they stand.
struct HostView {
  std::vector<HostId> live;
  std::map<HostId, FailureDomainId> domains;  ///< of the hosts that told it
};

/// @brief Accounts of the workers this host owns; owners of all the others.
/// @note An owner stands in the worker's failure domain where a host of that
/// domain is live, so that a host's own workers are near it.
class WorkerTable {
 public:
  /// @param self this host
  explicit WorkerTable(HostId self);

  /// @brief Takes a document in; accounts of workers that stay are kept.
  void Configure(Instant now, const FleetDocument& document,
                 const AdmissionPolicy& new_policy);

  /// @brief Takes the live hosts in. A worker that comes to this host begins
  /// with an account to be rebuilt.
  void SetHosts(Instant now, HostView view);

  /// @return whether this host owns the worker
  bool IsOwned(const UpstreamId& worker) const;

  /// @return the worker's owner; this host for an unknown worker
  const HostId& OwnerOf(const UpstreamId& worker) const;

  /// @return the worker's document entry, or nullptr
  const Upstream* Find(const UpstreamId& worker) const;

  /// @return workers of a target that this host owns
  const std::vector<UpstreamId>& OwnedWorkersOf(
      const std::string& target) const;

  /// @return every worker this host owns
  std::vector<UpstreamId> OwnedWorkers() const;

  /// @return workers of a target that others own
  const std::vector<UpstreamId>& RemoteWorkersOf(
      const std::string& target) const;

  /// @brief Says whether a worker of this host may take a request now.
  AdmissionDecision Check(Instant now, const UpstreamId& worker,
                          const Demand& demand, double share);

  /// @brief Enters a placement at a worker of this host.
  void Add(Instant now, const UpstreamId& worker, const StreamKey& key,
           const Demand& demand, std::uint32_t produced);

  /// @brief Counts produced tokens at a worker of this host.
  void RecordProduced(Instant now, const UpstreamId& worker,
                      const StreamKey& key, std::uint32_t tokens);

  /// @brief Takes a placement out.
  /// @return whether it was there
  bool Remove(const UpstreamId& worker, const StreamKey& key);

  /// @brief Drops what a holder had placed at the workers of this host.
  void RemoveHolder(const HostId& holder);

  /// @brief Takes a worker's report in.
  void Report(Instant now, const UpstreamId& worker, const EngineLoad& load);

  /// @brief A verdict for a target arrived; teaches the headroom of this
  /// host's workers.
  void ObserveVerdict(const std::string& target, const Demand& demand,
                      double waiting);

  /// @brief A host has announced what it holds.
  void RecordAnnouncement(const HostId& from);

  /// @return a worker's fill, 1 being full; 0 for a worker of another host
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
