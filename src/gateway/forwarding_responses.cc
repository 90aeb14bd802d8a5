#include <algorithm>

#include "absl/strings/str_cat.h"
#include "gateway/detail/forwarding.h"

namespace limpetlink {
namespace {

// Attempts of one request, including those that a worker refused.
constexpr std::uint32_t kMaxAttempts = 3;
// Failed connections of one request after which it is refused.
constexpr std::uint32_t kMaxConnectFailures = 4;
// Time before the deadline below which another attempt is pointless.
constexpr Duration kMinTimeToSend = std::chrono::milliseconds(20);
// Bytes of a stream buffered for a slow caller above which reading from its
// worker pauses, and below which it resumes.
constexpr std::size_t kPauseThreshold = 64U << 10U;
constexpr std::size_t kResumeThreshold = 16U << 10U;
// Maximum size of a response that is buffered until it is complete.
constexpr std::size_t kMaxBufferedResponse = 8U << 20U;
// Of all these responses together; a small host has 88 MB.
constexpr std::size_t kMaxBufferedResponses = 24U << 20U;
// Base interval at which a host polls the load of the engines in its failure
// domain; the load known of an engine is out of date by about one interval. The
// interval grows with the number of engines, as more hosts then poll each one.
constexpr Duration kLoadPollInterval = std::chrono::milliseconds(500);
constexpr double kReportsPerInterval = 3.0;
// Hosts that advertise their placements to each other need fewer reports, and
// each report counts as a probe at its worker.
constexpr double kHostsPerExtraInterval = 3.0;
constexpr double kMaxPollBackoff = 4.0;
// Retry-After: long enough to cover part of a worker's replacement, with jitter
// so that refused callers don't return all at once, and at most a third of the
// time until the caller's deadline.
constexpr double kMinRetryAfterSeconds = 0.25;
constexpr double kRetryAfterJitterSeconds = 0.5;
constexpr double kMaxRetryAfterShare = 0.3;

absl::string_view View(std::string_view text) {
  return {text.data(), text.size()};
}

std::string Text(std::string_view text) { return std::string(text); }

}  // namespace

// ---- Responses ----

bool Forwarding::OnHead(Instant now, const HttpHead& received) {
  HttpHead head = received;
  if (!this->paths->OnHead(&head)) {
    return true;  // a relay's own; the end of the call tells what it means
  }
  ForwardedRequest* flow = nullptr;
  Attempt* attempt = this->FindAttempt(head.id, &flow);
  if (attempt == nullptr) {
    return this->OnMigrationHead(now, head);
  }
  attempt->status = head.status;
  attempt->head_at = now;
  attempt->headers = head.headers;
  attempt->until_close = head.until_close;
  this->loads.RecordFirstByte(attempt->worker, flow->size);
  this->hooks.loads_changed(now);
  attempt->response = this->codec.worker_response(head.headers);
  if (attempt->response.load.has_value()) {
    this->loads.ApplyReport(now, attempt->worker, *attempt->response.load);
  }
  this->NoteResponse(now, attempt->worker, attempt->sent, attempt->status,
                     attempt->response);
  const bool success = head.status >= 200 && head.status < 300;
  const bool wrong_request =
      attempt->response.request_id != flow->metadata.request_id &&
      !(attempt->response.request_id.empty() && !success);
  const bool malformed =
      wrong_request ||
      (success && (!attempt->response.is_signed || attempt->response.encoded));
  if (malformed) {
    this->CancelCall(head.id);
    this->EndAttempt(now, flow->request.id.value, head.id,
                     AttemptEnd::kMalformed);
    return true;
  }
  attempt->relaying = success && flow->Streaming();
  return true;
}

bool Forwarding::OnChunk(Instant now, const HttpChunk& chunk) {
  if (!this->paths->OnChunk(chunk)) {
    return true;
  }
  ForwardedRequest* flow = nullptr;
  Attempt* attempt = this->FindAttempt(chunk.id, &flow);
  if (attempt == nullptr) {
    return this->OnMigrationChunk(chunk);
  }
  if (attempt->relaying) {
    this->RelayEvents(now, flow, attempt, chunk.bytes);
    return true;
  }
  attempt->body += chunk.bytes;
  this->buffered_responses += chunk.bytes.size();
  if (attempt->body.size() > kMaxBufferedResponse) {
    this->EndOversized(now, flow, attempt);
  } else if (this->buffered_responses > kMaxBufferedResponses) {
    this->EndLargestResponse(now);
  }
  return true;
}

void Forwarding::EndOversized(Instant now, ForwardedRequest* flow,
                              Attempt* attempt) {
  this->Log(
      LogLevel::kWarning, "response too large",
      {{"request", flow->metadata.request_id},
       {"worker", attempt->worker.value},
       {"bytes", std::to_string(attempt->body.size())},
       {"all_responses_bytes", std::to_string(this->buffered_responses)}});
  this->CancelCall(attempt->call);
  this->EndAttempt(now, flow->request.id.value, attempt->call,
                   AttemptEnd::kMalformed);
}

void Forwarding::EndLargestResponse(Instant now) {
  ForwardedRequest* owner = nullptr;
  Attempt* largest = nullptr;
  for (auto& [id, flow] : this->flows) {
    for (Attempt& attempt : flow.running) {
      if (largest == nullptr || attempt.body.size() > largest->body.size()) {
        owner = &flow;
        largest = &attempt;
      }
    }
  }
  if (largest != nullptr) {
    this->EndOversized(now, owner, largest);
  }
}

void Forwarding::RelayEvents(Instant now, ForwardedRequest* flow,
                             Attempt* attempt, std::string_view bytes) {
  SplitEvents split = flow->events.Push(bytes);
  const RequestId id = flow->request.id;
  if (!split.complete.empty()) {
    if (!flow->delivering) {
      flow->delivering = true;
      flow->first_event = now;
      this->metrics->Record(Timing::kFirstToken, now - flow->arrived);
      Headers headers =
          this->ReplyHeaders(now, this->codec.caller_headers(attempt->headers));
      this->actions.emplace_back(
          ReplyHead{id, attempt->status, std::move(headers)});
    } else {
      const Duration pause = now - flow->last_event;
      flow->longest_pause = std::max(flow->longest_pause, pause);
      this->metrics->Record(Timing::kBetweenTokens, pause);
    }
    flow->last_event = now;
    attempt->has_events = true;
    this->NoteSoundRun(now, *flow, *attempt, false);
    this->metrics->Add(Counter::kTokensDelivered, split.count);
    flow->events_relayed += split.count;
    flow->buffered += split.complete.size();
    this->actions.emplace_back(ReplyBody{id, std::move(split.complete)});
  }
  if (!split.in_order) {
    this->metrics->Add(Counter::kFramesDropped);
    this->CancelCall(attempt->call);
    this->EndAttempt(now, id.value, attempt->call, AttemptEnd::kMalformed);
    return;
  }
  if (flow->buffered > kPauseThreshold && !attempt->paused) {
    attempt->paused = true;
    this->actions.emplace_back(HttpPause{attempt->call, true});
  }
}

void Forwarding::OnCallerBufferDrained(Instant /*now*/,
                                       const CallerBufferDrained& drained) {
  const auto found = this->flows.find(drained.id.value);
  if (found == this->flows.end()) {
    return;
  }
  ForwardedRequest& flow = found->second;
  flow.buffered = drained.buffered;
  for (Attempt& attempt : flow.running) {
    if (attempt.paused && flow.buffered < kResumeThreshold) {
      attempt.paused = false;
      this->actions.emplace_back(HttpPause{attempt.call, false});
    }
  }
}

bool Forwarding::OnDone(Instant now, const HttpDone& done) {
  const WorkerCallEnd call_end = this->paths->OnDone(now, done);
  ForwardedRequest* flow = nullptr;
  Attempt* attempt = this->FindAttempt(done.id, &flow);
  if (attempt == nullptr) {
    return this->OnMigrationDone(now, done.id, call_end);
  }
  attempt->refused_by_relay = call_end.refused_by_relay;
  const AttemptEnd end = this->Classify(*flow, *attempt, call_end.end);
  this->EndAttempt(now, flow->request.id.value, done.id, end);
  return true;
}

AttemptEnd Forwarding::Classify(const ForwardedRequest& flow,
                                const Attempt& attempt, HttpEnd end) const {
  if (end == HttpEnd::kNotConnected) {
    return AttemptEnd::kNotConnected;
  }
  if (attempt.response.not_run && attempt.status != 0) {
    return AttemptEnd::kRefused;  // the head suffices
  }
  if (end != HttpEnd::kComplete || attempt.status == 0) {
    return AttemptEnd::kCut;
  }
  if (attempt.relaying && flow.events.PendingBytes() > 0) {
    return AttemptEnd::kMalformed;  // ends within an event
  }
  // Callers take these statuses as a guarantee that the request didn't run;
  // only the worker can give it.
  if (PromisesNotRun(attempt.status) && !flow.Idempotent()) {
    return AttemptEnd::kMalformed;
  }
  return attempt.status >= 500 ? AttemptEnd::kWorkerFailure
                               : AttemptEnd::kAnswered;
}

void Forwarding::EndAttempt(Instant now, std::uint64_t id, CallId call,
                            AttemptEnd end) {
  ForwardedRequest& flow = this->flows.at(id);
  const auto found =
      std::find_if(flow.running.begin(), flow.running.end(),
                   [call](const Attempt& a) { return a.call == call; });
  const Attempt attempt = std::move(*found);
  flow.running.erase(found);
  this->buffered_responses -= attempt.body.size();
  this->flow_of_call.erase(call.value);
  this->loads.End(now, attempt.worker, flow.size, attempt.status != 0);
  this->hooks.loads_changed(now);
  const bool unusable = end == AttemptEnd::kNotConnected ||
                        end == AttemptEnd::kCut ||
                        end == AttemptEnd::kMalformed;
  const bool failed = end != AttemptEnd::kAnswered;
  const bool moving = flow.migration.has_value() &&
                      flow.migration->move.Source() == attempt.worker;
  if (!moving && end == AttemptEnd::kCut && !attempt.relay.has_value()) {
    this->paths->Suspect(now, attempt.worker);
  }
  // A leaving worker hasn't failed, nor has one that a relay did not ask.
  if (!moving && !attempt.refused_by_relay) {
    this->loads.RecordAttempt(now, attempt.worker, failed, unusable);
  }
  if (end == AttemptEnd::kNotConnected) {
    this->NoteConnectFailure(now, &flow, attempt);
  }
  if (end == AttemptEnd::kNotConnected || end == AttemptEnd::kRefused) {
    --flow.possible_runs;
  }
  if (end == AttemptEnd::kAnswered && flow.Idempotent()) {
    this->hedge_delays.Observe(flow.service, flow.route->name,
                               now - attempt.sent);
  }
  this->NoteSoundRun(
      now, flow, attempt,
      end == AttemptEnd::kAnswered || end == AttemptEnd::kWorkerFailure);
  this->CheckForCrash(now, &flow, attempt, end);
  if (!this->DeferToMigration(now, &flow, attempt, end)) {
    this->ProceedAfterAttempt(now, id, attempt, end);
  }
}

void Forwarding::NoteConnectFailure(Instant now, ForwardedRequest* flow,
                                    const Attempt& attempt) {
  ++flow->connect_failures;
  if (attempt.refused_by_relay) {
    flow->refused_by.insert(*attempt.relay);
  }
  const WorkerRegistration* worker = this->directory->Find(attempt.worker);
  const bool has_other_way =
      attempt.refused_by_relay ||
      (!attempt.relay.has_value() && worker != nullptr &&
       this->paths->HasRelay(now, *worker, this->RequirementsOf(*flow)));
  if (has_other_way) {
    flow->tried.erase(
        std::remove(flow->tried.begin(), flow->tried.end(), attempt.worker),
        flow->tried.end());
  }
}

void Forwarding::ProceedAfterAttempt(Instant now, std::uint64_t id,
                                     const Attempt& attempt, AttemptEnd end) {
  ForwardedRequest& flow = this->flows.at(id);
  WindowBudget& budget = this->BudgetOf(flow.service);
  AttemptContext context;
  context.end = end;
  context.idempotent = flow.Idempotent();
  context.delivering = flow.delivering;
  context.other_running = !flow.running.empty();
  context.may_have_run = flow.possible_runs > 0;
  if (end != AttemptEnd::kNotConnected && end != AttemptEnd::kRefused) {
    context.may_have_run = flow.possible_runs > 1;
  }
  context.attempts_left =
      flow.possible_runs < flow.route->max_attempts &&
      flow.attempts - flow.connect_failures < kMaxAttempts &&
      flow.connect_failures < kMaxConnectFailures &&
      flow.deadline - now >= kMinTimeToSend;
  context.budget_available = budget.Left(now) >= 1.0;
  const std::optional<Problem> quarantined = this->CheckQuarantine(now, flow);
  context.worker_available =
      !quarantined.has_value() && this->ChooseWorker(now, flow).has_value();
  const NextStep step = DecideNextStep(context);
  if (end != AttemptEnd::kAnswered) {
    this->Log(LogLevel::kInfo, "attempt failed",
              {{"request", flow.metadata.request_id},
               {"worker", attempt.worker.value},
               {"relay", attempt.relay ? attempt.relay->value : "none"},
               {"end", Text(ToText(end))},
               {"status", std::to_string(attempt.status)},
               {"answers", attempt.response.request_id},
               {"after_ms", MillisecondsText(now - attempt.sent)},
               {"budget_left", absl::StrCat(budget.Left(now))},
               {"next", Text(ToText(step))},
               {"identity",
                end == AttemptEnd::kCut ? RequestIdentity(flow) : "none"}});
  }
  switch (step) {
    case NextStep::kDeliver:
      this->Deliver(now, id, attempt);
      return;
    case NextStep::kRetry:
      if (end != AttemptEnd::kNotConnected) {
        budget.Spend(now);
        this->metrics->Add(Counter::kRetries);
      }
      this->Send(now, &flow);
      return;
    case NextStep::kWaitForOther:
      return;
    case NextStep::kRefuse:
      this->RefuseAfterAttempt(now, id, end);
      return;
    case NextStep::kFail:
      this->Refuse(
          now, id,
          {ErrorCode::kUpstreamCut, Outcome::kUnknown,
           "the worker's response is incomplete or malformed", std::nullopt});
      return;
    case NextStep::kAbort:
      this->AbortStream(now, id,
                        "the worker's stream ended early or is malformed");
      return;
  }
}

void Forwarding::RefuseAfterAttempt(Instant now, std::uint64_t id,
                                    AttemptEnd end) {
  const ForwardedRequest& flow = this->flows.at(id);
  if (std::optional<Problem> problem = this->CheckQuarantine(now, flow)) {
    this->metrics->Add(Counter::kQuarantineRefusals);
    this->Refuse(now, id, *std::move(problem));
    return;
  }
  Problem problem = this->NoWorkerProblem(now, flow);
  if (problem.code == ErrorCode::kRoutingNoUpstream) {
    problem.code = ErrorCode::kUpstreamRefused;
    problem.detail = end == AttemptEnd::kRefused
                         ? "the worker refused the request"
                         : "no worker could be reached";
  }
  this->Refuse(now, id, std::move(problem));
}

// ---- Final responses ----

Headers Forwarding::ReplyHeaders(Instant now, Headers headers) const {
  if (this->hooks.time_to_end(now) != Duration::max()) {
    headers.push_back({"Connection", "close"});
  }
  return headers;
}

void Forwarding::Deliver(Instant now, std::uint64_t id,
                         const Attempt& attempt) {
  ForwardedRequest& flow = this->flows.at(id);
  if (!flow.delivering) {
    this->actions.emplace_back(ReplyHead{
        flow.request.id, attempt.status,
        this->ReplyHeaders(now, this->codec.caller_headers(attempt.headers))});
    this->actions.emplace_back(ReplyBody{flow.request.id, attempt.body});
  }
  this->actions.emplace_back(ReplyEnd{flow.request.id, false});
  this->CancelAttempts(now, &flow, false);
  this->Finish(now, id, attempt.status, Outcome::kRan, "answered");
}

Duration Forwarding::RetryAfter(Instant now, const ForwardedRequest& flow) {
  const Duration delay =
      FromSeconds(kMinRetryAfterSeconds +
                  kRetryAfterJitterSeconds * this->random.Fraction());
  const Duration max_delay =
      FromSeconds(ToSeconds(flow.deadline - now) * kMaxRetryAfterShare);
  return std::max(Duration{0}, std::min(delay, max_delay));
}

void Forwarding::ReplyProblem(Instant now, const RequestId& id,
                              const Problem& problem) {
  Headers headers = {{"Content-Type", "application/problem+json"}};
  if (problem.retry_after.has_value()) {
    headers.push_back(
        {"Retry-After", absl::StrCat(ToSeconds(*problem.retry_after))});
  }
  this->actions.emplace_back(
      ReplyHead{id, Describe(problem.code).http_status,
                this->ReplyHeaders(now, std::move(headers))});
  this->actions.emplace_back(ReplyBody{id, ToProblemJson(problem)});
  this->actions.emplace_back(ReplyEnd{id, false});
}

void Forwarding::Refuse(Instant now, std::uint64_t id, Problem problem) {
  ForwardedRequest& flow = this->flows.at(id);
  this->CancelAttempts(now, &flow, false);
  if (flow.delivering) {
    this->AbortStream(now, id, "given up");
    return;
  }
  this->metrics->Add(Counter::kRefusals);
  this->ReplyProblem(now, flow.request.id, problem);
  const ErrorInfo& info = Describe(problem.code);
  this->Finish(now, id, info.http_status, problem.outcome,
               absl::StrCat(View(info.name), ": ", problem.detail));
}

void Forwarding::AbortStream(Instant now, std::uint64_t id, const char* cause) {
  ForwardedRequest& flow = this->flows.at(id);
  this->CancelAttempts(now, &flow, false);
  this->metrics->Add(Counter::kStreamsLost);
  this->actions.emplace_back(ReplyEnd{flow.request.id, true});
  this->Finish(now, id, 0, Outcome::kUnknown, cause);
}

void Forwarding::Finish(Instant now, std::uint64_t id, int status,
                        Outcome outcome, std::string cause) {
  const ForwardedRequest& flow = this->flows.at(id);
  this->metrics->Record(Timing::kRequest, now - flow.arrived);
  this->Log(
      LogLevel::kInfo, "request finished",
      {{"request", flow.metadata.request_id},
       {"route", flow.route == nullptr ? "" : flow.route->name},
       {"status", std::to_string(status)},
       {"outcome", Text(ToText(outcome))},
       {"sends", std::to_string(flow.attempts)},
       {"moves", std::to_string(flow.migrations)},
       {"first_event_ms",
        flow.first_event ? MillisecondsText(*flow.first_event - flow.arrived)
                         : "none"},
       {"longest_pause_ms", MillisecondsText(flow.longest_pause)},
       {"took_ms", MillisecondsText(now - flow.arrived)},
       {"cause", std::move(cause)}});
  this->timers.erase({flow.deadline, id, TimerKind::kDeadline});
  this->AbandonMigration(now, &this->flows.at(id));
  this->flows.erase(id);
}

void Forwarding::CancelAttempts(Instant now, ForwardedRequest* flow,
                                bool silent) {
  for (const Attempt& attempt : flow->running) {
    this->CancelCall(attempt.call);
    this->buffered_responses -= attempt.body.size();
    this->flow_of_call.erase(attempt.call.value);
    this->loads.End(now, attempt.worker, flow->size, attempt.status != 0);
    this->hooks.loads_changed(now);
    if (silent && attempt.status == 0) {
      this->loads.RecordAttempt(now, attempt.worker, true, true);
      if (!attempt.relay.has_value()) {
        this->paths->Suspect(now, attempt.worker);
      }
    }
  }
  flow->running.clear();
}

void Forwarding::OnCallerDisconnected(Instant now,
                                      const CallerDisconnected& disconnected) {
  const auto found = this->flows.find(disconnected.id.value);
  if (found == this->flows.end()) {
    return;
  }
  this->CancelAttempts(now, &found->second, false);
  const Outcome outcome =
      found->second.possible_runs > 0 ? Outcome::kUnknown : Outcome::kNotRun;
  this->Finish(now, disconnected.id.value, 0, outcome,
               "the caller disconnected");
}

// ---- Timers ----

void Forwarding::OnDeadline(Instant now, std::uint64_t id) {
  ForwardedRequest& flow = this->flows.at(id);
  this->metrics->Add(Counter::kDeadlinesReached);
  const bool sent = flow.possible_runs > 0;
  this->CancelAttempts(now, &flow, true);
  if (sent) {
    this->Refuse(
        now, id,
        {ErrorCode::kRequestDeadlineReached, Outcome::kUnknown,
         "the worker did not respond before the deadline", std::nullopt});
    return;
  }
  this->Refuse(
      now, id,
      {ErrorCode::kRoutingNoUpstream, Outcome::kNotRun,
       "no worker accepted the request before the deadline", Duration{0}});
}

void Forwarding::Hedge(Instant now, ForwardedRequest* flow) {
  const bool eligible = flow->running.size() == 1 &&
                        flow->running.front().status == 0 &&
                        flow->possible_runs < flow->route->max_attempts &&
                        flow->deadline - now >= kMinTimeToSend;
  if (flow->running.size() == 1 && flow->running.front().status == 0 &&
      !flow->running.front().relay.has_value()) {
    this->paths->Suspect(now, flow->running.front().worker);
  }
  if (!eligible || this->CheckQuarantine(now, *flow).has_value() ||
      !this->ChooseWorker(now, *flow).has_value() ||
      !this->BudgetOf(flow->service).Spend(now)) {
    return;
  }
  this->metrics->Add(Counter::kRetries);
  this->Log(
      LogLevel::kInfo, "second copy",
      {{"request", flow->metadata.request_id},
       {"waited_ms", MillisecondsText(now - flow->running.front().sent)}});
  this->Send(now, flow);
}

void Forwarding::Tick(Instant now) {
  if (this->next_load_poll <= now) {
    const std::size_t engines = this->RequestLoadReports(now);
    const double intervals =
        std::max(1.0, static_cast<double>(engines) / kReportsPerInterval);
    const double backoff =
        std::min(kMaxPollBackoff,
                 1.0 + static_cast<double>(this->loads.AdvertisingHosts()) /
                           kHostsPerExtraInterval);
    this->next_load_poll =
        now + FromSeconds(intervals * backoff * ToSeconds(kLoadPollInterval));
  }
  while (!this->timers.empty() && this->timers.begin()->due <= now) {
    const Timer timer = *this->timers.begin();
    this->timers.erase(this->timers.begin());
    const auto found = this->flows.find(timer.flow);
    if (found == this->flows.end()) {
      continue;
    }
    switch (timer.kind) {
      case TimerKind::kDeadline:
        this->OnDeadline(now, timer.flow);
        break;
      case TimerKind::kHedge:
        this->Hedge(now, &found->second);
        break;
      case TimerKind::kMigration:
        if (found->second.migration.has_value()) {
          found->second.migration->timer.reset();
          this->Advance(now, &found->second,
                        found->second.migration->move.OnTimer());
        }
        break;
    }
  }
}

Instant Forwarding::NextWakeup() const {
  return this->timers.empty()
             ? this->next_load_poll
             : std::min(this->next_load_poll, this->timers.begin()->due);
}

void Forwarding::EndAll(Instant now) {
  while (!this->flows.empty()) {
    const std::uint64_t id = this->flows.begin()->first;
    if (this->flows.begin()->second.delivering) {
      this->AbortStream(now, id, "the host's shutdown grace period expired");
      continue;
    }
    this->Refuse(now, id,
                 {ErrorCode::kUpstreamCut, Outcome::kUnknown,
                  "the host's shutdown grace period expired", std::nullopt});
  }
}

}  // namespace limpetlink
