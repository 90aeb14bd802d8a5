/// @file
/// @brief Handles requests to application services: idempotent requests are
/// retried freely, other requests run at most once.
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
  /// @param shared state of the host; must outlive this object
  /// @param platform stores the idempotency log; must outlive this object
  ServiceHandler(HostContext& shared, MetadataStoreClient& platform);

  /// @return whether a path is below /v1/services/
  static bool IsServicePath(std::string_view path);

  /// @brief Returns the outcome to report for a request that is refused before
  /// the idempotency log was consulted.
  /// @return `unknown` for a keyed request that its caller may have sent
  /// before, else `not_run`
  static Outcome RefusalOutcome(const Headers& headers);

  /// @brief Handles a caller's request: rejects it at once, or admits it.
  void Handle(const CallerRequest& request);

  /// @return whether this handler has the request, or the request of a
  /// hedged attempt, in progress
  bool Owns(RequestId id) const;

  // ---- Decisions of the dispatcher ----
  void OnPlace(const Place& place);
  void OnRefuse(const Refuse& refuse);
  void OnWaiting(const Waiting& waiting);

  // ---- Events ----
  void OnCallerDisconnected(RequestId id);
  void OnHead(RequestId id, const HttpHead& head);
  void OnChunk(RequestId id, const HttpChunk& chunk);
  void OnDone(RequestId id, const HttpDone& done);
  void OnStoreResult(const StoreResult& result);
  void OnWallClock(const WallClockRead& clock);

  /// @brief Ends a request at its deadline with a final response.
  void OnDeadline(RequestId id);

  /// @brief Starts the hedges that are due and runs the timers of the log.
  void Tick();

  /// @return the latest time at which Tick must be called
  Instant NextWakeup() const;

  /// @return whether no request is in progress and the log has no pending
  /// writes
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
