#include <algorithm>
#include <utility>

#include "entry/detail/cluster_sync.h"
#include "entry/detail/completion_handler.h"
#include "entry/detail/host_context.h"
#include "entry/detail/operator_endpoints.h"
#include "entry/detail/reply.h"
#include "entry/detail/service_handler.h"
#include "entry/detail/worker_report_poller.h"
#include "entry/entry.h"

namespace limpetlink {

/// @brief Routes events and dispatcher decisions to the components.
class EntryHost::Impl {
 public:
  explicit Impl(EntryHostSettings settings)
      : shared(std::move(settings)),
        cluster(shared),
        completions(shared),
        services(shared, cluster.Platform()),
        report_poller(
            shared,
            [this](const UpstreamId& worker, bool draining) {
              this->cluster.UpdateLeaving(worker, LeavingSource::kReport,
                                          draining);
            },
            [this] { return this->cluster.Members().IsCurrent(); }),
        endpoints(shared, cluster, [this] { this->BeginDrain(); }) {
    this->cluster.on_store_result = [this](const StoreResult& result) {
      this->services.OnStoreResult(result);
    };
    this->cluster.on_change = [this] { this->report_poller.Refresh(); };
  }

  Actions Start(Instant now) {
    this->shared.now = now;
    this->last_step_at = now;
    this->cluster.Start();
    return this->CollectActions();
  }

  Actions Step(Instant now, const Event& event) {
    this->BeginStep(now);
    std::visit([this](const auto& content) { this->OnEvent(content); }, event);
    return this->CollectActions();
  }

  Actions Tick(Instant now) {
    this->BeginStep(now);
    for (const RequestId id : this->shared.requests.Expire(now)) {
      if (this->completions.Owns(id)) {
        this->completions.OnDeadline(id);
      } else if (this->services.Owns(id)) {
        this->services.OnDeadline(id);
      }
    }
    for (const WaitNotice& notice : this->shared.requests.DueNotices(now)) {
      if (this->completions.Owns(notice.id)) {
        this->completions.OnNoticeDue(notice);
      }
    }
    if (this->shared.dispatcher.NextWakeup() <= now) {
      this->shared.Dispatch(DispatchTick{});
    }
    this->completions.Tick();
    this->services.Tick();
    this->cluster.Tick();
    this->report_poller.Tick();
    return this->CollectActions();
  }

  Actions Drain(Instant now) {
    this->shared.now = now;
    this->BeginDrain();
    return this->CollectActions();
  }

  Instant NextWakeup() const {
    return std::min({this->shared.requests.NextWakeup(),
                     this->shared.dispatcher.NextWakeup(),
                     this->completions.NextWakeup(),
                     this->services.NextWakeup(), this->cluster.NextWakeup(),
                     this->report_poller.NextWakeup()});
  }

  bool Drained() const {
    return this->shared.draining && this->shared.requests.Size() == 0 &&
           this->services.Idle();
  }

 private:
  /// Detects a pause of the process. After a pause the membership and the
  /// document are refreshed before any decision.
  void BeginStep(Instant now) {
    constexpr Duration kPauseMargin = std::chrono::seconds(3);
    const bool paused = now - this->last_step_at > kPauseMargin;
    this->shared.now = now;
    this->last_step_at = now;
    if (paused) {
      this->shared.pause_detected_at = now;
      this->cluster.Tick();
    }
  }

  void BeginDrain() {
    if (!this->shared.draining) {
      this->shared.draining = true;
      this->cluster.Leave();
    }
  }

  // ---- Callers ----

  void OnEvent(const CallerRequest& request) {
    this->shared.metrics.Add(Counter::kRequests);
    if (this->endpoints.Handle(request)) {
      return;
    }
    const std::optional<Problem> refusal = this->PrecheckRequest(request);
    if (refusal) {
      this->shared.metrics.Add(Counter::kRefusals);
      ReplyProblem(this->shared.actions, request.id, *refusal);
      return;
    }
    if (request.path == "/v1/completions") {
      this->completions.Handle(request, CompletionKind::kText);
    } else if (request.path == "/v1/chat/completions") {
      this->completions.Handle(request, CompletionKind::kChat);
    } else {
      this->services.Handle(request);
    }
  }

  /// Checks that need neither authentication nor the content of the body.
  std::optional<Problem> PrecheckRequest(const CallerRequest& request) const {
    const bool completion = request.path == "/v1/completions" ||
                            request.path == "/v1/chat/completions";
    if (!completion && !ServiceHandler::IsServicePath(request.path)) {
      return Problem{
          ErrorCode::kRequestUnknownRoute, Outcome::kNotRun, request.path, {}};
    }
    if (completion && request.method != "POST") {
      return Problem{ErrorCode::kRequestMethodNotAllowed,
                     Outcome::kNotRun,
                     "use POST",
                     {}};
    }
    if (request.body_too_large) {
      return Problem{ErrorCode::kRequestTooLarge,
                     Outcome::kNotRun,
                     "send a smaller body",
                     {}};
    }
    const Outcome outcome =
        completion ? Outcome::kNotRun
                   : ServiceHandler::RefusalOutcome(request.headers);
    if (this->shared.draining) {
      return Problem{ErrorCode::kHostShuttingDown, outcome,
                     "retry at another host", std::chrono::seconds(1)};
    }
    if (!this->cluster.Ready()) {
      return Problem{ErrorCode::kFleetNotReady, outcome,
                     "the fleet document of this host is not current yet",
                     std::chrono::seconds(1)};
    }
    return std::nullopt;
  }

  void OnEvent(const CallerDisconnected& disconnected) {
    if (this->completions.Owns(disconnected.id)) {
      this->completions.OnCallerDisconnected(disconnected.id);
    } else if (this->services.Owns(disconnected.id)) {
      this->services.OnCallerDisconnected(disconnected.id);
    }
  }

  void OnEvent(const CallerBufferDrained& drained) {
    if (this->completions.Owns(drained.id)) {
      this->completions.OnCallerBufferDrained(drained);
    }
  }

  // ---- HTTP calls ----

  void OnEvent(const HttpHead& head) {
    const CallOwner* owner = this->shared.calls.Find(head.id);
    if (owner == nullptr) {
      return;
    }
    switch (owner->purpose) {
      case CallPurpose::kGeneration:
        this->completions.OnHead(owner->request, head);
        break;
      case CallPurpose::kService:
        this->services.OnHead(owner->request, head);
        break;
      case CallPurpose::kPlatform:
        this->cluster.OnHead(head);
        break;
      case CallPurpose::kWorkerReport:
        this->report_poller.OnHead(owner->worker, head);
        break;
      case CallPurpose::kDetached:
        break;
    }
  }

  void OnEvent(const HttpChunk& chunk) {
    const CallOwner* owner = this->shared.calls.Find(chunk.id);
    if (owner == nullptr) {
      return;
    }
    switch (owner->purpose) {
      case CallPurpose::kGeneration:
        this->completions.OnChunk(owner->request, chunk);
        break;
      case CallPurpose::kService:
        this->services.OnChunk(owner->request, chunk);
        break;
      case CallPurpose::kPlatform:
        this->cluster.OnChunk(chunk);
        break;
      case CallPurpose::kWorkerReport:
        this->report_poller.OnChunk(owner->worker, chunk);
        break;
      case CallPurpose::kDetached:
        break;
    }
  }

  void OnEvent(const HttpDone& done) {
    const CallOwner* found = this->shared.calls.Find(done.id);
    if (found == nullptr) {
      return;
    }
    const CallOwner owner = *found;
    switch (owner.purpose) {
      case CallPurpose::kGeneration:
        this->completions.OnDone(owner.request, done);
        break;
      case CallPurpose::kService:
        this->services.OnDone(owner.request, done);
        break;
      case CallPurpose::kPlatform:
        this->cluster.OnDone(done);
        break;
      case CallPurpose::kWorkerReport:
        this->report_poller.OnDone(owner.worker, done);
        break;
      case CallPurpose::kDetached:
        this->shared.calls.Close(done.id);
        break;
    }
  }

  void OnEvent(const PeerFrame& frame) { this->cluster.OnPeerFrame(frame); }

  void OnEvent(const WallClockRead& clock) {
    this->services.OnWallClock(clock);
  }

  // ---- Decisions ----

  Actions CollectActions() {
    this->cluster.Flush();
    while (!this->shared.decisions.empty()) {
      const DispatchAction decision = std::move(this->shared.decisions.front());
      this->shared.decisions.pop_front();
      std::visit([this](const auto& content) { this->OnDecision(content); },
                 decision);
      this->cluster.Flush();
    }
    return std::exchange(this->shared.actions, {});
  }

  void OnDecision(const Place& place) {
    if (this->completions.Owns(place.request)) {
      this->completions.OnPlace(place);
    } else if (this->services.Owns(place.request)) {
      this->services.OnPlace(place);
    } else {
      // The request has already ended: release the slot at the worker.
      this->shared.Dispatch(
          ReportEnded{place.request, PlacementEnd::kCancelled, 0});
    }
  }

  void OnDecision(const Refuse& refuse) {
    if (this->completions.Owns(refuse.request)) {
      this->completions.OnRefuse(refuse);
    } else if (this->services.Owns(refuse.request)) {
      this->services.OnRefuse(refuse);
    }
  }

  void OnDecision(const Waiting& waiting) {
    if (this->completions.Owns(waiting.request)) {
      this->completions.OnWaiting(waiting);
    } else if (this->services.Owns(waiting.request)) {
      this->services.OnWaiting(waiting);
    }
  }

  void OnDecision(const SetPriority& priority) {
    if (this->completions.Owns(priority.request)) {
      this->completions.OnSetPriority(priority);
    }
  }

  void OnDecision(const DispatchSend& send) {
    this->cluster.SendDispatch(send);
  }

  Instant last_step_at;
  HostContext shared;
  ClusterSync cluster;
  CompletionHandler completions;
  ServiceHandler services;
  WorkerReportPoller report_poller;
  OperatorEndpoints endpoints;
};

EntryHost::EntryHost(EntryHostSettings settings)
    : impl(std::make_unique<Impl>(std::move(settings))) {}
EntryHost::~EntryHost() = default;
Actions EntryHost::Start(Instant now) { return this->impl->Start(now); }
Actions EntryHost::Step(Instant now, const Event& event) {
  return this->impl->Step(now, event);
}
Actions EntryHost::Tick(Instant now) { return this->impl->Tick(now); }
Actions EntryHost::Drain(Instant now) { return this->impl->Drain(now); }
Instant EntryHost::NextWakeup() const { return this->impl->NextWakeup(); }
bool EntryHost::Drained() const { return this->impl->Drained(); }

}  // namespace limpetlink
