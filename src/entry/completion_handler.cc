#include "entry/detail/completion_handler.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "entry/detail/caller_access.h"
#include "entry/detail/reply.h"

namespace limpetlink {
namespace {

constexpr Duration kRetryAfterDeadline = std::chrono::seconds(1);

const Route* FindRoute(const FleetDocument& document, const std::string& model,
                       const std::string* route_name) {
  for (const Route& route : document.routes) {
    if (route.model == model &&
        (route_name == nullptr || route.name == *route_name)) {
      return &route;
    }
  }
  return nullptr;
}

const Model* FindModel(const FleetDocument& document, const std::string& name) {
  for (const Model& model : document.models) {
    if (model.name == name) {
      return &model;
    }
  }
  return nullptr;
}

StreamCallEnd StreamCallEndOf(HttpEnd end) {
  switch (end) {
    case HttpEnd::kNotConnected:
      return StreamCallEnd::kNotConnected;
    case HttpEnd::kCut:
      return StreamCallEnd::kCut;
    case HttpEnd::kTimeout:
      return StreamCallEnd::kTimeout;
    case HttpEnd::kComplete:
      break;
  }
  return StreamCallEnd::kComplete;
}

StreamCallEnd StreamCallEndOfStatus(int status) {
  constexpr int kNotFound = 404;
  return status == kNotFound ? StreamCallEnd::kUnknownGeneration
                             : StreamCallEnd::kRefused;
}

}  // namespace

CompletionHandler::CompletionHandler(HostContext& shared) : shared(shared) {}

bool CompletionHandler::Owns(RequestId id) const {
  return this->completions.count(id) != 0;
}

void CompletionHandler::Handle(const CallerRequest& request,
                               CompletionKind kind) {
  const absl::Status status = this->Accept(request, kind);
  if (status.ok()) {
    return;
  }
  this->shared.metrics.Add(Counter::kRefusals);
  ReplyProblem(this->shared.actions, request.id, RefusalOf(status));
}

absl::Status CompletionHandler::Accept(const CallerRequest& request,
                                       CompletionKind kind) {
  const FleetDocument& document = *this->shared.document;
  const absl::StatusOr<const Organisation*> organisation =
      AuthenticateCaller(document, request.headers);
  if (!organisation.ok()) {
    return organisation.status();
  }
  absl::StatusOr<CompletionBody> body = ParseCompletionBody(kind, request.body);
  if (!body.ok()) {
    return body.status();
  }
  const Model* model = FindModel(document, body->model);
  if (model == nullptr) {
    return MakeStatus(ErrorCode::kRequestUnknownModel, body->model);
  }
  const Route* route =
      FindRoute(document, body->model, FindHeader(request.headers, "X-Route"));
  if (route == nullptr) {
    return MakeStatus(ErrorCode::kRequestUnknownRoute,
                      "the model has no such route");
  }
  const absl::StatusOr<Duration> wait = ParsePreferredWait(
      request.headers, route->default_deadline, route->max_deadline);
  if (!wait.ok()) {
    return wait.status();
  }
  if (body->max_output_tokens == 0 ||
      body->max_output_tokens > model->max_output_tokens) {
    body->max_output_tokens = model->max_output_tokens;
  }
  StreamOptions options;
  options.on_loss = body->stream ? route->on_loss : OnLoss::kRestart;
  Completion completion{request.id, Stream(options)};
  completion.organisation = (*organisation)->id;
  completion.route = *route;
  completion.body = *std::move(body);
  completion.trace = BeginTrace(request.headers, this->shared.random);
  completion.arrived = this->shared.now;
  completion.deadline = this->shared.now + *wait;
  completion.prompt_tokens = EstimatePromptTokens(completion.body.prompt);
  completion.metadata = {kind, absl::StrCat("cmpl-", completion.trace.span_id),
                         completion.body.model};
  completion.chunks.emplace(completion.metadata);
  return this->StartOrResume(request, completion);
}

absl::Status CompletionHandler::StartOrResume(const CallerRequest& request,
                                              Completion& completion) {
  const std::string* last_event = FindHeader(request.headers, "Last-Event-ID");
  absl::StatusOr<ResumeToken> token;
  if (last_event != nullptr) {
    token = ParseResumeToken(this->shared.settings.resume_secret,
                             completion.organisation, *last_event);
    if (!token.ok()) {
      return token.status();
    }
  }
  const AdmitResult admitted = this->shared.requests.Admit(
      this->shared.now,
      {completion.id, completion.organisation,
       absl::StrCat("completion of ", completion.body.model),
       completion.deadline, completion.trace.trace_id, completion.body.stream});
  if (admitted != AdmitResult::kAdmitted) {
    return MakeStatus(ErrorCode::kRequestDeadlinePast,
                      "the deadline has already passed");
  }
  Completion& stored =
      this->completions.emplace(request.id, std::move(completion))
          .first->second;
  const Upstream* worker = last_event == nullptr
                               ? nullptr
                               : this->shared.FindUpstream(token->worker);
  if (worker == nullptr) {
    this->Submit(stored, false);
    return absl::OkStatus();
  }
  stored.url = worker->url;
  this->shared.metrics.Add(Counter::kStreamsResumed);
  stored.tokens = static_cast<std::uint32_t>(token->offset);
  this->StepStream(
      stored, StreamResume{token->generation, token->worker, token->offset});
  return absl::OkStatus();
}

void CompletionHandler::Submit(const Completion& completion, bool is_retry) {
  SubmitRequest submit;
  submit.request = completion.id;
  submit.organisation = completion.organisation;
  submit.target = completion.body.model;
  submit.route = completion.route.name;
  submit.request_class = completion.route.request_class;
  submit.prompt_tokens = completion.prompt_tokens;
  submit.max_output_tokens = completion.body.max_output_tokens;
  submit.prefix_blocks =
      HashPrefixBlocks(completion.body.model, completion.body.prompt);
  submit.deadline = completion.deadline;
  submit.is_retry = is_retry;
  submit.excluded = completion.excluded;
  this->shared.Dispatch(submit);
}

// ---- Decisions of the dispatcher ----

void CompletionHandler::OnPlace(const Place& place) {
  Completion& completion = this->completions.at(place.request);
  completion.placed = true;
  completion.url = place.url;
  completion.priority = place.priority;
  this->shared.metrics.Record(Timing::kQueueWait,
                              this->shared.now - completion.arrived);
  this->shared.requests.SetRunning(this->shared.now, completion.id,
                                   place.worker.value);
  const GenerationId generation{absl::StrCat(
      this->shared.settings.self.value, ".",
      absl::Hex(this->shared.settings.seed), ".", ++this->generations)};
  this->StepStream(completion, StreamBegin{generation, place.worker});
}

void CompletionHandler::OnRefuse(const Refuse& refuse) {
  Completion& completion = this->completions.at(refuse.request);
  completion.placed = false;
  this->StepStream(completion, StreamAbort{refuse.problem});
}

void CompletionHandler::OnWaiting(const Waiting& waiting) {
  Completion& completion = this->completions.at(waiting.request);
  completion.expected_wait = waiting.expected_wait;
  this->shared.requests.SetWaiting(this->shared.now, completion.id,
                                   waiting.position, waiting.expected_wait,
                                   waiting.reason);
}

void CompletionHandler::OnSetPriority(const SetPriority& priority) {
  Completion& completion = this->completions.at(priority.request);
  if (completion.call.id.value == 0 ||
      completion.stream.Worker() != priority.worker) {
    return;
  }
  completion.priority = priority.priority;
  HttpCall call;
  call.method = "POST";
  call.url = absl::StrCat(completion.url, "/v1/generations/",
                          completion.stream.Generation().value, "/priority");
  call.body = DumpJson({{"priority", priority.priority}});
  call.headers = {{"Content-Type", "application/json"}};
  call.total_timeout = std::chrono::seconds(2);
  this->shared.StartHttp(
      {CallPurpose::kDetached, completion.id, priority.worker},
      std::move(call));
}

// ---- Events from the adapters ----

void CompletionHandler::OnCallerDisconnected(RequestId id) {
  Completion& completion = this->completions.at(id);
  // After a pause the caller may have resumed this generation at another host.
  this->StepStream(completion,
                   StreamCallerLeft{!this->shared.RecentlyPaused()});
  this->ReleasePlacement(completion, PlacementEnd::kCancelled);
  this->shared.requests.SetCallerLeft(id);
  this->shared.requests.Finish(id);
  this->Close(completion, "caller_gone");
}

void CompletionHandler::OnCallerBufferDrained(
    const CallerBufferDrained& drained) {
  this->StepStream(this->completions.at(drained.id),
                   StreamBufferDrained{drained.buffered});
}

void CompletionHandler::OnHead(RequestId id, const HttpHead& head) {
  constexpr int kOk = 200;
  Completion& completion = this->completions.at(id);
  completion.call.status = head.status;
  const StreamAttempt attempt = completion.call.attempt;
  if (head.status == kOk) {
    this->StepStream(completion, StreamCallActivity{attempt});
    return;
  }
  this->shared.CancelHttp(head.id);
  this->CloseCall(completion, "refused");
  this->StepStream(
      completion, StreamCallEnded{attempt, StreamCallEndOfStatus(head.status)});
}

void CompletionHandler::OnChunk(RequestId id, const HttpChunk& chunk) {
  Completion& completion = this->completions.at(id);
  const StreamAttempt attempt = completion.call.attempt;
  const absl::StatusOr<std::vector<SseEvent>> events =
      completion.call.decoder.Feed(chunk.bytes);
  if (!events.ok()) {
    this->shared.metrics.Add(Counter::kMalformedInput);
    this->shared.CancelHttp(chunk.id);
    this->CloseCall(completion, "malformed");
    this->StepStream(completion,
                     StreamCallEnded{attempt, StreamCallEnd::kMalformed});
    return;
  }
  for (const SseEvent& event : *events) {
    absl::StatusOr<EngineFrame> frame = ParseEngineFrame(event);
    if (!frame.ok()) {
      this->shared.metrics.Add(Counter::kMalformedInput);
      continue;
    }
    this->StepStream(completion, StreamFrame{attempt, *std::move(frame)});
    if (!this->Owns(id)) {
      return;
    }
  }
}

void CompletionHandler::OnDone(RequestId id, const HttpDone& done) {
  Completion& completion = this->completions.at(id);
  const StreamAttempt attempt = completion.call.attempt;
  this->CloseCall(completion, ToText(done.end));
  this->StepStream(completion,
                   StreamCallEnded{attempt, StreamCallEndOf(done.end)});
}

void CompletionHandler::OnDeadline(RequestId id) {
  Completion& completion = this->completions.at(id);
  this->shared.metrics.Add(Counter::kDeadlinesReached);
  this->ReleasePlacement(completion, PlacementEnd::kCancelled);
  const Duration retry_after =
      std::max(completion.expected_wait, kRetryAfterDeadline);
  this->StepStream(
      completion,
      StreamAbort{{ErrorCode::kRequestDeadlineReached, Outcome::kUnknown,
                   "the deadline was reached before the response was complete",
                   retry_after}});
}

void CompletionHandler::OnNoticeDue(const WaitNotice& notice) {
  Completion& completion = this->completions.at(notice.id);
  this->SendHead(completion);
  const std::string text =
      absl::StrCat("waiting place=", notice.position,
                   " expected_wait_s=", ToSeconds(notice.expected_wait));
  this->shared.actions.emplace_back(
      ReplyBody{notice.id, EncodeSseComment(text)});
}

void CompletionHandler::Tick() {
  while (!this->wakeups.empty() &&
         this->wakeups.begin()->first <= this->shared.now) {
    const RequestId id = this->wakeups.begin()->second;
    this->StepStream(this->completions.at(id), StreamTick{});
  }
}

Instant CompletionHandler::NextWakeup() const {
  return this->wakeups.empty() ? kNever : this->wakeups.begin()->first;
}

// ---- Actions of the stream ----

void CompletionHandler::StepStream(Completion& completion,
                                   StreamMessage message) {
  const RequestId id = completion.id;
  StreamActions actions =
      completion.stream.Step(this->shared.now, std::move(message));
  this->SetWakeup(completion, completion.stream.NextWakeup());
  for (const StreamAction& action : actions) {
    if (!this->Owns(id)) {
      return;
    }
    std::visit([&](const auto& content) { this->Execute(completion, content); },
               action);
  }
}

void CompletionHandler::SetWakeup(Completion& completion, Instant at) {
  if (completion.wakeup == at) {
    return;
  }
  if (completion.wakeup != kNever) {
    this->wakeups.erase({completion.wakeup, completion.id});
  }
  completion.wakeup = at;
  if (at != kNever) {
    this->wakeups.emplace(at, completion.id);
  }
}

}  // namespace limpetlink
