/// @file
/// @brief How calls reach workers: by this host's own link, or through another
/// host.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "discovery/discovery.h"
#include "gateway/detail/settings.h"
#include "ports/ports.h"
#include "reachability/reachability.h"

namespace limpetlink {

/// @brief What another host did with a call that it was to relay.
enum class RelayResult {
  kWorker,        ///< the response is the worker's
  kNotSent,       ///< it refused the call
  kNotConnected,  ///< it has no connection to the worker either
  kUnknown,       ///< the worker may have received the call
};

template <>
struct EnumTable<RelayResult> {
  static constexpr EnumName<RelayResult> kRows[] = {
      {RelayResult::kWorker, "worker"},
      {RelayResult::kNotSent, "not_sent"},
      {RelayResult::kNotConnected, "not_connected"},
      {RelayResult::kUnknown, "unknown"}};
};

/// @brief What a call is for; a relay sends commands also to workers that take
/// no requests.
enum class WorkerCallKind { kRequest, kCommand };

template <>
struct EnumTable<WorkerCallKind> {
  static constexpr EnumName<WorkerCallKind> kRows[] = {
      {WorkerCallKind::kRequest, "request"},
      {WorkerCallKind::kCommand, "command"}};
};

/// @brief Headers between hosts. They are removed from what callers and workers
/// send.
inline constexpr const char* kRelayHeaderPrefix = "Limpet-Relay-";
inline constexpr const char* kRelayWorkerHeader = "Limpet-Relay-Worker";
inline constexpr const char* kRelayTokenHeader = "Limpet-Relay-Token";
inline constexpr const char* kRelayKindHeader = "Limpet-Relay-Kind";
inline constexpr const char* kRelayResultHeader = "Limpet-Relay-Result";
/// Its value kRelayUntilClose says that only the end of the worker's connection
/// delimits the body, which the relay sends in chunks. Hosts that don't know
/// the header ignore it.
inline constexpr const char* kRelayBodyHeader = "Limpet-Relay-Body";
inline constexpr const char* kRelayUntilClose = "until-close";

/// @brief Returns the headers without those between hosts.
Headers WithoutRelayHeaders(Headers headers);

/// @brief The way of one call to its worker.
struct WorkerPath {
  std::optional<RelayOffer> relay;  ///< unset: this host's own link
};

/// @brief Restricts the ways of a request.
struct PathRequirements {
  std::set<HostId> excluded;  ///< hosts that refused it
  bool prefers_relay = false;
  /// Whether it may pass through hosts of a failure domain; empty: through all.
  std::function<bool(const FailureDomainId&)> is_allowed;
};

/// @brief How a call to a worker ended.
struct WorkerCallEnd {
  HttpEnd end = HttpEnd::kComplete;
  std::optional<HostId> relay;    ///< the host that it went through
  bool refused_by_relay = false;  ///< not sent; tells nothing of the worker
};

/// @brief Callbacks of WorkerPaths.
struct WorkerPathsHooks {
  std::function<CallId()> next_call_id;
  /// Called when the reachable workers changed.
  std::function<void(Instant)> changed;
};

/// @brief Owns the view of which host reaches which worker, selects the way of
/// each call to a worker, and learns from its end.
class WorkerPaths {
 public:
  /// @param directory must outlive this
  WorkerPaths(const GatewaySettings& settings, const WorkerDirectory* directory,
              WorkerPathsHooks hooks)
      : settings(settings),
        directory(directory),
        hooks(std::move(hooks)),
        relays(settings.seed + 2) {}

  const WorkerReachability& Reachability() const { return this->reachability; }
  RelayDirectory& Relays() { return this->relays; }

  /// @return whether Choose() would return a way
  bool CanReach(Instant now, const WorkerRegistration& worker,
                const PathRequirements& requirements) const;

  /// @return whether another host offers a way to the worker
  bool HasRelay(Instant now, const WorkerRegistration& worker,
                const PathRequirements& requirements) const;

  /// @return the way to a worker, or nothing if there is none
  std::optional<WorkerPath> Choose(Instant now,
                                   const WorkerRegistration& worker,
                                   const PathRequirements& requirements);

  /// @brief Directs a call to the worker by a way, and follows it.
  /// @param target path and query at the worker
  void Begin(const WorkerRegistration& worker, const WorkerPath& path,
             WorkerCallKind kind, const std::string& target, HttpCall* call);

  /// @brief Reads the head of a response.
  /// @return whether it is the worker's; its headers are then those of the
  /// worker
  bool OnHead(HttpHead* head);
  /// @return whether the bytes are the worker's
  bool OnChunk(const HttpChunk& chunk) const;
  /// @brief Ends a call and returns how it ended at the worker.
  WorkerCallEnd OnDone(Instant now, const HttpDone& done);
  void OnCancel(CallId call);

  /// @return whether the call was a probe of this
  bool OnProbeDone(Instant now, const HttpDone& done);

  /// @brief Has a worker probed that is silent or cut a request.
  void Suspect(Instant now, const UpstreamId& worker) {
    this->reachability.Suspect(now, worker);
  }

  /// @brief Forgets a worker that terminated or restarted.
  void RemoveWorker(const UpstreamId& worker) {
    this->reachability.Remove(worker);
  }

  /// @brief Starts the probes that are due.
  void Tick(Instant now);
  Instant NextWakeup() const { return this->reachability.NextWakeup(); }
  Actions TakeActions() { return std::exchange(this->actions, {}); }

 private:
  struct OpenCall {
    UpstreamId worker;
    std::optional<HostId> relay;
    RelayResult result = RelayResult::kUnknown;
  };

  RelayQuery MakeQuery(const WorkerRegistration& worker,
                       const PathRequirements& requirements) const;
  /// @brief Logs what changed in the reachability of workers.
  void NoteChanges(Instant now);

  const GatewaySettings& settings;
  const WorkerDirectory* directory;
  WorkerPathsHooks hooks;
  WorkerReachability reachability;
  RelayDirectory relays;
  std::unordered_map<std::uint64_t, OpenCall> calls;
  std::unordered_map<std::uint64_t, UpstreamId> probes;
  std::vector<UpstreamId> logged_unreachable;
  bool logged_cut_off = false;
  Actions actions;
};

}  // namespace limpetlink
