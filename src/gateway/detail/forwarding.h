/// @file
/// @brief Takes callers' requests to workers and their answers back.
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
#include "retries/retries.h"

namespace limpetlink {

/// @brief The configuration in force and how old the knowledge of it is.
struct DeploymentInForce {
  std::shared_ptr<const RouteTable> table;  ///< null before the first
  Duration age{0};  ///< nothing accepted before that is missing
};

/// @brief What the flows ask of the host around them.
struct ForwardingHooks {
  std::function<DeploymentInForce(Instant)> deployment;
  std::function<CallId()> next_call_id;
  /// Time until the process must have ended; Duration::max() while it serves.
  std::function<Duration(Instant)> time_to_end;
  /// A worker says of itself that it leaves.
  std::function<void(Instant, const UpstreamId&)> worker_leaves;
  /// The own requests at some worker changed.
  std::function<void(Instant)> loads_changed;
};

/// @brief The requests that have no final answer yet, one flow each.
class Forwarding {
 public:
  Forwarding(const GatewaySettings& settings, const GatewayCodec& codec,
             ForwardingHooks hooks, const WorkerDirectory* directory,
             HostMetrics* metrics);

  /// @brief Takes a request and sends or refuses it at once.
  void OnRequest(Instant now, CallerRequest request);
  /// @brief The caller left; its attempts are cancelled.
  void OnGone(Instant now, const CallerGone& gone);
  /// @brief The caller took bytes.
  void OnDrained(Instant now, const CallerDrained& drained);
  /// @return whether the call is one of a flow
  bool OnHead(Instant now, const HttpHead& head);
  bool OnChunk(Instant now, const HttpChunk& chunk);
  bool OnDone(Instant now, const HttpDone& done);

  /// @brief A worker takes no new work and will be gone soon: its streams
  /// move.
  /// @param noticed when the first host knew; plans are timed from it
  void OnLeaving(Instant now, const WorkerRegistration& worker,
                 Instant noticed);

  /// @brief A worker has left or started anew.
  void Forget(const UpstreamId& worker) { this->loads.Remove(worker); }

  /// @brief Ends what has reached its deadline; sends second copies.
  void Tick(Instant now);
  Instant NextWakeup() const;

  /// @brief Ends all flows, as the process must end now.
  void EndAll(Instant now);

  /// @return what this host and others have placed
  LoadTable& Loads() { return this->loads; }

  std::size_t Open() const { return this->flows.size(); }
  const std::map<std::uint64_t, Forwarded>& Flows() const {
    return this->flows;
  }

  /// @brief Hands over the orders made since the last take.
  Actions TakeActions() { return std::exchange(this->actions, {}); }

 private:
  enum class TimerKind { kDeadline, kHedge, kMove };

  /// @brief A leaving worker was asked what it runs.
  struct ReportCall {
    WorkerRegistration worker;
    bool leaving = false;  ///< else it was asked for its load only
    Instant noticed{};
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

  std::optional<Problem> Admit(Instant now, Forwarded* flow);
  std::optional<Problem> AdmitKey(Instant now, const DeploymentInForce& force,
                                  Forwarded* flow);
  std::optional<LoadChoice> ChooseWorker(Instant now, const Forwarded& flow);
  bool Send(Instant now, Forwarded* flow);
  void TakeEvents(Instant now, Forwarded* flow, Attempt* attempt,
                  std::string_view bytes);
  void EndAttempt(Instant now, std::uint64_t id, CallId call, AttemptEnd end);
  void Follow(Instant now, std::uint64_t id, const Attempt& attempt,
              AttemptEnd end);
  AttemptEnd Classify(const Forwarded& flow, const Attempt& attempt,
                      HttpEnd end) const;
  void Deliver(Instant now, std::uint64_t id, const Attempt& attempt);
  void Refuse(Instant now, std::uint64_t id, Problem problem);
  void BreakOff(Instant now, std::uint64_t id, const char* cause);
  void Finish(Instant now, std::uint64_t id, int status, Outcome outcome,
              std::string cause);
  void CancelAttempts(Instant now, Forwarded* flow, bool silent);
  void ReachDeadline(Instant now, std::uint64_t id);
  void Hedge(Instant now, Forwarded* flow);
  void ReplyProblem(Instant now, const RequestId& id, const Problem& problem);
  HttpCall CallFor(Instant now, const Forwarded& flow, const Attempt& attempt,
                   const std::string& address,
                   std::optional<ResumeTerms> resume) const;
  std::vector<LoadCandidate> Candidates(const Forwarded& flow) const;
  Distance DistanceTo(const FailureDomainId& domain) const {
    return this->DistanceBetween(this->settings.failure_domain, domain);
  }
  Distance DistanceBetween(const FailureDomainId& from,
                           const FailureDomainId& to) const;

  // Moves; in forwarding_moves.cc.
  void AskReport(const WorkerRegistration& worker, bool leaving,
                 Instant noticed);
  /// @return engines near by
  std::size_t AskLoads(Instant now);
  void TakeLoad(Instant now, const ReportCall& call);
  bool OnMoveCall(Instant now, const HttpDone& done);
  bool TakeMoveHead(const HttpHead& head);
  bool TakeMoveChunk(const HttpChunk& chunk);
  void TakeReport(Instant now, const ReportCall& call);
  void ScheduleMove(Instant now, Forwarded* flow, const ReportCall& call,
                    const UpstreamId& destination, Instant due);
  /// @brief A stream had to go on at its leaving worker.
  void MoveAgain(Instant now, Forwarded* flow, const StreamMove& before);
  void ReleaseRoom(Instant now, Forwarded* flow);
  void StepMove(Instant now, Forwarded* flow);
  bool ChooseDestination(Instant now, Forwarded* flow);
  void OrderCopy(Instant now, Forwarded* flow, bool last);
  void TakeMoveAnswer(Instant now, Forwarded* flow, const MoveAnswer& answer);
  void TakeCopied(Instant now, Forwarded* flow, const std::string& handle);
  void RetryMove(Instant now, Forwarded* flow, Duration pause);
  void Resume(Instant now, Forwarded* flow);
  bool HoldsForMove(Instant now, Forwarded* flow, const Attempt& attempt,
                    AttemptEnd end);
  void AbandonMove(Instant now, Forwarded* flow);

  Headers ReplyHeaders(Instant now, Headers headers) const;
  Duration ComeBack(Instant now, const Forwarded& flow);
  WindowBudget& BudgetOf(const std::string& service);
  Attempt* FindAttempt(CallId call, Forwarded** flow);
  void Log(LogLevel level, std::string message, std::vector<LogField> fields);

  const GatewaySettings& settings;
  const GatewayCodec& codec;
  ForwardingHooks hooks;
  const WorkerDirectory* directory;
  HostMetrics* metrics;
  LoadTable loads;
  HedgeDelays hedge_delays;
  GuessedLengths guessed_lengths;
  Random random;
  std::map<std::string, WindowBudget> budgets;
  std::map<std::uint64_t, Forwarded> flows;
  std::unordered_map<std::uint64_t, std::uint64_t> flow_of_call;
  std::set<Timer> timers;
  std::unordered_map<std::uint64_t, std::uint64_t> flow_of_move;
  std::unordered_map<std::uint64_t, ReportCall> reports;
  Instant next_loads{};
  std::set<std::uint64_t> releases;  ///< calls whose answer decides nothing
  Actions actions;
};

}  // namespace limpetlink
