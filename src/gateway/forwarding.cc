#include "gateway/detail/forwarding.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"

namespace limpetlink {
namespace {

// A round trip between regions and a lost opening packet's margin.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
// Before enough lookups were seen, a copy is sent after this part of the
// route's objective, and never earlier than the least.
constexpr double kHedgeShare = 0.5;
constexpr Duration kLeastHedge = std::chrono::milliseconds(60);
// Of the bound on revoked keys, kept for the time between the check and the
// worker's start.
constexpr Duration kRevocationMargin = std::chrono::milliseconds(750);
// An engine makes a token in about this time, and a third more when it is
// crowded. A host that shuts down counts the longest answer that is allowed:
// callers' guesses are often far off.
constexpr Duration kTimePerToken = std::chrono::microseconds(9000);
constexpr double kSlowEngine = 1.3;
constexpr int kLowestPriority = 9;
// No engine holds more; a claim beyond it must not upset sums of many.
constexpr std::uint64_t kMostTokens = 1ULL << 30U;
// Where only this host cannot serve, the next one can at once.
constexpr Duration kElsewhere = std::chrono::milliseconds(20);

}  // namespace

Forwarding::Forwarding(const GatewaySettings& settings,
                       const GatewayCodec& codec, ForwardingHooks hooks,
                       const WorkerDirectory* directory, HostMetrics* metrics)
    : settings(settings),
      codec(codec),
      hooks(std::move(hooks)),
      directory(directory),
      metrics(metrics),
      loads(settings.seed),
      random(settings.seed + 1) {}

void Forwarding::Log(LogLevel level, std::string message,
                     std::vector<LogField> fields) {
  this->actions.emplace_back(
      LogLine{level, std::move(message), std::move(fields)});
}

WindowBudget& Forwarding::BudgetOf(const std::string& service) {
  const GatewayBounds& bounds = this->settings.bounds;
  return this->budgets
      .try_emplace(service, WindowBudgetSettings{bounds.retry_window,
                                                 bounds.retry_ratio, 0.0})
      .first->second;
}

Attempt* Forwarding::FindAttempt(CallId call, Forwarded** flow) {
  const auto found = this->flow_of_call.find(call.value);
  if (found == this->flow_of_call.end()) {
    return nullptr;
  }
  *flow = &this->flows.at(found->second);
  for (Attempt& attempt : (*flow)->running) {
    if (attempt.call == call) {
      return &attempt;
    }
  }
  return nullptr;
}

// ---- Arrival ----

void Forwarding::OnRequest(Instant now, CallerRequest request) {
  this->metrics->Add(Counter::kRequests);
  const std::uint64_t id = request.id.value;
  Forwarded& flow = this->flows[id];
  flow.request = std::move(request);
  flow.arrived = now;
  if (std::optional<Problem> problem = this->Admit(now, &flow)) {
    this->Refuse(now, id, std::move(*problem));
    return;
  }
  this->timers.insert({flow.deadline, id, TimerKind::kDeadline});
  this->BudgetOf(flow.service).Earn(now);
  if (!this->Send(now, &flow)) {
    this->Refuse(
        now, id,
        {ErrorCode::kRoutingNoUpstream, Outcome::kNotRun,
         "no worker of the service takes new work", this->ComeBack(now, flow)});
  }
}

std::optional<Problem> Forwarding::Admit(Instant now, Forwarded* flow) {
  const CallerRequest& request = flow->request;
  const DeploymentInForce force = this->hooks.deployment(now);
  if (force.table == nullptr) {
    return Problem{ErrorCode::kFleetNotReady, Outcome::kNotRun,
                   "no configuration is known yet", kElsewhere};
  }
  absl::StatusOr<CallerTerms> terms = this->codec.caller_terms(request.headers);
  if (!terms.ok()) {
    return RefusalOf(terms.status());
  }
  flow->terms = *std::move(terms);
  flow->table = force.table;
  const std::string* host = FindHeader(request.headers, "Host");
  flow->route =
      force.table->Find(host == nullptr ? std::string() : *host, request.path);
  const bool current = force.age <= this->settings.bounds.apply;
  if (flow->route == nullptr && !current) {
    return Problem{ErrorCode::kFleetNotReady, Outcome::kNotRun,
                   "the configuration may be outdated", kElsewhere};
  }
  if (flow->route == nullptr) {
    return Problem{ErrorCode::kRequestUnknownRoute, Outcome::kNotRun,
                   "no route has this host and path", std::nullopt};
  }
  if (std::optional<Problem> problem = this->AdmitKey(now, force, flow)) {
    return problem;
  }
  flow->service = ChooseService(*flow->route, this->random.Fraction());
  const ForwardingService* service = flow->table->Service(flow->service);
  flow->on_engine = service != nullptr && service->engine.has_value();
  const CallerTerms& told = flow->terms;
  if (flow->on_engine) {
    const std::uint64_t most =
        std::min(told.max_output_tokens.value_or(0), kMostTokens);
    const double output =
        told.expected_output_tokens.has_value()
            ? this->guessed_lengths.Estimate(
                  flow->route->name,
                  std::min(*told.expected_output_tokens, kMostTokens), most)
            : static_cast<double>(most);
    flow->size.prompt_tokens =
        std::min(told.prompt_tokens.value_or(0), kMostTokens);
    flow->size.tokens = flow->size.prompt_tokens +
                        static_cast<std::uint64_t>(std::lround(output));
  }
  const Duration patience = std::min(
      told.patience.value_or(flow->route->timeout), flow->route->timeout);
  flow->deadline = now + patience;
  const std::uint64_t longest = std::min(
      told.max_output_tokens.value_or(told.expected_output_tokens.value_or(0)),
      kMostTokens);
  const Duration run_time = FromSeconds(
      ToSeconds(kTimePerToken) * static_cast<double>(longest) * kSlowEngine);
  if (flow->Streaming() && run_time >= this->hooks.time_to_end(now)) {
    return Problem{ErrorCode::kHostShuttingDown, Outcome::kNotRun,
                   "the stream may outlast this host", kElsewhere};
  }
  return std::nullopt;
}

std::optional<Problem> Forwarding::AdmitKey(Instant /*now*/,
                                            const DeploymentInForce& force,
                                            Forwarded* flow) {
  if (flow->route->anonymous || !force.table->NeedsKeys()) {
    return std::nullopt;
  }
  const GatewayBounds& bounds = this->settings.bounds;
  const bool too_old = bounds.strict_revocation &&
                       force.age + kRevocationMargin >= bounds.revocation;
  const Problem outdated{ErrorCode::kFleetNotReady, Outcome::kNotRun,
                         "the keys known here may be outdated", kElsewhere};
  if (too_old) {
    return outdated;
  }
  if (flow->terms.key.has_value()) {
    flow->holder = force.table->HolderOf(*flow->terms.key);
  }
  if (flow->holder != nullptr) {
    return std::nullopt;
  }
  if (force.age > bounds.apply) {
    return outdated;
  }
  return Problem{ErrorCode::kRequestNoKey, Outcome::kNotRun,
                 "no organisation has this key", std::nullopt};
}

// ---- Sending ----

Distance Forwarding::DistanceBetween(const FailureDomainId& from,
                                     const FailureDomainId& to) const {
  if (from == to) {
    return Distance::kSameDomain;
  }
  const auto region = [this](const FailureDomainId& of) {
    const auto found = this->settings.region_of.find(of.value);
    return found == this->settings.region_of.end() ? of.value : found->second;
  };
  return region(from) == region(to) ? Distance::kSameRegion
                                    : Distance::kOtherRegion;
}

std::vector<LoadCandidate> Forwarding::Candidates(const Forwarded& flow) const {
  const ForwardingService* service = flow.table->Service(flow.service);
  std::vector<LoadCandidate> candidates;
  for (const WorkerRegistration* worker :
       this->directory->AvailableWorkers(flow.service)) {
    LoadCandidate candidate;
    candidate.worker = worker->id;
    candidate.domain = worker->domain;
    candidate.slots = worker->slots;
    candidate.distance = this->DistanceTo(worker->domain);
    if (service != nullptr && service->engine.has_value()) {
      candidate.memory_tokens = service->engine->memory_tokens;
    }
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

std::optional<LoadChoice> Forwarding::ChooseWorker(Instant now,
                                                   const Forwarded& flow) {
  std::vector<LoadCandidate> candidates = this->Candidates(flow);
  const auto tried = [&flow](const LoadCandidate& candidate) {
    return std::find(flow.tried.begin(), flow.tried.end(), candidate.worker) !=
           flow.tried.end();
  };
  candidates.erase(std::remove_if(candidates.begin(), candidates.end(), tried),
                   candidates.end());
  return this->loads.Choose(now, candidates, flow.size);
}

HttpCall Forwarding::CallFor(Instant now, const Forwarded& flow,
                             const Attempt& attempt, const std::string& address,
                             std::optional<ResumeTerms> resume) const {
  WorkerTerms terms;
  terms.time_left = std::max(Duration{0}, flow.deadline - now);
  terms.worker = attempt.worker;
  terms.resume = std::move(resume);
  if (flow.holder != nullptr) {
    terms.organisation = flow.holder->organisation;
  }
  // An engine takes a running stream's memory for a more urgent one, and reads
  // the first one's prompt again: a pause of a second for its caller. Ranks of
  // routes are not worth that; an organisation's own rank is the operators'
  // express wish.
  const bool ranked = flow.on_engine && flow.holder != nullptr &&
                      flow.holder->priority.has_value();
  if (ranked) {
    terms.priority = std::clamp(*flow.holder->priority, 0, kLowestPriority);
  }
  HttpCall call;
  call.id = attempt.call;
  call.method = flow.request.method;
  call.url = "http://" + address + flow.request.target;
  call.headers = this->codec.worker_headers(flow.request.headers, terms);
  call.body = flow.request.body;
  call.connect_timeout = kConnectTimeout;
  return call;
}

bool Forwarding::Send(Instant now, Forwarded* flow) {
  const std::optional<LoadChoice> choice = this->ChooseWorker(now, *flow);
  if (!choice.has_value()) {
    return false;
  }
  const WorkerRegistration* worker = this->directory->Find(choice->worker);
  Attempt attempt;
  attempt.call = this->hooks.next_call_id();
  attempt.worker = choice->worker;
  attempt.sent = now;
  HttpCall call =
      this->CallFor(now, *flow, attempt, worker->address, std::nullopt);
  ++flow->sends;
  ++flow->runs;
  flow->tried.push_back(choice->worker);
  this->loads.Begin(now, choice->worker, flow->size);
  this->hooks.loads_changed(now);
  this->flow_of_call[attempt.call.value] = flow->request.id.value;
  const DeploymentInForce force = this->hooks.deployment(now);
  this->Log(
      LogLevel::kInfo, "request placed",
      {{"request", flow->terms.request_id},
       {"route", flow->route->name},
       {"service", flow->service},
       {"worker", choice->worker.value},
       {"send", std::to_string(flow->sends)},
       {"expected_delay_ms", absl::StrCat(std::lround(choice->delay_ms))},
       {"prompt_tokens", std::to_string(flow->size.prompt_tokens)},
       {"memory_tokens", std::to_string(flow->size.tokens)},
       {"own_running", std::to_string(choice->own_running)},
       {"others_running", std::to_string(choice->others.running)},
       {"others_tokens_to_read", std::to_string(choice->others.waiting_tokens)},
       {"report_age_ms",
        choice->report_age ? MillisecondsText(*choice->report_age) : "none"},
       {"configuration", std::to_string(flow->table->Contents().version)},
       {"configuration_age_ms", MillisecondsText(force.age)}});
  flow->running.push_back(std::move(attempt));
  this->actions.emplace_back(std::move(call));
  const bool may_hedge =
      flow->Idempotent() && flow->runs < flow->route->max_attempts;
  if (may_hedge) {
    const std::optional<Duration> learnt =
        this->hedge_delays.Find(flow->service, flow->route->name);
    const Duration delay = std::max(
        kLeastHedge, learnt.value_or(FromSeconds(
                         ToSeconds(flow->route->objective) * kHedgeShare)));
    this->timers.insert(
        {now + delay, flow->request.id.value, TimerKind::kHedge});
  }
  return true;
}

}  // namespace limpetlink
