#include "entry/detail/service_handler.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "decoding/decoding.h"
#include "entry/detail/caller_access.h"
#include "entry/detail/reply.h"

namespace limpetlink {
namespace {

/// Set in the dispatcher id of a hedged attempt.
constexpr std::uint64_t kHedgeBit = std::uint64_t{1} << 63U;
constexpr std::size_t kMaxResponseBytes = 8UL * 1024UL * 1024UL;
constexpr std::uint32_t kMaxAttempts = 3;
constexpr std::size_t kMaxKeyBytes = 255;
constexpr Duration kRetryAfterFailure = std::chrono::seconds(1);
constexpr std::string_view kForwardedHeaders[] = {
    "Content-Type", "Accept", "If-None-Match", "Idempotency-Key"};
constexpr std::string_view kReturnedHeaders[] = {"Content-Type", "ETag",
                                                 "Cache-Control", "Location"};

RequestId CallerRequestId(RequestId id) {
  return RequestId{id.value & ~kHedgeBit};
}

template <std::size_t kSize>
Headers SelectHeaders(const Headers& headers,
                      const std::string_view (&names)[kSize]) {
  Headers selected;
  for (const std::string_view name : names) {
    const std::string* value = FindHeader(headers, name);
    if (value != nullptr) {
      selected.push_back({std::string(name), *value});
    }
  }
  return selected;
}

const Service* FindService(const FleetDocument& document,
                           const std::string& name) {
  for (const Service& service : document.services) {
    if (service.name == name) {
      return &service;
    }
  }
  return nullptr;
}

std::string BodyDigest(const ServiceRequest& request) {
  return Sha256Hex(
      absl::StrCat(request.method, " ", request.target, "\n", request.body));
}

/// Returns whether the upstream reports in the body of a 503 that it did not
/// run the request.
bool IsNotRunResponse(const ServiceAttempt& attempt) {
  constexpr int kUnavailable = 503;
  if (attempt.status != kUnavailable) {
    return false;
  }
  const auto body = DecodeJsonOrDiscard(attempt.response_body);
  return body.is_object() && body.contains("outcome") &&
         body["outcome"] == "not_run";
}

bool IsFirstAttempt(const Headers& headers) {
  const std::string* attempt = FindHeader(headers, "Idempotency-Attempt");
  return attempt != nullptr && *attempt == "first";
}

LogOptions LogOptionsOf(const EntryHostSettings& settings) {
  LogOptions options;
  options.writer =
      absl::StrCat(settings.self.value, ".", absl::Hex(settings.seed));
  return options;
}

}  // namespace

ServiceHandler::ServiceHandler(HostContext& shared,
                               MetadataStoreClient& platform)
    : shared(shared), log(LogOptionsOf(shared.settings)), storage(platform) {}

bool ServiceHandler::IsServicePath(std::string_view path) {
  constexpr std::string_view kPrefix = "/v1/services/";
  return path.substr(0, kPrefix.size()) == kPrefix;
}

Outcome ServiceHandler::RefusalOutcome(const Headers& headers) {
  const bool keyed = FindHeader(headers, "Idempotency-Key") != nullptr;
  return keyed && !IsFirstAttempt(headers) ? Outcome::kUnknown
                                           : Outcome::kNotRun;
}

bool ServiceHandler::Owns(RequestId id) const {
  return this->requests.count(CallerRequestId(id)) != 0;
}

void ServiceHandler::Handle(const CallerRequest& request) {
  const absl::Status status = this->Accept(request);
  if (status.ok()) {
    return;
  }
  this->shared.metrics.Add(Counter::kRefusals);
  ReplyProblem(this->shared.actions, request.id, RefusalOf(status));
}

absl::Status ServiceHandler::Accept(const CallerRequest& request) {
  const FleetDocument& document = *this->shared.document;
  const auto organisation = AuthenticateCaller(document, request.headers);
  if (!organisation.ok()) {
    return organisation.status();
  }
  const absl::StatusOr<ServicePath> path = ParseServicePath(request.path);
  if (!path.ok()) {
    return path.status();
  }
  const Service* service = FindService(document, path->service);
  if (service == nullptr) {
    return MakeStatus(ErrorCode::kRequestUnknownService, path->service);
  }
  const auto wait = ParsePreferredWait(
      request.headers, service->default_deadline, service->max_deadline);
  if (!wait.ok()) {
    return wait.status();
  }
  const ServiceRule* rule = FindRule(*service, request.method, path->rest);
  ServiceRequest accepted;
  accepted.id = request.id;
  accepted.organisation = (*organisation)->id;
  accepted.service = service->name;
  accepted.rule = rule == nullptr ? std::string() : rule->path_prefix;
  accepted.idempotent = rule != nullptr && rule->idempotent;
  accepted.method = request.method;
  accepted.target = EncodePath(path->rest) +
                    (request.query.empty() ? "" : "?" + request.query);
  accepted.headers = SelectHeaders(request.headers, kForwardedHeaders);
  accepted.body = request.body;
  accepted.trace = BeginTrace(request.headers, this->shared.random);
  accepted.arrived = this->shared.now;
  accepted.deadline = this->shared.now + *wait;
  const std::string* key = FindHeader(request.headers, "Idempotency-Key");
  if (key != nullptr && (key->empty() || key->size() > kMaxKeyBytes)) {
    return MakeStatus(ErrorCode::kRequestMalformed,
                      "Idempotency-Key must have 1 to 255 bytes");
  }
  if (key != nullptr && !accepted.idempotent) {
    accepted.key = *key;
  }
  const AdmitResult admitted = this->shared.requests.Admit(
      this->shared.now,
      {accepted.id, accepted.organisation,
       absl::StrCat(accepted.method, " ", accepted.service, accepted.target),
       accepted.deadline, accepted.trace.trace_id, false});
  if (admitted != AdmitResult::kAdmitted) {
    return MakeStatus(ErrorCode::kRequestDeadlinePast,
                      "the deadline has already passed");
  }
  ServiceRequest& stored =
      this->requests.emplace(accepted.id, std::move(accepted)).first->second;
  if (stored.key.empty()) {
    this->Submit(stored, stored.id, false);
    return absl::OkStatus();
  }
  stored.claim_pending = true;
  this->shared.requests.SetRecording(this->shared.now, stored.id, "intent");
  const ClaimAttempt attempt = IsFirstAttempt(request.headers)
                                   ? ClaimAttempt::kFirst
                                   : ClaimAttempt::kMaybeRepeated;
  this->StepLog(ClaimKey{stored.id, stored.organisation, stored.key,
                         BodyDigest(stored), stored.deadline, attempt});
  return absl::OkStatus();
}

void ServiceHandler::Submit(ServiceRequest& request, RequestId dispatch_id,
                            bool is_retry) {
  ServiceAttempt attempt;
  attempt.dispatch_id = dispatch_id;
  request.open_attempts.push_back(std::move(attempt));
  SubmitRequest submit;
  submit.request = dispatch_id;
  submit.organisation = request.organisation;
  submit.target = request.service;
  submit.route = request.rule;
  submit.request_class = RequestClass::kVerdict;
  submit.deadline = request.deadline;
  submit.idempotent = request.idempotent;
  submit.is_retry = is_retry;
  submit.excluded = request.excluded;
  this->shared.Dispatch(submit);
}

// ---- Decisions of the dispatcher ----

void ServiceHandler::OnPlace(const Place& place) {
  ServiceRequest& request = this->requests.at(CallerRequestId(place.request));
  for (ServiceAttempt& attempt : request.open_attempts) {
    if (attempt.dispatch_id == place.request) {
      this->OpenCall(request, attempt, place);
      return;
    }
  }
}

void ServiceHandler::OpenCall(ServiceRequest& request, ServiceAttempt& attempt,
                              const Place& place) {
  attempt.placed = true;
  attempt.worker = place.worker;
  attempt.trace = ChildTrace(request.trace, this->shared.random);
  attempt.started = this->shared.now;
  ++request.attempt_count;
  HttpCall call;
  call.method = request.method;
  call.url = place.url + request.target;
  call.headers = request.headers;
  call.headers.push_back(TraceHeader(attempt.trace));
  call.body = request.body;
  attempt.call = this->shared.StartHttp(
      {CallPurpose::kService, attempt.dispatch_id, place.worker},
      std::move(call));
  this->shared.requests.SetRunning(this->shared.now, request.id,
                                   place.worker.value);
  this->shared.metrics.Record(Timing::kQueueWait,
                              this->shared.now - request.arrived);
  if (request.idempotent && request.open_attempts.size() == 1) {
    const std::optional<Duration> delay =
        this->shared.dispatcher.HedgeDelay(request.service, request.rule);
    request.hedge_at = delay ? this->shared.now + *delay : kNever;
  }
}

void ServiceHandler::OnRefuse(const Refuse& refuse) {
  ServiceRequest& request = this->requests.at(CallerRequestId(refuse.request));
  const bool other_attempt_open = request.open_attempts.size() > 1;
  request.open_attempts.erase(
      std::remove_if(request.open_attempts.begin(), request.open_attempts.end(),
                     [&](const ServiceAttempt& attempt) {
                       return attempt.dispatch_id == refuse.request;
                     }),
      request.open_attempts.end());
  if (!other_attempt_open) {
    this->RecordFailure(request);
    this->FailRequest(request, refuse.problem);
  }
}

void ServiceHandler::OnWaiting(const Waiting& waiting) {
  ServiceRequest& request = this->requests.at(CallerRequestId(waiting.request));
  if (waiting.request != request.id) {
    return;
  }
  request.expected_wait = waiting.expected_wait;
  this->shared.requests.SetWaiting(this->shared.now, request.id,
                                   waiting.position, waiting.expected_wait,
                                   waiting.reason);
}

// ---- Events ----

void ServiceHandler::OnCallerDisconnected(RequestId id) {
  ServiceRequest& request = this->requests.at(id);
  request.caller_left = true;
  this->shared.requests.SetCallerLeft(id);
  const bool running =
      !request.open_attempts.empty() && request.open_attempts.front().placed;
  if (!request.idempotent && running) {
    return;  // may be running: wait for the outcome, which is recorded
  }
  if (request.claim_pending) {
    this->StepLog(AbandonClaim{id});
    if (!this->Owns(id)) {
      return;  // the log already ended the request
    }
  }
  this->EndAllAttempts(request, PlacementEnd::kCancelled);
  this->RecordFailure(request);
  this->shared.requests.Finish(id);
  this->Close(request, "caller_gone");
}

void ServiceHandler::OnHead(RequestId id, const HttpHead& head) {
  for (ServiceAttempt& attempt :
       this->requests.at(CallerRequestId(id)).open_attempts) {
    if (attempt.call == head.id) {
      attempt.status = head.status;
      attempt.headers = SelectHeaders(head.headers, kReturnedHeaders);
    }
  }
}

void ServiceHandler::OnChunk(RequestId id, const HttpChunk& chunk) {
  ServiceRequest& request = this->requests.at(CallerRequestId(id));
  for (std::size_t i = 0; i < request.open_attempts.size(); ++i) {
    ServiceAttempt& attempt = request.open_attempts[i];
    if (attempt.call != chunk.id) {
      continue;
    }
    if (attempt.response_body.size() + chunk.bytes.size() > kMaxResponseBytes) {
      this->shared.metrics.Add(Counter::kMalformedInput);
      this->shared.CancelHttp(chunk.id);
      this->FailAttempt(request, i, PlacementEnd::kLost);
      return;
    }
    attempt.response_body += chunk.bytes;
    return;
  }
}

void ServiceHandler::OnDone(RequestId id, const HttpDone& done) {
  this->shared.calls.Close(done.id);
  ServiceRequest& request = this->requests.at(CallerRequestId(id));
  for (std::size_t i = 0; i < request.open_attempts.size(); ++i) {
    if (request.open_attempts[i].call != done.id) {
      continue;
    }
    request.open_attempts[i].call = CallId{};
    if (done.end == HttpEnd::kNotConnected) {
      this->FailAttempt(request, i, PlacementEnd::kNotConnected);
    } else if (done.end != HttpEnd::kComplete) {
      this->FailAttempt(request, i, PlacementEnd::kLost);
    } else if (IsNotRunResponse(request.open_attempts[i])) {
      this->FailAttempt(request, i, PlacementEnd::kRefused);
    } else {
      this->HandleResponse(request, i);
    }
    return;
  }
}

void ServiceHandler::HandleResponse(ServiceRequest& request,
                                    std::size_t index) {
  const ServiceAttempt attempt = request.open_attempts[index];
  request.may_have_run = true;
  this->EndAttempt(request, index, PlacementEnd::kFinished);
  this->EndAllAttempts(request, PlacementEnd::kCancelled);
  if (request.claimed) {
    StoredOutcome outcome;
    outcome.status = attempt.status;
    for (const Header& header : attempt.headers) {
      outcome.headers.push_back({header.name, header.value});
    }
    outcome.body = attempt.response_body;
    request.claimed = false;
    this->StepLog(RecordOutcome{request.id, std::move(outcome)});
  }
  this->Respond(request, attempt.status, attempt.headers, attempt.response_body,
                false);
}

void ServiceHandler::FailAttempt(ServiceRequest& request, std::size_t index,
                                 PlacementEnd end) {
  const bool not_run =
      end == PlacementEnd::kNotConnected || end == PlacementEnd::kRefused;
  request.may_have_run = request.may_have_run || !not_run;
  request.excluded.push_back(request.open_attempts[index].worker);
  this->EndAttempt(request, index, end);
  if (!request.open_attempts.empty()) {
    return;  // the other attempt continues
  }
  const bool retryable = request.idempotent || (request.claimed && not_run);
  if (retryable && request.attempt_count < kMaxAttempts &&
      !request.caller_left) {
    this->shared.metrics.Add(Counter::kRetries);
    this->Submit(request, request.id, true);
    return;
  }
  this->RecordFailure(request);
  const ErrorCode code =
      end == PlacementEnd::kNotConnected ? ErrorCode::kUpstreamUnreachable
      : end == PlacementEnd::kRefused    ? ErrorCode::kUpstreamRefused
                                         : ErrorCode::kUpstreamCut;
  this->FailRequest(
      request, {code, Outcome::kNotRun,
                "the upstream sent no complete response", kRetryAfterFailure});
}

void ServiceHandler::EndAttempt(ServiceRequest& request, std::size_t index,
                                PlacementEnd end) {
  const ServiceAttempt attempt = std::move(request.open_attempts[index]);
  request.open_attempts.erase(request.open_attempts.begin() +
                              static_cast<std::ptrdiff_t>(index));
  if (attempt.call.value != 0) {
    this->shared.CancelHttp(attempt.call);
    request.may_have_run = true;
  }
  if (attempt.placed) {
    this->FinishAttemptSpan(attempt, ToText(end));
  }
  this->shared.Dispatch(ReportEnded{attempt.dispatch_id, end, 0});
}

void ServiceHandler::EndAllAttempts(ServiceRequest& request, PlacementEnd end) {
  while (!request.open_attempts.empty()) {
    this->EndAttempt(request, request.open_attempts.size() - 1, end);
  }
}

void ServiceHandler::FinishAttemptSpan(const ServiceAttempt& attempt,
                                       std::string_view result) {
  this->shared.FinishSpan(attempt.trace, "service.call", attempt.started,
                          {{"upstream", attempt.worker.value},
                           {"status", std::to_string(attempt.status)},
                           {"result", std::string(result)}});
}

void ServiceHandler::OnDeadline(RequestId id) {
  ServiceRequest& request = this->requests.at(id);
  this->shared.metrics.Add(Counter::kDeadlinesReached);
  const bool claim_was_pending = request.claim_pending;
  if (claim_was_pending) {
    this->StepLog(AbandonClaim{id});
    if (!this->Owns(id)) {
      return;  // the log already ended the request
    }
  }
  this->EndAllAttempts(request, PlacementEnd::kCancelled);
  this->RecordFailure(request);
  request.may_have_run = request.may_have_run || claim_was_pending;
  this->FailRequest(request,
                    {ErrorCode::kRequestDeadlineReached, Outcome::kNotRun,
                     "the deadline was reached before a response arrived",
                     std::max(request.expected_wait, kRetryAfterFailure)});
}

// ---- Hedging and timers ----

void ServiceHandler::Tick() {
  std::vector<RequestId> due;
  for (auto& [id, request] : this->requests) {
    if (request.hedge_at <= this->shared.now) {
      due.push_back(id);
    }
  }
  for (const RequestId id : due) {
    this->StartHedge(this->requests.at(id));
  }
  if (this->log.NextWakeup() <= this->shared.now) {
    this->StepLog(LogTick{});
  }
}

void ServiceHandler::StartHedge(ServiceRequest& request) {
  request.hedge_at = kNever;
  if (request.open_attempts.size() != 1 ||
      !request.open_attempts.front().placed) {
    return;
  }
  std::vector<UpstreamId> excluded = request.excluded;
  excluded.push_back(request.open_attempts.front().worker);
  std::swap(excluded, request.excluded);
  this->Submit(request, RequestId{request.id.value | kHedgeBit}, true);
  std::swap(excluded, request.excluded);
}

Instant ServiceHandler::NextWakeup() const {
  Instant earliest = this->log.NextWakeup();
  for (const auto& [id, request] : this->requests) {
    earliest = std::min(earliest, request.hedge_at);
  }
  return earliest;
}

bool ServiceHandler::Idle() const {
  return this->requests.empty() && this->log.Idle();
}

// ---- The idempotency log ----

void ServiceHandler::OnStoreResult(const StoreResult& result) {
  for (const LogOperationResult& ended :
       this->storage.OnStoreResult(this->shared.now, result)) {
    this->StepLog(ended);
  }
}

void ServiceHandler::OnWallClock(const WallClockRead& clock) {
  this->StepLog(SetLogClock{clock.unix_milliseconds});
}

void ServiceHandler::RecordFailure(ServiceRequest& request) {
  if (!request.claimed) {
    return;
  }
  request.claimed = false;
  if (request.may_have_run) {
    this->StepLog(RecordUnknown{request.id});
  } else {
    this->StepLog(RecordNotRun{request.id});
  }
}

void ServiceHandler::StepLog(const LogMessage& message) {
  for (const LogAction& action : this->log.Step(this->shared.now, message)) {
    this->ExecuteLogAction(action);
  }
}

void ServiceHandler::ExecuteLogAction(const LogAction& action) {
  const Instant now = this->shared.now;
  if (const auto* create = std::get_if<LogCreate>(&action)) {
    this->storage.Start(now, *create);
  } else if (const auto* read = std::get_if<LogRead>(&action)) {
    this->storage.Start(now, *read);
  } else if (const auto* list = std::get_if<LogList>(&action)) {
    this->storage.Start(now, *list);
  } else if (const auto* remove = std::get_if<LogDelete>(&action)) {
    this->storage.Start(now, *remove);
  } else if (const auto* dispatch = std::get_if<DispatchClaim>(&action)) {
    ServiceRequest& request = this->requests.at(dispatch->request);
    request.claim_pending = false;
    request.claimed = true;
    this->Submit(request, request.id, false);
  } else if (const auto* replay = std::get_if<ReplayOutcome>(&action)) {
    ServiceRequest& request = this->requests.at(replay->request);
    request.claim_pending = false;
    this->shared.metrics.Add(Counter::kReplays);
    Headers headers;
    for (const StoredHeader& header : replay->outcome.headers) {
      headers.push_back({header.name, header.value});
    }
    this->Respond(request, replay->outcome.status, headers,
                  replay->outcome.body, true);
  } else if (const auto* refuse = std::get_if<RefuseClaim>(&action)) {
    ServiceRequest& request = this->requests.at(refuse->request);
    request.claim_pending = false;
    request.may_have_run = refuse->problem.outcome != Outcome::kNotRun;
    this->FailRequest(request, refuse->problem);
  }
}

// ---- Responses ----

void ServiceHandler::FailRequest(ServiceRequest& request, Problem problem) {
  if (this->shared.requests.Finish(request.id) != FinishResult::kSend) {
    this->shared.metrics.Add(Counter::kResponsesSuppressed);
    this->Close(request, "not_sent");
    return;
  }
  this->shared.metrics.Add(Counter::kRefusals);
  if (problem.outcome == Outcome::kNotRun && request.may_have_run) {
    problem.outcome = Outcome::kUnknown;
  }
  ReplyProblem(this->shared.actions, request.id, problem);
  this->Close(request, Describe(problem.code).name);
}

void ServiceHandler::Respond(ServiceRequest& request, int status,
                             const Headers& headers, const std::string& body,
                             bool replayed) {
  if (this->shared.requests.Finish(request.id) != FinishResult::kSend) {
    this->shared.metrics.Add(Counter::kResponsesSuppressed);
    this->Close(request, "not_sent");
    return;
  }
  ReplyHead head{request.id, status, headers};
  if (replayed) {
    head.headers.push_back({"Idempotency-Replayed", "true"});
  }
  this->shared.actions.emplace_back(std::move(head));
  this->shared.actions.emplace_back(ReplyBody{request.id, body});
  this->shared.actions.emplace_back(ReplyEnd{request.id, false});
  this->Close(request, replayed ? "replayed" : "answered");
}

void ServiceHandler::Close(ServiceRequest& request, std::string_view result) {
  this->shared.metrics.Record(Timing::kRequest,
                              this->shared.now - request.arrived);
  this->shared.FinishSpan(request.trace, "entry.service", request.arrived,
                          {{"organisation", request.organisation.value},
                           {"service", request.service},
                           {"attempts", std::to_string(request.attempt_count)},
                           {"result", std::string(result)}});
  this->requests.erase(request.id);
}

}  // namespace limpetlink
