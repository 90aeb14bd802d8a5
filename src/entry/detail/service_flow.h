/// @file
/// @brief The way of a request to an application service: looked up again at
/// will, or run at most
///        once.
#pragma once

#include <map>
#include <string_view>

#include "absl/status/status.h"
#include "entry/detail/host_context.h"
#include "entry/detail/log_storage.h"
#include "entry/detail/service_request.h"
#include "idempotency/idempotency.h"

namespace limpetlink {

/// @brief Serves /v1/services/{service}/...
class ServiceHandler {
 public:
  /// @param shared the host's state; outlives the flow
  /// @param platform keeps the idempotency log; outlives the flow
  ServiceHandler(HostContext& shared, MetadataStoreClient& platform);

  /// @return whether a path is one of this flow's
  static bool IsServicePath(std::string_view path);

  /// @brief What a refusal may say of a request that the log was not asked
  /// about: `unknown` for a
  ///        keyed one that its caller may have sent before, else `not_run`.
  static Outcome RefusalOutcome(const Headers& headers);

  /// @brief Takes a caller's request; it is answered at once or kept.
  void Handle(const CallerRequest& request);

  /// @return whether a request, or a copy of it, is one of this flow's
  bool Owns(RequestId id) const;

  // ---- Decisions of the dispatcher ----
  void OnPlace(const Place& place);
  void OnRefuse(const Refuse& refuse);
  void OnWaiting(const Waiting& waiting);

  // ---- Events ----
  void OnCallerGone(RequestId id);
  void OnHead(RequestId id, const HttpHead& head);
  void OnChunk(RequestId id, const HttpChunk& chunk);
  void OnDone(RequestId id, const HttpDone& done);
  void OnPlatform(const StoreResult& result);
  void OnWallClock(const WallClockRead& clock);

  /// @brief Gives a request up at its deadline, with its final answer.
  void OnDeadline(RequestId id);

  /// @brief Lets hedges and the log come due.
  void Tick();

  /// @return when Tick is due at the latest
  Instant NextWakeup() const;

  /// @return whether nothing is in progress and the log has nothing left to
  /// write
  bool Idle() const;

 private:
  absl::Status Accept(const CallerRequest& request);
  void Submit(ServiceRequest& request, RequestId dispatch_id, bool is_retry);
  void OpenCall(ServiceRequest& request, ServiceAttempt& attempt,
                const Place& place);
  void HandleResponse(ServiceRequest& request, std::size_t index);
  void FailAttempt(ServiceRequest& request, std::size_t index,
                   PlacementEnd end);
  void EndAttempt(ServiceRequest& request, std::size_t index, PlacementEnd end);
  void EndAllAttempts(ServiceRequest& request, PlacementEnd end);
  void FinishAttemptSpan(const ServiceAttempt& attempt,
                         std::string_view result);
  void StartHedge(ServiceRequest& request);
  void RecordFailure(ServiceRequest& request);
  void FailRequest(ServiceRequest& request, Problem problem);
  void Respond(ServiceRequest& request, int status, const Headers& headers,
               const std::string& body, bool replayed);
  void Close(ServiceRequest& request, std::string_view result);
  void StepLog(const LogMessage& message);
  void ExecuteLogAction(const LogAction& action);

  HostContext& shared;
  IdempotencyLog log;
  LogStorage storage;
  std::map<RequestId, ServiceRequest> requests;
};

}  // namespace limpetlink
