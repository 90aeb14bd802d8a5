/// @file
/// @brief Forwards callers' requests to workers and relays the responses.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "admission/admission.h"
#include "entry/entry.h"
#include "gateway/detail/codec.h"
#include "gateway/detail/forwarded.h"
#include "gateway/detail/settings.h"
#include "gateway/detail/worker_paths.h"
#include "limits/limits.h"
#include "quarantine/quarantine.h"
#include "retries/retries.h"

namespace limpetlink {

/// @brief The active deployment and the age of the information about it.
struct ActiveDeployment {
  std::shared_ptr<const RouteTable> table;  ///< null before the first one
  Duration age{0};  ///< all changes accepted before `now - age` are included
};

/// @brief Where a worker's limit was heard.
enum class LimitSource {
  kResponse,   ///< to a request of a caller
  kReport,     ///< the response to a poll; need not name the limit
  kNeighbour,  ///< relayed by another host
};

template <>
struct EnumTable<LimitSource> {
  static constexpr EnumName<LimitSource> kRows[] = {
      {LimitSource::kResponse, "response"},
      {LimitSource::kReport, "report"},
      {LimitSource::kNeighbour, "neighbour"}};
};

/// @brief Callbacks into the host that owns a Forwarding.
struct ForwardingHooks {
  std::function<ActiveDeployment(Instant)> deployment;
  std::function<CallId()> next_call_id;
  /// Time until the process must have ended; Duration::max() unless it is
  /// shutting down.
  std::function<Duration(Instant)> time_to_end;
  /// Called when a worker's response or report announces that it is leaving.
  std::function<void(Instant, const UpstreamId&)> worker_leaving;
  /// Called when the requests of this host at some worker changed.
  std::function<void(Instant)> loads_changed;
  /// Called when the quarantine received evidence from a request of this host.
  std::function<void(Instant)> evidence_changed;
  /// Called when a response changed the limit of its worker.
  std::function<void(Instant)> limits_changed;
  /// Returns whether the workers of a failure domain get no requests for now.
  std::function<bool(const FailureDomainId&)> is_evacuated;
};

/// @brief Drives all open requests from arrival to their complete response.
class Forwarding {
 public:
  Forwarding(const GatewaySettings& settings, const GatewayCodec& codec,
             ForwardingHooks hooks, const WorkerDirectory* directory,
             WorkerPaths* paths, InputQuarantine* quarantine,
             HostMetrics* metrics);

  /// @brief Sends a request to a worker, or refuses it, at once.
  void OnRequest(Instant now, CallerRequest request);
  /// @brief Cancels the attempts of a caller that disconnected.
  void OnCallerDisconnected(Instant now,
                            const CallerDisconnected& disconnected);
  /// @brief Records that a caller read bytes; resumes paused attempts.
  void OnCallerBufferDrained(Instant now, const CallerBufferDrained& drained);
  /// @return whether the call belongs to a request, report or migration
  bool OnHead(Instant now, const HttpHead& received);
  bool OnChunk(Instant now, const HttpChunk& chunk);
  bool OnDone(Instant now, const HttpDone& done);

  /// @brief Starts to migrate the streams off a leaving worker.
  /// @param noticed_at when the first host noticed it; the plan's times are
  /// relative to this instant
  void OnLeaving(Instant now, const WorkerRegistration& worker,
                 Instant noticed_at);

  /// @brief Gives up the requests with a quarantined input that wait at
  /// workers; called when the quarantine has changed.
  void OnQuarantineChanged(Instant now);

  /// @brief Drops the load of a worker that terminated or restarted.
  void RemoveWorker(const UpstreamId& worker) {
    this->paths->RemoveWorker(worker);
    this->loads.Remove(worker);
    this->allowances.Remove(worker);
    this->unreadable_limits.erase(worker);
  }

  /// @brief Advances the timers: deadlines, hedged attempts and migrations;
  /// polls engines for their load.
  void Tick(Instant now);
  Instant NextWakeup() const;

  /// @brief Ends all requests; the process is about to terminate.
  void EndAll(Instant now);

  /// @brief Applies a limit that a worker named, or its end.
  /// @return whether it changed
  bool ApplyLimit(Instant now, const LimitNotice& notice, LimitSource source);

  /// @return whether this host may send requests to the worker now
  bool MaySend(Instant now, const WorkerRegistration& worker) {
    return this->allowances.MaySend(now, worker.id) &&
           !this->hooks.is_evacuated(worker.domain);
  }

  /// @return whether this host may send commands to the worker now
  bool MaySendCommand(Instant now, const UpstreamId& worker) const {
    return this->allowances.MaySendCommand(now, worker);
  }

  /// @brief Handles what a response to a request that was sent at `sent` tells
  /// about its worker.
  void NoteResponse(Instant now, const UpstreamId& worker, Instant sent,
                    int status, const WorkerResponse& response);

  /// @return what this host may send to the workers
  WorkerAllowances& Allowances() { return this->allowances; }
  const WorkerAllowances& Allowances() const { return this->allowances; }

  /// @return the placements of this host and of others
  LoadTable& Loads() { return this->loads; }

  /// @return number of open requests
  std::size_t Open() const { return this->flows.size(); }
  const std::map<std::uint64_t, ForwardedRequest>& Flows() const {
    return this->flows;
  }

  /// @brief Moves out the actions since the last call.
  Actions TakeActions() { return std::exchange(this->actions, {}); }

 private:
  enum class TimerKind { kDeadline, kHedge, kMigration };

  enum class ReportPurpose {
    kLoadPoll,
    kMigrationPlan,  ///< the worker is leaving
    kCrashCheck,     ///< whether the worker has ended
  };

  /// @brief A request that its worker cut.
  struct SuspectRequest {
    std::string request_id;
    std::vector<SuspectInput> inputs;
    /// Incarnations of workers that cut the request before.
    std::vector<std::pair<UpstreamId, std::int64_t>> cut_before;
    std::uint32_t checks = 0;  ///< made of the worker
  };

  /// @brief A call for an engine's report.
  struct ReportCall {
    WorkerRegistration worker;
    ReportPurpose purpose = ReportPurpose::kLoadPoll;
    Instant noticed_at{};  ///< start of the poll, or when the host noticed that
                           ///< the worker is leaving or has ended
    SuspectRequest suspect;  ///< of a crash check
    int status = 0;
    std::string body;
  };

  /// @brief A KV transfer command in progress.
  struct TransferCall {
    std::uint64_t flow = 0;
    int status = 0;
    std::string body;
  };

  struct Timer {
    Instant due;
    std::uint64_t flow;
    TimerKind kind;
    bool operator<(const Timer& other) const {
      return std::tie(this->due, this->flow, this->kind) <
             std::tie(other.due, other.flow, other.kind);
    }
  };

  /// @brief Finds route, service, size and deadline of a request.
  /// @return why it is refused, if so
  std::optional<Problem> Admit(Instant now, ForwardedRequest* flow);
  /// @brief Returns how long a host that shuts down has to expect a request to
  /// take.
  Duration LongestRun(const ForwardedRequest& flow, Duration timeout) const;
  std::optional<Problem> CheckKey(Instant now, const ActiveDeployment& active,
                                  ForwardedRequest* flow);
  std::optional<LoadChoice> ChooseWorker(Instant now,
                                         const ForwardedRequest& flow);
  /// @brief Sends the request to an untried worker.
  /// @return false if there is none
  bool Send(Instant now, ForwardedRequest* flow);
  void RelayEvents(Instant now, ForwardedRequest* flow, Attempt* attempt,
                   std::string_view bytes);
  void EndAttempt(Instant now, std::uint64_t id, CallId call, AttemptEnd end);
  /// @brief Lets a request that did not reach its worker be sent there again
  /// by another way.
  void NoteConnectFailure(Instant now, ForwardedRequest* flow,
                          const Attempt& attempt);
  /// @brief Retries, delivers, refuses or aborts, as decided.
  void ProceedAfterAttempt(Instant now, std::uint64_t id,
                           const Attempt& attempt, AttemptEnd end);
  /// @brief Refuses a request that did not run and can't be sent again.
  void RefuseAfterAttempt(Instant now, std::uint64_t id, AttemptEnd end);
  /// @brief Ends an attempt whose response takes too much memory.
  void EndOversized(Instant now, ForwardedRequest* flow, Attempt* attempt);
  void EndLargestResponse(Instant now);
  AttemptEnd Classify(const ForwardedRequest& flow, const Attempt& attempt,
                      HttpEnd end) const;
  void Deliver(Instant now, std::uint64_t id, const Attempt& attempt);
  void Refuse(Instant now, std::uint64_t id, Problem problem);
  void AbortStream(Instant now, std::uint64_t id, const char* cause);
  void Finish(Instant now, std::uint64_t id, int status, Outcome outcome,
              std::string cause);
  /// @param silent count workers that haven't responded as unresponsive
  void CancelAttempts(Instant now, ForwardedRequest* flow, bool silent);
  void OnDeadline(Instant now, std::uint64_t id);
  /// @brief Sends a hedged attempt if the only one has no response yet.
  void Hedge(Instant now, ForwardedRequest* flow);
  void ReplyProblem(Instant now, const RequestId& id, const Problem& problem);
  /// @return the ways that a request may take to its worker
  PathRequirements RequirementsOf(const ForwardedRequest& flow) const;
  /// @brief Sends an attempt to its worker, by a way that is chosen here.
  /// @return false if there is no way
  bool SendAttempt(Instant now, const ForwardedRequest& flow, Attempt* attempt,
                   std::optional<ResumePoint> resume);
  /// @brief Sends a command or a poll to a worker. In a pause of the worker,
  /// WorkerAllowances::MaySendCommand() has to be asked before.
  /// @param call its `url` has path and query only
  void SendCommand(Instant now, const UpstreamId& worker,
                   const std::string& address, HttpCall call);
  void CancelCall(CallId call);
  std::vector<LoadCandidate> Candidates(Instant now,
                                        const ForwardedRequest& flow);
  /// @brief Returns the refusal of a request that no worker may get now.
  Problem NoWorkerProblem(Instant now, const ForwardedRequest& flow);
  Distance DistanceTo(const FailureDomainId& domain) const {
    return this->DistanceBetween(this->settings.failure_domain, domain);
  }
  /// @return the region of a failure domain; the domain itself if unknown
  std::string RegionOf(const FailureDomainId& domain) const;
  /// @return whether route and organisation allow the region
  static bool MayServe(const ForwardedRequest& flow, const std::string& region);
  Distance DistanceBetween(const FailureDomainId& from,
                           const FailureDomainId& to) const;

  // What workers say of themselves; in forwarding_worker_state.cc.
  /// @brief Handles what every response of a worker may tell about it.
  void ApplyWorkerState(Instant now, const UpstreamId& worker, int status,
                        const WorkerResponse& response);
  /// @brief Reads the limit in a response to a call that was sent at `sent`.
  void ReadLimit(Instant now, const UpstreamId& worker, Instant sent,
                 const WorkerResponse& response, LimitSource source);

  // Quarantine; in forwarding_quarantine.cc.
  /// @return why the request may not be sent to an engine, if so
  std::optional<Problem> CheckQuarantine(Instant now,
                                         const ForwardedRequest& flow) const;
  /// @brief Asks a worker that cut the request whether it has ended.
  void CheckForCrash(Instant now, ForwardedRequest* flow,
                     const Attempt& attempt, AttemptEnd end);
  void SendCrashCheck(Instant now, ReportCall check);
  void HandleCrashCheck(Instant now, ReportCall call, const WorkerCallEnd& end);
  /// @brief Records that the request's run continued, if it did.
  void NoteSoundRun(Instant now, const ForwardedRequest& flow,
                    const Attempt& attempt, bool completed);

  // Migration; in forwarding_migration.cc.
  HttpCall MakeReportCall();
  void RequestReport(Instant now, const WorkerRegistration& worker,
                     ReportPurpose purpose, Instant noticed_at);
  /// @return number of engines in this failure domain
  std::size_t RequestLoadReports(Instant now);
  void HandleLoadReport(Instant now, const ReportCall& call);
  bool OnMigrationDone(Instant now, CallId id, const WorkerCallEnd& end);
  bool OnMigrationHead(Instant now, const HttpHead& head);
  /// @brief Returns when the next refused caller of a service may return, at
  /// the rate that this host's share of the workers' limits serves.
  Duration ReserveReturn(Instant now, const std::string& service,
                         double per_second);
  bool OnMigrationChunk(const HttpChunk& chunk);
  void HandleStreamReport(Instant now, const ReportCall& call);
  void ScheduleMigration(Instant now, ForwardedRequest* flow,
                         const ReportCall& call, const UpstreamId& destination,
                         Instant due);
  void StartMigration(Instant now, ForwardedRequest* flow, StreamMove move,
                      const StreamMigration& origin, Instant due);
  void ReleaseReservation(Instant now, ForwardedRequest* flow);
  /// @brief Carries out a step of a stream's move, and the steps that follow.
  void Advance(Instant now, ForwardedRequest* flow, MoveAction action);
  bool ChooseDestination(Instant now, ForwardedRequest* flow);
  /// @brief Sends the command for the first or the last transfer.
  /// @return the next step
  MoveAction StartTransfer(Instant now, ForwardedRequest* flow, bool last);
  void HandleTransfer(Instant now, CallId id, const TransferCall& call,
                      const WorkerCallEnd& end);
  void Resume(Instant now, ForwardedRequest* flow);
  /// @return whether the migration handles the end of the attempt
  bool DeferToMigration(Instant now, ForwardedRequest* flow,
                        const Attempt& attempt, AttemptEnd end);
  /// @brief Ends a migration: its timer, its reservation and its command.
  /// @return what it was; its copy is the caller's to use or to release
  std::pair<StreamMigration, std::string> EndMigration(Instant now,
                                                       ForwardedRequest* flow);
  /// @brief Ends a migration, if there is one, and releases its copy.
  void AbandonMigration(Instant now, ForwardedRequest* flow);
  /// @brief Lets the workers free a copy that won't be used.
  void ReleaseCopy(Instant now, const StreamMigration& migration,
                   const std::string& handle);

  Headers ReplyHeaders(Instant now, Headers headers) const;
  Duration RetryAfter(Instant now, const ForwardedRequest& flow);
  WindowBudget& BudgetOf(const std::string& service);
  Attempt* FindAttempt(CallId call, ForwardedRequest** flow);
  void Log(LogLevel level, std::string message, std::vector<LogField> fields);

  const GatewaySettings& settings;
  const GatewayCodec& codec;
  ForwardingHooks hooks;
  const WorkerDirectory* directory;
  WorkerPaths* paths;
  InputQuarantine* quarantine;
  HostMetrics* metrics;
  LoadTable loads;
  HedgeDelays hedge_delays;
  LengthHintEstimator output_lengths;
  Random random;
  std::map<std::string, WindowBudget> budgets;
  std::map<std::uint64_t, ForwardedRequest> flows;
  std::unordered_map<std::uint64_t, std::uint64_t> flow_of_call;
  std::set<Timer> timers;
  std::unordered_map<std::uint64_t, TransferCall> transfers;
  std::unordered_map<std::uint64_t, ReportCall> reports;
  WorkerAllowances allowances;
  std::set<UpstreamId> unreadable_limits;  ///< workers, logged once
  /// When the last refused caller of a service was told to return.
  std::map<std::string, Instant> returns;
  std::size_t buffered_responses = 0;  ///< bytes of incomplete responses
  Instant next_load_poll{};
  std::set<std::uint64_t> releases;  ///< calls whose response is ignored
  Actions actions;
};

}  // namespace limpetlink
