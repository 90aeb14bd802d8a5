#include "entry/detail/service_flow.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "entry/detail/caller_access.h"
#include "entry/detail/reply.h"

namespace limpetlink {
namespace {

/// Marks the dispatcher's id of a hedged lookup's second copy.
constexpr std::uint64_t kHedgeBit = std::uint64_t{1} << 63U;
constexpr std::size_t kMaxAnswerBytes = 8UL * 1024UL * 1024UL;
constexpr std::uint32_t kMaxAttempts = 3;
constexpr std::size_t kMaxKeyBytes = 255;
constexpr Duration kRetryAfterFailure = std::chrono::seconds(1);
constexpr std::string_view kForwarded[] = {"Content-Type", "Accept",
                                           "If-None-Match", "Idempotency-Key"};
constexpr std::string_view kReturned[] = {"Content-Type", "ETag",
                                          "Cache-Control", "Location"};

RequestId CallersId(RequestId id) { return RequestId{id.value & ~kHedgeBit}; }

template <std::size_t kSize>
Headers Select(const Headers& headers, const std::string_view (&names)[kSize]) {
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

/// An upstream that will not run a request says so in the body of a 503.
bool SaysNotRun(const ServiceLeg& leg) {
  constexpr int kUnavailable = 503;
  if (leg.status != kUnavailable) {
    return false;
  }
  const auto body = nlohmann::json::parse(leg.answer, nullptr, false);
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

ServiceFlow::ServiceFlow(HostContext& shared, MetadataStoreClient& platform)
    : shared(shared), log(LogOptionsOf(shared.settings)), storage(platform) {}

bool ServiceFlow::IsServicePath(std::string_view path) {
  constexpr std::string_view kPrefix = "/v1/services/";
  return path.substr(0, kPrefix.size()) == kPrefix;
}

Outcome ServiceFlow::RefusalOutcome(const Headers& headers) {
  const bool keyed = FindHeader(headers, "Idempotency-Key") != nullptr;
  return keyed && !IsFirstAttempt(headers) ? Outcome::kUnknown
                                           : Outcome::kNotRun;
}

bool ServiceFlow::Owns(RequestId id) const {
  return this->requests.count(CallersId(id)) != 0;
}

void ServiceFlow::Receive(const CallerRequest& request) {
  const absl::Status status = this->Accept(request);
  if (status.ok()) {
    return;
  }
  this->shared.metrics.Add(Counter::kRefusals);
  ReplyProblem(this->shared.actions, request.id, RefusalOf(status));
}

absl::Status ServiceFlow::Accept(const CallerRequest& request) {
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
  const auto wait = CallerWait(request.headers, service->default_deadline,
                               service->max_deadline);
  if (!wait.ok()) {
    return wait.status();
  }
  const ServiceRule* rule = FindRule(*service, request.method, path->rest);
  ServiceRequest kept;
  kept.id = request.id;
  kept.organisation = (*organisation)->id;
  kept.service = service->name;
  kept.rule = rule == nullptr ? std::string() : rule->path_prefix;
  kept.idempotent = rule != nullptr && rule->idempotent;
  kept.method = request.method;
  kept.target = EncodePath(path->rest) +
                (request.query.empty() ? "" : "?" + request.query);
  kept.headers = Select(request.headers, kForwarded);
  kept.body = request.body;
  kept.trace = BeginTrace(request.headers, this->shared.random);
  kept.arrived = this->shared.now;
  kept.deadline = this->shared.now + *wait;
  const std::string* key = FindHeader(request.headers, "Idempotency-Key");
  if (key != nullptr && (key->empty() || key->size() > kMaxKeyBytes)) {
    return MakeStatus(ErrorCode::kRequestMalformed,
                      "Idempotency-Key: 1 to 255 bytes");
  }
  if (key != nullptr && !kept.idempotent) {
    kept.key = *key;
  }
  const AdmitResult admitted = this->shared.requests.Admit(
      this->shared.now,
      {kept.id, kept.organisation,
       absl::StrCat(kept.method, " ", kept.service, kept.target), kept.deadline,
       kept.trace.trace_id, false});
  if (admitted != AdmitResult::kAdmitted) {
    return MakeStatus(ErrorCode::kRequestDeadlinePast,
                      "the deadline is not ahead");
  }
  ServiceRequest& stored =
      this->requests.emplace(kept.id, std::move(kept)).first->second;
  if (stored.key.empty()) {
    this->Submit(stored, stored.id, false);
    return absl::OkStatus();
  }
  stored.claiming = true;
  this->shared.requests.SetRecording(this->shared.now, stored.id, "intent");
  const ClaimAttempt attempt = IsFirstAttempt(request.headers)
                                   ? ClaimAttempt::kFirst
                                   : ClaimAttempt::kMaybeRepeated;
  this->StepLog(ClaimKey{stored.id, stored.organisation, stored.key,
                         BodyDigest(stored), stored.deadline, attempt});
  return absl::OkStatus();
}

void ServiceFlow::Submit(ServiceRequest& request, RequestId dispatch_id,
                         bool is_retry) {
  ServiceLeg leg;
  leg.dispatch_id = dispatch_id;
  request.legs.push_back(std::move(leg));
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

void ServiceFlow::OnPlace(const Place& place) {
  ServiceRequest& request = this->requests.at(CallersId(place.request));
  for (ServiceLeg& leg : request.legs) {
    if (leg.dispatch_id == place.request) {
      this->OpenCall(request, leg, place);
      return;
    }
  }
}

void ServiceFlow::OpenCall(ServiceRequest& request, ServiceLeg& leg,
                           const Place& place) {
  leg.placed = true;
  leg.worker = place.worker;
  leg.trace = ChildTrace(request.trace, this->shared.random);
  leg.started = this->shared.now;
  ++request.attempts;
  HttpCall call;
  call.method = request.method;
  call.url = place.url + request.target;
  call.headers = request.headers;
  call.headers.push_back(TraceHeader(leg.trace));
  call.body = request.body;
  leg.call = this->shared.StartHttp(
      {CallPurpose::kService, leg.dispatch_id, place.worker}, std::move(call));
  this->shared.requests.SetRunning(this->shared.now, request.id,
                                   place.worker.value);
  this->shared.metrics.Record(Timing::kQueueWait,
                              this->shared.now - request.arrived);
  if (request.idempotent && request.legs.size() == 1) {
    const std::optional<Duration> delay =
        this->shared.dispatcher.HedgeDelay(request.service, request.rule);
    request.hedge_at = delay ? this->shared.now + *delay : kNever;
  }
}

void ServiceFlow::OnRefuse(const Refuse& refuse) {
  ServiceRequest& request = this->requests.at(CallersId(refuse.request));
  const bool other_leg_runs = request.legs.size() > 1;
  request.legs.erase(std::remove_if(request.legs.begin(), request.legs.end(),
                                    [&](const ServiceLeg& leg) {
                                      return leg.dispatch_id == refuse.request;
                                    }),
                     request.legs.end());
  if (!other_leg_runs) {
    this->RecordEnd(request);
    this->RefuseCaller(request, refuse.problem);
  }
}

void ServiceFlow::OnWaiting(const Waiting& waiting) {
  ServiceRequest& request = this->requests.at(CallersId(waiting.request));
  if (waiting.request != request.id) {
    return;
  }
  request.expected_wait = waiting.expected_wait;
  this->shared.requests.SetWaiting(this->shared.now, request.id,
                                   waiting.position, waiting.expected_wait,
                                   waiting.reason);
}

// ---- Events ----

void ServiceFlow::OnCallerGone(RequestId id) {
  ServiceRequest& request = this->requests.at(id);
  request.caller_left = true;
  this->shared.requests.SetCallerLeft(id);
  const bool running = !request.legs.empty() && request.legs.front().placed;
  if (!request.idempotent && running) {
    return;  // it may be running: let it end, so that its outcome can be kept
  }
  if (request.claiming) {
    this->StepLog(AbandonClaim{id});
    if (!this->Owns(id)) {
      return;  // the log answered it
    }
  }
  this->DropLegs(request, PlacementEnd::kCancelled);
  this->RecordEnd(request);
  this->shared.requests.Finish(id);
  this->Close(request, "caller_gone");
}

void ServiceFlow::OnHead(RequestId id, const HttpHead& head) {
  for (ServiceLeg& leg : this->requests.at(CallersId(id)).legs) {
    if (leg.call == head.id) {
      leg.status = head.status;
      leg.headers = Select(head.headers, kReturned);
    }
  }
}

void ServiceFlow::OnChunk(RequestId id, const HttpChunk& chunk) {
  ServiceRequest& request = this->requests.at(CallersId(id));
  for (std::size_t i = 0; i < request.legs.size(); ++i) {
    ServiceLeg& leg = request.legs[i];
    if (leg.call != chunk.id) {
      continue;
    }
    if (leg.answer.size() + chunk.bytes.size() > kMaxAnswerBytes) {
      this->shared.metrics.Add(Counter::kMalformedInput);
      this->shared.CancelHttp(chunk.id);
      this->FailLeg(request, i, PlacementEnd::kLost);
      return;
    }
    leg.answer += chunk.bytes;
    return;
  }
}

void ServiceFlow::OnDone(RequestId id, const HttpDone& done) {
  this->shared.calls.Close(done.id);
  ServiceRequest& request = this->requests.at(CallersId(id));
  for (std::size_t i = 0; i < request.legs.size(); ++i) {
    if (request.legs[i].call != done.id) {
      continue;
    }
    request.legs[i].call = CallId{};
    if (done.end == HttpEnd::kNotConnected) {
      this->FailLeg(request, i, PlacementEnd::kNotConnected);
    } else if (done.end != HttpEnd::kComplete) {
      this->FailLeg(request, i, PlacementEnd::kLost);
    } else if (SaysNotRun(request.legs[i])) {
      this->FailLeg(request, i, PlacementEnd::kRefused);
    } else {
      this->TakeAnswer(request, i);
    }
    return;
  }
}

void ServiceFlow::TakeAnswer(ServiceRequest& request, std::size_t index) {
  const ServiceLeg leg = request.legs[index];
  request.may_have_run = true;
  this->DropLeg(request, index, PlacementEnd::kFinished);
  this->DropLegs(request, PlacementEnd::kCancelled);
  if (request.claimed) {
    KeptOutcome outcome;
    outcome.status = leg.status;
    for (const Header& header : leg.headers) {
      outcome.headers.push_back({header.name, header.value});
    }
    outcome.body = leg.answer;
    request.claimed = false;
    this->StepLog(RecordOutcome{request.id, std::move(outcome)});
  }
  this->AnswerCaller(request, leg.status, leg.headers, leg.answer, false);
}

void ServiceFlow::FailLeg(ServiceRequest& request, std::size_t index,
                          PlacementEnd end) {
  const bool nothing_ran =
      end == PlacementEnd::kNotConnected || end == PlacementEnd::kRefused;
  request.may_have_run = request.may_have_run || !nothing_ran;
  request.excluded.push_back(request.legs[index].worker);
  this->DropLeg(request, index, end);
  if (!request.legs.empty()) {
    return;  // the other copy goes on
  }
  const bool repeatable =
      request.idempotent || (request.claimed && nothing_ran);
  if (repeatable && request.attempts < kMaxAttempts && !request.caller_left) {
    this->shared.metrics.Add(Counter::kRetries);
    this->Submit(request, request.id, true);
    return;
  }
  this->RecordEnd(request);
  const ErrorCode code =
      end == PlacementEnd::kNotConnected ? ErrorCode::kUpstreamUnreachable
      : end == PlacementEnd::kRefused    ? ErrorCode::kUpstreamRefused
                                         : ErrorCode::kUpstreamCut;
  this->RefuseCaller(request,
                     {code, Outcome::kNotRun, "the upstream gave no answer",
                      kRetryAfterFailure});
}

void ServiceFlow::DropLeg(ServiceRequest& request, std::size_t index,
                          PlacementEnd end) {
  const ServiceLeg leg = std::move(request.legs[index]);
  request.legs.erase(request.legs.begin() + static_cast<std::ptrdiff_t>(index));
  if (leg.call.value != 0) {
    this->shared.CancelHttp(leg.call);
    request.may_have_run = true;
  }
  if (leg.placed) {
    this->EndLegSpan(leg, ToText(end));
  }
  this->shared.Dispatch(ReportEnded{leg.dispatch_id, end, 0});
}

void ServiceFlow::DropLegs(ServiceRequest& request, PlacementEnd end) {
  while (!request.legs.empty()) {
    this->DropLeg(request, request.legs.size() - 1, end);
  }
}

void ServiceFlow::EndLegSpan(const ServiceLeg& leg, std::string_view result) {
  this->shared.FinishSpan(leg.trace, "service.call", leg.started,
                          {{"upstream", leg.worker.value},
                           {"status", std::to_string(leg.status)},
                           {"result", std::string(result)}});
}

void ServiceFlow::OnDeadline(RequestId id) {
  ServiceRequest& request = this->requests.at(id);
  this->shared.metrics.Add(Counter::kDeadlinesReached);
  const bool undecided = request.claiming;
  if (undecided) {
    this->StepLog(AbandonClaim{id});
    if (!this->Owns(id)) {
      return;  // the log answered it
    }
  }
  this->DropLegs(request, PlacementEnd::kCancelled);
  this->RecordEnd(request);
  request.may_have_run = request.may_have_run || undecided;
  this->RefuseCaller(request,
                     {ErrorCode::kRequestDeadlineReached, Outcome::kNotRun,
                      "the deadline was reached before an answer came",
                      std::max(request.expected_wait, kRetryAfterFailure)});
}

// ---- Hedging and time ----

void ServiceFlow::Tick() {
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

void ServiceFlow::StartHedge(ServiceRequest& request) {
  request.hedge_at = kNever;
  if (request.legs.size() != 1 || !request.legs.front().placed) {
    return;
  }
  std::vector<UpstreamId> excluded = request.excluded;
  excluded.push_back(request.legs.front().worker);
  std::swap(excluded, request.excluded);
  this->Submit(request, RequestId{request.id.value | kHedgeBit}, true);
  std::swap(excluded, request.excluded);
}

Instant ServiceFlow::NextWakeup() const {
  Instant earliest = this->log.NextWakeup();
  for (const auto& [id, request] : this->requests) {
    earliest = std::min(earliest, request.hedge_at);
  }
  return earliest;
}

bool ServiceFlow::Idle() const {
  return this->requests.empty() && this->log.Idle();
}

// ---- The idempotency log ----

void ServiceFlow::OnPlatform(const StoreResult& result) {
  for (const LogOperationResult& ended :
       this->storage.Take(this->shared.now, result)) {
    this->StepLog(ended);
  }
}

void ServiceFlow::OnWallClock(const WallClockRead& clock) {
  this->StepLog(SetLogClock{clock.unix_milliseconds});
}

void ServiceFlow::RecordEnd(ServiceRequest& request) {
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

void ServiceFlow::StepLog(const LogMessage& message) {
  for (const LogAction& action : this->log.Step(this->shared.now, message)) {
    this->CarryLog(action);
  }
}

void ServiceFlow::CarryLog(const LogAction& action) {
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
    request.claiming = false;
    request.claimed = true;
    this->Submit(request, request.id, false);
  } else if (const auto* replay = std::get_if<ReplayOutcome>(&action)) {
    ServiceRequest& request = this->requests.at(replay->request);
    request.claiming = false;
    this->shared.metrics.Add(Counter::kReplays);
    Headers headers;
    for (const KeptHeader& header : replay->outcome.headers) {
      headers.push_back({header.name, header.value});
    }
    this->AnswerCaller(request, replay->outcome.status, headers,
                       replay->outcome.body, true);
  } else if (const auto* refuse = std::get_if<RefuseClaim>(&action)) {
    ServiceRequest& request = this->requests.at(refuse->request);
    request.claiming = false;
    request.may_have_run = refuse->problem.outcome != Outcome::kNotRun;
    this->RefuseCaller(request, refuse->problem);
  }
}

// ---- Answers ----

void ServiceFlow::RefuseCaller(ServiceRequest& request, Problem problem) {
  if (this->shared.requests.Finish(request.id) != FinishResult::kSend) {
    this->shared.metrics.Add(Counter::kAnswersSuppressed);
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

void ServiceFlow::AnswerCaller(ServiceRequest& request, int status,
                               const Headers& headers, const std::string& body,
                               bool replayed) {
  if (this->shared.requests.Finish(request.id) != FinishResult::kSend) {
    this->shared.metrics.Add(Counter::kAnswersSuppressed);
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

void ServiceFlow::Close(ServiceRequest& request, std::string_view result) {
  this->shared.metrics.Record(Timing::kRequest,
                              this->shared.now - request.arrived);
  this->shared.FinishSpan(request.trace, "entry.service", request.arrived,
                          {{"organisation", request.organisation.value},
                           {"service", request.service},
                           {"attempts", std::to_string(request.attempts)},
                           {"result", std::string(result)}});
  this->requests.erase(request.id);
}

}  // namespace limpetlink
