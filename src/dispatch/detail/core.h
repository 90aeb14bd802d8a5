/// @file
/// @brief The dispatcher's state and its message handlers.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission/admission.h"
#include "dispatch/detail/dispatcher.h"
#include "dispatch/detail/entries.h"
#include "dispatch/detail/limit_table.h"
#include "dispatch/detail/owner_directory.h"
#include "dispatch/detail/wire.h"
#include "dispatch/detail/worker_table.h"
#include "limits/limits.h"
#include "retries/retries.h"
#include "routing/routing.h"

namespace limpetlink {

/// @brief Implementation of Dispatcher. Handlers append to `actions`.
class DispatchCore {
 public:
  explicit DispatchCore(DispatcherSettings settings);

  std::vector<DispatchAction> Step(Instant now, const DispatchMessage& message);
  Instant NextWakeup() const;
  std::optional<Duration> HedgeDelay(const std::string& target,
                                     const std::string& route) const;
  std::vector<UpstreamId> OwnedWorkers() const;

 private:
  // Message handlers (core.cc).
  void On(const SubmitRequest& message);
  void On(const ReportProduced& message);
  void On(const ReportEnded& message);
  void On(const WorkerReport& message);
  void On(const SetWorkerState& message);
  void On(const CacheEvent& message);
  void On(const Configure& message);
  void On(const SetHosts& message);
  void On(const DispatchReceive& message);
  void On(const DispatchTick& message);

  // Request lifecycle (core.cc).
  std::optional<Problem> Validate(const SubmitRequest& message);
  Entry& NewEntry(const SubmitRequest& message, const StreamKey& key);
  void Enqueue(Entry& entry);
  void EndPlaced(Entry& entry, const ReportEnded& message);
  void RecordEnd(const UpstreamId& worker, PlacementEnd end);
  void RefuseEntry(Entry& entry, ErrorCode code, std::string_view detail,
                   std::optional<Duration> retry_after);
  void RemoveEntry(Ticket ticket);
  double ChargeFor(const Entry& entry) const;
  void ObserveLength(const LengthKey& key, PlacementEnd end,
                     std::uint32_t tokens);

  // Placement (core_drain.cc).
  void Drain(const std::string& target);
  bool DrainOne(const std::string& target, RequestClass request_class);
  bool TryPlace(Entry& entry);
  void PlaceLocally(Entry& entry, const UpstreamId& worker);
  void MarkPlaced(Entry& entry, const UpstreamId& worker, const HostId& owner);
  void Dequeue(const Entry& entry, bool served);
  void DrainAll();

  // Queued requests (core_wait.cc).
  void ReevaluateWaiting();
  bool ReevaluateEntry(Entry& entry, std::size_t ahead);
  void ReportWaiting(Entry& entry, std::size_t ahead);
  std::size_t RequestsAhead(const Entry& entry);
  std::optional<Duration> ExpectedWait(const Entry& entry, std::size_t ahead);
  Duration MaxWait(const Entry& entry) const;
  bool HasUntriedOwner(const Entry& entry) const;
  void EvaluateArrival(Entry& entry);

  // Reservations at other owners (core_reserve.cc).
  void Send(const HostId& to, PeerMessage message);
  void RequestReservation(Entry& entry);
  void SendReserve(Entry& entry);
  void CheckReservation(Entry& entry);
  void WithdrawReservation(Entry& entry);
  void PlaceUnreserved(Entry& entry);
  void OnPeer(const HostId& from, const PeerGrant& message);
  void OnPeer(const HostId& from, const PeerQueued& message);
  void OnPeer(const HostId& from, const PeerDeny& message);
  void OnPeer(const HostId& from, const PeerMissing& message);
  void OnPeer(const HostId& from, const PeerLimitShares& message);
  PeerDemand ToPeerDemand(const Entry& entry) const;
  PeerStream ToPeerStream(const Entry& entry) const;
  void SendSnapshots();
  void SendLimitRequests();

  // Grants to other hosts (core_grant.cc).
  void OnPeer(const HostId& from, const PeerReserve& message);
  void OnPeer(const HostId& from, const PeerRelease& message);
  void OnPeer(const HostId& from, const PeerSnapshot& message);
  void OnPeer(const HostId& from, const PeerAnnounce& message);
  void OnPeer(const HostId& from, const PeerLimitRequest& message);
  std::optional<SubmitRequest> ToSubmitRequest(
      const PeerReserve& message) const;
  std::optional<SubmitRequest> ToSubmitRequest(const PeerDemand& demand) const;
  void GrantEntry(Entry& entry, const UpstreamId& worker);
  void RespondToReservation(Entry& entry);
  void RemoveHolder(const HostId& holder);
  void ExpireGrants();
  void TransferOwnership(const std::map<UpstreamId, HostId>& previous_owners);
  std::map<UpstreamId, HostId> Owners() const;
  void IndexNames();

  DispatcherSettings settings;
  std::uint32_t epoch;
  Instant now;
  std::vector<DispatchAction> actions;
  std::shared_ptr<const FleetDocument> document;
  AdmissionPolicy policy;
  HostView hosts;

  WorkerTable workers;
  Router router;
  LimitTable limits;
  OwnerDirectory directory;
  LengthModel lengths;
  RetryBudget retries;
  HedgeDelays hedges;

  std::uint64_t last_ticket = 0;
  std::map<Ticket, Entry> entries;
  std::unordered_map<RequestId, Ticket> tickets;
  std::map<std::string, TargetQueues> queues;
  std::map<std::string, FairShare> fair;
  /// Reservation requests of other hosts that are queued here.
  std::map<StreamKey, Ticket> remote_waiting;
  std::map<StreamKey, RemotePlacement> granted;
  std::map<UpstreamId, std::uint32_t> unreserved;
  std::map<HostId, std::uint32_t> epochs;
  std::unordered_map<ShortName, std::string> names;

  Instant last_reevaluation;
  Instant last_snapshots;
  Instant last_limit_requests;
  Instant last_tick;
};

}  // namespace limpetlink
