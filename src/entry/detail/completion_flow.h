/// @file
/// @brief The way of a completion: from a caller's request to its one final
/// answer.
#pragma once

#include <map>
#include <set>
#include <utility>

#include "absl/status/status.h"
#include "entry/detail/completion.h"
#include "entry/detail/host_context.h"

namespace limpetlink {

/// @brief Serves /v1/completions and /v1/chat/completions.
class CompletionHandler {
 public:
  /// @param shared the host's state; outlives the flow
  explicit CompletionHandler(HostContext& shared);

  /// @brief Takes a caller's request; it is answered at once or kept.
  void Handle(const CallerRequest& request, CompletionKind kind);

  /// @return whether a request is one of this flow's
  bool Owns(RequestId id) const;

  // ---- Decisions of the dispatcher ----
  void OnPlace(const Place& place);
  void OnRefuse(const Refuse& refuse);
  void OnWaiting(const Waiting& waiting);
  void OnSetPriority(const SetPriority& priority);

  // ---- Events of the adapters ----
  void OnCallerGone(RequestId id);
  void OnCallerDrained(const CallerDrained& drained);
  void OnHead(RequestId id, const HttpHead& head);
  void OnChunk(RequestId id, const HttpChunk& chunk);
  void OnDone(RequestId id, const HttpDone& done);

  /// @brief Gives a request up at its deadline, with its final answer.
  void OnDeadline(RequestId id);

  /// @brief Tells a waiting stream its place.
  void OnNoticeDue(const WaitNotice& notice);

  /// @brief Lets stalls and resumes come due.
  void Tick();

  /// @return when Tick is due at the latest
  Instant NextWakeup() const;

  /// @return how many completions are in progress
  std::size_t InProgress() const { return this->completions.size(); }

 private:
  absl::Status Accept(const CallerRequest& request, CompletionKind kind);
  absl::Status StartOrResume(const CallerRequest& request,
                             Completion& completion);
  void Submit(const Completion& completion, bool is_retry);
  void StepStream(Completion& completion, StreamMessage message);
  void Execute(Completion& completion, const StartCall& start);
  void Execute(Completion& completion, const ResumeCall& resume);
  void Execute(Completion& completion, const AbandonCall& abandon);
  void Execute(Completion& completion, const PauseCall& pause);
  void Execute(Completion& completion, const DeliverToken& token);
  void Execute(Completion& completion, const FinishStream& finish);
  void Execute(Completion& completion, const EndIncomplete& end);
  void Execute(Completion& completion, const RestartStream& restart);
  void Execute(Completion& completion, const RequestNewWorker& retry);
  void Execute(Completion& completion, const CancelGeneration& cancel);
  void OpenCall(Completion& completion, StreamAttempt attempt, HttpCall call);
  void CloseCall(Completion& completion, std::string_view result);
  void SendHead(Completion& completion);
  void SendEvent(Completion& completion, const SseEvent& event);
  std::string CreateResumeToken(Completion& completion, std::uint64_t offset);
  void ReleasePlacement(Completion& completion, PlacementEnd end);
  void FailRequest(Completion& completion, Problem problem);
  bool TryFinish(Completion& completion);
  void Close(Completion& completion, std::string_view result);
  void SetWakeup(Completion& completion, Instant at);

  HostContext& shared;
  std::map<RequestId, Completion> completions;
  std::set<std::pair<Instant, RequestId>>
      wakeups;  ///< of streams that are timed
  std::uint64_t generations = 0;
};

}  // namespace limpetlink
