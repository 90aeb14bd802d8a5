#include <algorithm>

#include "absl/strings/str_cat.h"
#include "gateway/detail/forwarding.h"

namespace limpetlink {
namespace {

// Sends of one request, those that a worker refused included.
constexpr std::uint32_t kMostSends = 3;
// Connections that may fail for one request before it is refused.
constexpr std::uint32_t kMostConnectFailures = 4;
// Left of a deadline, below which a further send is of no use.
constexpr Duration kLeastTimeToSend = std::chrono::milliseconds(20);
// Bytes of a stream that a caller may lack before its worker is held back.
constexpr std::size_t kPauseAbove = 64U << 10U;
constexpr std::size_t kResumeBelow = 16U << 10U;
// Longest answer that is held until it is whole.
constexpr std::size_t kMaxHeldAnswer = 8U << 20U;
// Engines near by are asked for their load this often; their figures lag by
// about as much. With more of them each is asked less often: more hosts ask.
constexpr Duration kAskLoadsEvery = std::chrono::milliseconds(500);
constexpr double kLoadsEachRound = 3.0;
// Hosts that tell each other of their requests need reports less, and each
// counts as a probe at its worker.
constexpr double kHostsForOneMore = 3.0;
constexpr double kRarestLoads = 4.0;
// Retry-After: long enough to outlast a worker's replacement in part, spread
// so that refused callers do not come back together, and at most a third of
// what the caller has left.
constexpr double kComeBackSeconds = 0.25;
constexpr double kComeBackSpread = 0.5;
constexpr double kComeBackShare = 0.3;

absl::string_view View(std::string_view text) {
  return {text.data(), text.size()};
}

std::string Text(std::string_view text) { return std::string(text); }

}  // namespace

// ---- Answers ----

bool Forwarding::OnHead(Instant now, const HttpHead& head) {
  Forwarded* flow = nullptr;
  Attempt* attempt = this->FindAttempt(head.id, &flow);
  if (attempt == nullptr) {
    return this->TakeMoveHead(head);
  }
  attempt->status = head.status;
  attempt->headers = head.headers;
  this->loads.RecordFirstByte(attempt->worker, flow->size);
  this->hooks.loads_changed(now);
  attempt->said = this->codec.worker_answer(head.headers);
  if (attempt->said.load.has_value()) {
    this->loads.ApplyReport(now, attempt->worker, *attempt->said.load);
  }
  const bool success = head.status >= 200 && head.status < 300;
  const bool foreign = attempt->said.request_id != flow->terms.request_id &&
                       !(attempt->said.request_id.empty() && !success);
  const bool spoilt =
      foreign ||
      (success && (!attempt->said.is_signed || attempt->said.encoded));
  if (spoilt) {
    this->actions.emplace_back(HttpCancel{head.id});
    this->EndAttempt(now, flow->request.id.value, head.id, AttemptEnd::kSpoilt);
    return true;
  }
  attempt->relaying = success && flow->Streaming();
  return true;
}

bool Forwarding::OnChunk(Instant now, const HttpChunk& chunk) {
  Forwarded* flow = nullptr;
  Attempt* attempt = this->FindAttempt(chunk.id, &flow);
  if (attempt == nullptr) {
    return this->TakeMoveChunk(chunk);
  }
  if (attempt->relaying) {
    this->TakeEvents(now, flow, attempt, chunk.bytes);
    return true;
  }
  attempt->body += chunk.bytes;
  if (attempt->body.size() > kMaxHeldAnswer) {
    this->actions.emplace_back(HttpCancel{chunk.id});
    this->EndAttempt(now, flow->request.id.value, chunk.id,
                     AttemptEnd::kSpoilt);
  }
  return true;
}

void Forwarding::TakeEvents(Instant now, Forwarded* flow, Attempt* attempt,
                            std::string_view bytes) {
  SplitEvents split = flow->events.Push(bytes);
  const RequestId id = flow->request.id;
  if (!split.whole.empty()) {
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
    this->metrics->Add(Counter::kTokensDelivered, split.count);
    flow->buffered += split.whole.size();
    this->actions.emplace_back(ReplyBody{id, std::move(split.whole)});
  }
  if (!split.in_order) {
    this->metrics->Add(Counter::kFramesDropped);
    this->actions.emplace_back(HttpCancel{attempt->call});
    this->EndAttempt(now, id.value, attempt->call, AttemptEnd::kSpoilt);
    return;
  }
  if (flow->buffered > kPauseAbove && !attempt->paused) {
    attempt->paused = true;
    this->actions.emplace_back(HttpPause{attempt->call, true});
  }
}

void Forwarding::OnDrained(Instant /*now*/, const CallerDrained& drained) {
  const auto found = this->flows.find(drained.id.value);
  if (found == this->flows.end()) {
    return;
  }
  Forwarded& flow = found->second;
  flow.buffered = drained.buffered;
  for (Attempt& attempt : flow.running) {
    if (attempt.paused && flow.buffered < kResumeBelow) {
      attempt.paused = false;
      this->actions.emplace_back(HttpPause{attempt.call, false});
    }
  }
}

bool Forwarding::OnDone(Instant now, const HttpDone& done) {
  Forwarded* flow = nullptr;
  Attempt* attempt = this->FindAttempt(done.id, &flow);
  if (attempt == nullptr) {
    return this->OnMoveCall(now, done);
  }
  const AttemptEnd end = this->Classify(*flow, *attempt, done.end);
  this->EndAttempt(now, flow->request.id.value, done.id, end);
  return true;
}

AttemptEnd Forwarding::Classify(const Forwarded& flow, const Attempt& attempt,
                                HttpEnd end) const {
  if (end == HttpEnd::kNotConnected) {
    return AttemptEnd::kNotConnected;
  }
  if (attempt.said.not_run && attempt.status != 0) {
    return AttemptEnd::kRefused;  // the head alone says so
  }
  if (end != HttpEnd::kComplete || attempt.status == 0) {
    return AttemptEnd::kCut;
  }
  if (attempt.relaying && flow.events.Held() > 0) {
    return AttemptEnd::kSpoilt;  // ends inside an event
  }
  // Without the worker's word these statuses would be a promise that no one
  // made.
  const bool false_promise = attempt.status == 503 || attempt.status == 429 ||
                             attempt.status == 408 || attempt.status == 421;
  if (false_promise && !flow.Idempotent()) {
    return AttemptEnd::kSpoilt;
  }
  return attempt.status >= 500 ? AttemptEnd::kWorkerFailure
                               : AttemptEnd::kAnswered;
}

void Forwarding::EndAttempt(Instant now, std::uint64_t id, CallId call,
                            AttemptEnd end) {
  Forwarded& flow = this->flows.at(id);
  const auto found =
      std::find_if(flow.running.begin(), flow.running.end(),
                   [call](const Attempt& a) { return a.call == call; });
  const Attempt attempt = std::move(*found);
  flow.running.erase(found);
  this->flow_of_call.erase(call.value);
  this->loads.End(now, attempt.worker, flow.size, attempt.status != 0);
  this->hooks.loads_changed(now);
  const bool silent =
      end == AttemptEnd::kNotConnected || end == AttemptEnd::kCut;
  const bool failed = end != AttemptEnd::kAnswered;
  const bool moving =
      flow.move.has_value() && flow.move->source == attempt.worker;
  if (!moving) {  // a worker that leaves does not fail
    this->loads.RecordAttempt(now, attempt.worker, failed, silent);
  }
  if (end == AttemptEnd::kNotConnected) {
    ++flow.connect_failures;
  }
  if (end == AttemptEnd::kNotConnected || end == AttemptEnd::kRefused) {
    --flow.runs;
  }
  if (end == AttemptEnd::kAnswered && flow.Idempotent()) {
    this->hedge_delays.Observe(flow.service, flow.route->name,
                               now - attempt.sent);
  }
  if (!this->HoldsForMove(now, &flow, attempt, end)) {
    this->Follow(now, id, attempt, end);
  }
}

void Forwarding::Follow(Instant now, std::uint64_t id, const Attempt& attempt,
                        AttemptEnd end) {
  Forwarded& flow = this->flows.at(id);
  WindowBudget& budget = this->BudgetOf(flow.service);
  AttemptFacts facts;
  facts.end = end;
  facts.idempotent = flow.Idempotent();
  facts.delivering = flow.delivering;
  facts.other_running = !flow.running.empty();
  facts.may_have_run = flow.runs > 0;
  if (end != AttemptEnd::kNotConnected && end != AttemptEnd::kRefused) {
    facts.may_have_run = flow.runs > 1;
  }
  facts.attempts_left = flow.runs < flow.route->max_attempts &&
                        flow.sends - flow.connect_failures < kMostSends &&
                        flow.connect_failures < kMostConnectFailures &&
                        flow.deadline - now >= kLeastTimeToSend;
  facts.budget_left = budget.Left(now) >= 1.0;
  facts.worker_left = this->ChooseWorker(now, flow).has_value();
  const NextStep step = AfterAttempt(facts);
  if (end != AttemptEnd::kAnswered) {
    this->Log(LogLevel::kInfo, "attempt failed",
              {{"request", flow.terms.request_id},
               {"worker", attempt.worker.value},
               {"end", Text(ToText(end))},
               {"status", std::to_string(attempt.status)},
               {"answers", attempt.said.request_id},
               {"after_ms", MillisecondsText(now - attempt.sent)},
               {"budget_left", absl::StrCat(budget.Left(now))},
               {"next", Text(ToText(step))}});
  }
  switch (step) {
    case NextStep::kDeliver:
      this->Deliver(now, id, attempt);
      return;
    case NextStep::kTryAnother:
      if (end != AttemptEnd::kNotConnected) {
        budget.Spend(now);
        this->metrics->Add(Counter::kRetries);
      }
      this->Send(now, &flow);
      return;
    case NextStep::kWaitForOther:
      return;
    case NextStep::kRefuse:
      this->Refuse(
          now, id,
          {ErrorCode::kUpstreamRefused, Outcome::kNotRun,
           end == AttemptEnd::kRefused ? "the worker did not take the request"
                                       : "no worker could be reached",
           this->ComeBack(now, flow)});
      return;
    case NextStep::kFail:
      this->Refuse(now, id,
                   {ErrorCode::kUpstreamCut, Outcome::kUnknown,
                    "the worker's answer did not arrive whole", std::nullopt});
      return;
    case NextStep::kBreakOff:
      this->BreakOff(now, id, "the worker's stream broke off");
      return;
  }
}

// ---- Final answers ----

Headers Forwarding::ReplyHeaders(Instant now, Headers headers) const {
  if (this->hooks.time_to_end(now) != Duration::max()) {
    headers.push_back({"Connection", "close"});
  }
  return headers;
}

void Forwarding::Deliver(Instant now, std::uint64_t id,
                         const Attempt& attempt) {
  Forwarded& flow = this->flows.at(id);
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

Duration Forwarding::ComeBack(Instant now, const Forwarded& flow) {
  const Duration wanted =
      FromSeconds(kComeBackSeconds + kComeBackSpread * this->random.Fraction());
  const Duration most =
      FromSeconds(ToSeconds(flow.deadline - now) * kComeBackShare);
  return std::max(Duration{0}, std::min(wanted, most));
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
  Forwarded& flow = this->flows.at(id);
  this->CancelAttempts(now, &flow, false);
  if (flow.delivering) {
    this->BreakOff(now, id, "given up");
    return;
  }
  this->metrics->Add(Counter::kRefusals);
  this->ReplyProblem(now, flow.request.id, problem);
  const ErrorInfo& info = Describe(problem.code);
  this->Finish(now, id, info.http_status, problem.outcome,
               absl::StrCat(View(info.name), ": ", problem.detail));
}

void Forwarding::BreakOff(Instant now, std::uint64_t id, const char* cause) {
  Forwarded& flow = this->flows.at(id);
  this->CancelAttempts(now, &flow, false);
  this->metrics->Add(Counter::kStreamsLost);
  this->actions.emplace_back(ReplyEnd{flow.request.id, true});
  this->Finish(now, id, 0, Outcome::kUnknown, cause);
}

void Forwarding::Finish(Instant now, std::uint64_t id, int status,
                        Outcome outcome, std::string cause) {
  const Forwarded& flow = this->flows.at(id);
  this->metrics->Record(Timing::kRequest, now - flow.arrived);
  this->Log(
      LogLevel::kInfo, "request finished",
      {{"request", flow.terms.request_id},
       {"route", flow.route == nullptr ? "" : flow.route->name},
       {"status", std::to_string(status)},
       {"outcome", Text(ToText(outcome))},
       {"sends", std::to_string(flow.sends)},
       {"moves", std::to_string(flow.moves)},
       {"first_event_ms",
        flow.first_event ? MillisecondsText(*flow.first_event - flow.arrived)
                         : "none"},
       {"longest_pause_ms", MillisecondsText(flow.longest_pause)},
       {"took_ms", MillisecondsText(now - flow.arrived)},
       {"cause", std::move(cause)}});
  this->timers.erase({flow.deadline, id, TimerKind::kDeadline});
  this->AbandonMove(now, &this->flows.at(id));
  this->flows.erase(id);
}

void Forwarding::CancelAttempts(Instant now, Forwarded* flow, bool silent) {
  for (const Attempt& attempt : flow->running) {
    this->actions.emplace_back(HttpCancel{attempt.call});
    this->flow_of_call.erase(attempt.call.value);
    this->loads.End(now, attempt.worker, flow->size, attempt.status != 0);
    this->hooks.loads_changed(now);
    if (silent && attempt.status == 0) {
      this->loads.RecordAttempt(now, attempt.worker, true, true);
    }
  }
  flow->running.clear();
}

void Forwarding::OnGone(Instant now, const CallerGone& gone) {
  const auto found = this->flows.find(gone.id.value);
  if (found == this->flows.end()) {
    return;
  }
  this->CancelAttempts(now, &found->second, false);
  const Outcome outcome =
      found->second.runs > 0 ? Outcome::kUnknown : Outcome::kNotRun;
  this->Finish(now, gone.id.value, 0, outcome, "the caller left");
}

// ---- Time ----

void Forwarding::ReachDeadline(Instant now, std::uint64_t id) {
  Forwarded& flow = this->flows.at(id);
  this->metrics->Add(Counter::kDeadlinesReached);
  const bool sent = flow.runs > 0;
  this->CancelAttempts(now, &flow, true);
  if (sent) {
    this->Refuse(now, id,
                 {ErrorCode::kRequestDeadlineReached, Outcome::kUnknown,
                  "the worker did not answer in time", std::nullopt});
    return;
  }
  this->Refuse(now, id,
               {ErrorCode::kRoutingNoUpstream, Outcome::kNotRun,
                "no worker took the request in time", Duration{0}});
}

void Forwarding::Hedge(Instant now, Forwarded* flow) {
  const bool wanted = flow->running.size() == 1 &&
                      flow->running.front().status == 0 &&
                      flow->runs < flow->route->max_attempts &&
                      flow->deadline - now >= kLeastTimeToSend;
  if (!wanted || !this->ChooseWorker(now, *flow).has_value() ||
      !this->BudgetOf(flow->service).Spend(now)) {
    return;
  }
  this->metrics->Add(Counter::kRetries);
  this->Log(
      LogLevel::kInfo, "second copy",
      {{"request", flow->terms.request_id},
       {"waited_ms", MillisecondsText(now - flow->running.front().sent)}});
  this->Send(now, flow);
}

void Forwarding::Tick(Instant now) {
  if (this->next_loads <= now) {
    const std::size_t asked = this->AskLoads(now);
    const double rounds =
        std::max(1.0, static_cast<double>(asked) / kLoadsEachRound);
    const double rarer =
        std::min(kRarestLoads,
                 1.0 + static_cast<double>(this->loads.AdvertisingHosts()) /
                           kHostsForOneMore);
    this->next_loads =
        now + FromSeconds(rounds * rarer * ToSeconds(kAskLoadsEvery));
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
        this->ReachDeadline(now, timer.flow);
        break;
      case TimerKind::kHedge:
        this->Hedge(now, &found->second);
        break;
      case TimerKind::kMove:
        this->StepMove(now, &found->second);
        break;
    }
  }
}

Instant Forwarding::NextWakeup() const {
  return this->timers.empty()
             ? this->next_loads
             : std::min(this->next_loads, this->timers.begin()->due);
}

void Forwarding::EndAll(Instant now) {
  while (!this->flows.empty()) {
    const std::uint64_t id = this->flows.begin()->first;
    if (this->flows.begin()->second.delivering) {
      this->BreakOff(now, id, "the host's time to end was reached");
      continue;
    }
    this->Refuse(now, id,
                 {ErrorCode::kUpstreamCut, Outcome::kUnknown,
                  "the host's time to end was reached", std::nullopt});
  }
}

}  // namespace limpetlink
