/// @file
/// @brief GatewayHost: an entry host that forwards requests by declared
/// routes.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "gateway/detail/forwarding.h"
#include "gateway/detail/quarantine_records.h"
#include "gateway/detail/relay_server.h"
#include "gateway/detail/worker_paths.h"
#include "neighbours/neighbours.h"

namespace limpetlink {

/// @brief Who said that a worker is leaving.
enum class LeavingSource { kWorker, kNeighbour };

template <>
struct EnumTable<LeavingSource> {
  static constexpr EnumName<LeavingSource> kRows[] = {
      {LeavingSource::kWorker, "the worker"},
      {LeavingSource::kNeighbour, "a neighbour"}};
};

/// @brief Combines configuration, discovery and forwarding into one core that
/// does no I/O. It has the same interface as EntryHost.
/// @note Example:
/// @code
/// GatewayHost host(settings, codec);
/// CoreHooks hooks = HooksOf(&host);
/// @endcode
class GatewayHost {
 public:
  GatewayHost(GatewaySettings settings, GatewayCodec codec);

  Actions Start(Instant now);
  Actions Step(Instant now, const Event& event);
  Actions Tick(Instant now);
  /// @brief Starts the graceful shutdown.
  Actions Drain(Instant now);
  Instant NextWakeup() const;
  /// @return whether the shutdown is complete
  bool Drained() const;

  /// @return the current limits on callers' requests
  HttpLimits CurrentHttpLimits() const;

  /// @return whether callers may still connect; after Drain() they may until
  /// the load balancer has noticed
  bool AcceptsCallers() const { return this->accepts_callers; }

  /// @brief Replaces the limits after a change of the settings; work in
  /// progress keeps the limits it started with.
  void Reload(const GatewayLimits& limits) { this->settings.limits = limits; }

  /// @return the number of workers that this host knows
  std::size_t WorkerCount() const { return this->directory.Size(); }

  /// @return the result of the readiness check
  bool Ready(Instant now) const;

 private:
  NeighbourHooks MakeNeighbourHooks();
  RelayServerHooks MakeRelayHooks();
  /// @return what this host offers to others; nothing if it relays no requests
  std::optional<RelayOffer> MakeRelayOffer() const;
  KindWatch MakeEvacuationWatch();
  void SetEvacuated(const FailureDomainId& domain, bool evacuated);
  /// @return a value in [0, 1) derived from the host id
  double Phase() const;
  /// @brief Spreads the reads of the store over the neighbours.
  void UpdateReadSchedule(Instant now);
  void HandleStoreResults(Instant now);
  Actions Collect(Instant now);
  void ApplyDeployment(Instant now, const ObjectRecord& record);
  void ApplyRegistration(Instant now, const ObjectRecord& record);
  void MarkLeaving(Instant now, const UpstreamId& id, LeavingSource source,
                   Duration age);
  /// @brief Takes back what other hosts said of workers whose registrations
  /// show later that they don't leave.
  void ExpireToldLeaving(Instant now);
  void ServeOperator(Instant now, const CallerRequest& request);
  std::string RenderRequests(Instant now) const;
  std::string RenderQuarantine(Instant now) const;
  std::string RenderLimits(Instant now) const;
  /// @brief Ends the suspicion against an input, on all hosts.
  /// @return false if the input is not suspect
  bool ReleaseInput(Instant now, const std::string& id);
  void LogStoreMode();
  void OnStoreRestored(Instant now);
  /// @brief Logs changes of the quarantine, and withdraws requests.
  void UpdateQuarantine(Instant now);
  /// @brief Sends the latest changes of a kind to the neighbours.
  void Relay(Instant now, const KindWatch& watch);
  void RequestChanges(Instant now, const MissingChanges& missing);
  /// @return whether a limit changed here
  bool ApplyLimits(Instant now, const std::vector<LimitNotice>& limits);
  /// @return whether the room of a brittle worker changed here
  bool ApplyRooms(Instant now, const std::vector<RoomNotice>& rooms);
  void Log(LogLevel level, std::string message, std::vector<LogField> fields);

  GatewaySettings settings;
  GatewayCodec codec;
  std::uint64_t last_call = 0;
  HostMetrics metrics;
  MetadataStoreClient store;
  std::shared_ptr<const RouteTable> table;
  WorkerDirectory directory;
  std::set<UpstreamId> told_leaving;  ///< by other hosts, may have expired
  KindWatch deployments;
  KindWatch workers;
  std::optional<KindWatch> evacuations;
  std::vector<KindWatch*> watches = {&this->deployments, &this->workers};
  std::set<FailureDomainId> evacuated;
  InputQuarantine quarantine;
  QuarantineRecords quarantine_records;
  WorkerPaths paths;
  Forwarding forwarding;
  RelayServer relay_server;
  Neighbours neighbours;
  Actions actions;
  StoreMode logged_mode = StoreMode::kNormal;
  std::set<std::string> kinds_to_relay;
  WatchRole logged_role = WatchRole::kIndependent;
  bool quarantine_changed = false;
  Instant next_quarantine_update = kNever;
  std::set<std::string> logged_quarantine;
  bool logged_ready = false;
  std::optional<Instant> drain_started;
  bool accepts_callers = true;
  bool ended = false;
  Instant latest{};
};

}  // namespace limpetlink
