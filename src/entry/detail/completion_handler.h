/// @file
/// @brief Handles completion requests from arrival to the single final
/// response.
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
  /// @param shared state of the host; must outlive this object
  explicit CompletionHandler(HostContext& shared);

  /// @brief Handles a caller's request: rejects it at once, or admits it.
  void Handle(const CallerRequest& request, CompletionKind kind);

  /// @return whether this handler has the request in progress
  bool Owns(RequestId id) const;

  // ---- Decisions of the dispatcher ----
  void OnPlace(const Place& place);
  void OnRefuse(const Refuse& refuse);
  void OnWaiting(const Waiting& waiting);
  void OnSetPriority(const SetPriority& priority);

  // ---- Events from the adapters ----
  void OnCallerDisconnected(RequestId id);
  void OnCallerBufferDrained(const CallerBufferDrained& drained);
  void OnHead(RequestId id, const HttpHead& head);
  void OnChunk(RequestId id, const HttpChunk& chunk);
  void OnDone(RequestId id, const HttpDone& done);

  /// @brief Ends a request at its deadline with a final response.
  void OnDeadline(RequestId id);

  /// @brief Sends the queue position to the caller of a waiting stream.
  void OnNoticeDue(const WaitNotice& notice);

  /// @brief Runs the timers of the streams, such as stalls and resumes.
  void Tick();

  /// @return the latest time at which Tick must be called
  Instant NextWakeup() const;

  /// @return the number of completions in progress
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
  std::set<std::pair<Instant, RequestId>> wakeups;  ///< timers of the streams
  std::uint64_t generations = 0;
};

}  // namespace limpetlink
