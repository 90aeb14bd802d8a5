#include "gateway/detail/forwarding.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace limpetlink {
namespace {

// A round trip between regions, with a margin for a lost SYN packet.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
// Until enough lookups were observed, a hedged attempt is sent after this
// fraction of the route's objective, but never before the minimum delay.
constexpr double kInitialHedgeFraction = 0.5;
constexpr Duration kMinHedgeDelay = std::chrono::milliseconds(60);
// Part of the maximum revocation delay that is reserved for the time between
// the key check and the start of the request at the worker.
constexpr Duration kRevocationMargin = std::chrono::milliseconds(750);
// An engine takes about this time per token, and a third more under load. A
// host that shuts down assumes the maximum output: callers' length hints are
// often far off.
constexpr Duration kTimePerToken = std::chrono::microseconds(9000);
constexpr double kCrowdedFactor = 1.3;
constexpr int kLowestPriority = 9;
// More than any engine holds. Caps the token counts that callers claim, so that
// sums over many requests don't overflow.
constexpr std::uint64_t kMaxTokens = 1ULL << 30U;
// A host that shuts down takes no request that it can't expect to answer.
constexpr Duration kMinRun = std::chrono::milliseconds(100);
// If only this host can't serve the request, the next one can at once.
constexpr Duration kOtherHostRetryAfter = std::chrono::milliseconds(20);

}  // namespace

Forwarding::Forwarding(const GatewaySettings& settings,
                       const GatewayCodec& codec, ForwardingHooks hooks,
                       const WorkerDirectory* directory, WorkerPaths* paths,
                       InputQuarantine* quarantine, HostMetrics* metrics)
    : settings(settings),
      codec(codec),
      hooks(std::move(hooks)),
      directory(directory),
      paths(paths),
      quarantine(quarantine),
      metrics(metrics),
      loads(settings.seed),
      random(settings.seed + 1),
      allowances(settings.self, settings.failure_domain, {},
                 [this](const UpstreamId& worker) {
                   return this->loads.DomainRequestsAt(worker);
                 }) {}

void Forwarding::Log(LogLevel level, std::string message,
                     std::vector<LogField> fields) {
  this->actions.emplace_back(
      LogLine{level, std::move(message), std::move(fields)});
}

WindowBudget& Forwarding::BudgetOf(const std::string& service) {
  const GatewayLimits& limits = this->settings.limits;
  return this->budgets
      .try_emplace(service, WindowBudgetSettings{limits.retry_window,
                                                 limits.retry_ratio, 0.0})
      .first->second;
}

Attempt* Forwarding::FindAttempt(CallId call, ForwardedRequest** flow) {
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

// ---- Admission ----

void Forwarding::OnRequest(Instant now, CallerRequest request) {
  this->metrics->Add(Counter::kRequests);
  const std::uint64_t id = request.id.value;
  ForwardedRequest& flow = this->flows[id];
  flow.request = std::move(request);
  flow.arrived = now;
  if (std::optional<Problem> problem = this->Admit(now, &flow)) {
    this->Refuse(now, id, std::move(*problem));
    return;
  }
  this->timers.insert({flow.deadline, id, TimerKind::kDeadline});
  this->BudgetOf(flow.service).Earn(now);
  if (!this->Send(now, &flow)) {
    this->Refuse(now, id, this->NoWorkerProblem(now, flow));
  }
}

Problem Forwarding::NoWorkerProblem(Instant now, const ForwardedRequest& flow) {
  Problem problem{ErrorCode::kRoutingNoUpstream, Outcome::kNotRun,
                  "no worker of the service accepts new work",
                  this->RetryAfter(now, flow)};
  Instant first_end = kNever;
  double limited_rate = 0;
  bool has_free_workers = false;
  bool has_workers = false;
  bool has_allowed_workers = false;
  const PathRequirements requirements = this->RequirementsOf(flow);
  for (const WorkerRegistration* worker :
       this->directory->AvailableWorkers(flow.service)) {
    has_workers = true;
    if (!MayServe(flow, this->RegionOf(worker->domain))) {
      continue;
    }
    has_allowed_workers = true;
    if (this->hooks.is_evacuated(worker->domain)) {
      problem.detail = "the workers of the service are evacuated";
      continue;
    }
    if (!this->paths->CanReach(now, *worker, requirements)) {
      problem.detail = "neither this host nor another one reaches the workers";
      continue;
    }
    const Instant end = this->allowances.HeldUntil(worker->id);
    if (end > now) {
      first_end = std::min(first_end, end);
    } else if (this->allowances.MaySend(now, worker->id)) {
      has_free_workers = true;  // all of them were tried
    } else {
      limited_rate += this->allowances.FleetRate(now, worker->id).value_or(0);
    }
  }
  if (has_workers && !has_allowed_workers) {
    problem.code = ErrorCode::kRoutingOutsideRegions;
    problem.detail = "no worker in the regions of its route and organisation";
    const std::map<std::string, std::string>& regions =
        this->settings.region_of;
    const bool region_exists = std::any_of(
        regions.begin(), regions.end(),
        [&flow](const auto& domain) { return MayServe(flow, domain.second); });
    if (!region_exists) {
      problem.retry_after.reset();  // until the configuration changes
    }
    return problem;
  }
  if (has_free_workers) {
    return problem;
  }
  if (limited_rate > 0) {
    problem.detail = "the workers of the service limit their requests";
    problem.retry_after = this->ReserveReturn(
        now, flow.service, this->allowances.MeanHostRate(limited_rate));
    return problem;
  }
  if (first_end != kNever) {
    // An earlier return would be refused again. The usual delay spreads
    // callers.
    problem.detail = "the workers of the service have asked for a pause";
    problem.retry_after = first_end - now + *problem.retry_after;
  }
  return problem;
}

Duration Forwarding::ReserveReturn(Instant now, const std::string& service,
                                   double per_second) {
  constexpr Duration kMaxDelay = std::chrono::seconds(60);
  Instant& last = this->returns[service];
  last = std::max(last, now) + std::min(kMaxDelay, FromSeconds(1 / per_second));
  last = std::min(last, now + kMaxDelay);
  return last - now;
}

std::optional<Problem> Forwarding::Admit(Instant now, ForwardedRequest* flow) {
  const CallerRequest& request = flow->request;
  const ActiveDeployment active = this->hooks.deployment(now);
  if (active.table == nullptr) {
    return Problem{ErrorCode::kFleetNotReady, Outcome::kNotRun,
                   "no configuration has been received yet",
                   kOtherHostRetryAfter};
  }
  absl::StatusOr<CallerMetadata> metadata =
      this->codec.caller_metadata(request.headers);
  if (!metadata.ok()) {
    return RefusalOf(metadata.status());
  }
  flow->metadata = *std::move(metadata);
  flow->table = active.table;
  const std::string* host = FindHeader(request.headers, "Host");
  flow->route =
      active.table->Find(host == nullptr ? std::string() : *host, request.path);
  const bool current = active.age <= this->settings.limits.max_apply_delay;
  if (flow->route == nullptr && !current) {
    return Problem{ErrorCode::kFleetNotReady, Outcome::kNotRun,
                   "the configuration may be outdated", kOtherHostRetryAfter};
  }
  if (flow->route == nullptr) {
    return Problem{ErrorCode::kRequestUnknownRoute, Outcome::kNotRun,
                   "no route has this host and path", std::nullopt};
  }
  if (std::optional<Problem> problem = this->CheckKey(now, active, flow)) {
    return problem;
  }
  flow->service = ChooseService(*flow->route, this->random.Fraction());
  const ForwardingService* service = flow->table->FindService(flow->service);
  flow->on_engine = service != nullptr && service->engine.has_value();
  const CallerMetadata& caller = flow->metadata;
  if (flow->on_engine) {
    const std::uint64_t max_output =
        std::min(caller.max_output_tokens.value_or(0), kMaxTokens);
    const double output =
        caller.expected_output_tokens.has_value()
            ? this->output_lengths.Estimate(
                  flow->route->name,
                  std::min(*caller.expected_output_tokens, kMaxTokens),
                  max_output)
            : static_cast<double>(max_output);
    flow->size.prompt_tokens =
        std::min(caller.prompt_tokens.value_or(0), kMaxTokens);
    flow->size.tokens = flow->size.prompt_tokens +
                        static_cast<std::uint64_t>(std::lround(output));
  }
  const Duration timeout = std::min(
      caller.timeout.value_or(flow->route->timeout), flow->route->timeout);
  flow->deadline = now + timeout;
  if (this->LongestRun(*flow, timeout) >= this->hooks.time_to_end(now)) {
    return Problem{ErrorCode::kHostShuttingDown, Outcome::kNotRun,
                   "the request may outlast this host", kOtherHostRetryAfter};
  }
  if (std::optional<Problem> problem = this->CheckQuarantine(now, *flow)) {
    this->metrics->Add(Counter::kQuarantineRefusals);
    return problem;
  }
  return std::nullopt;
}

Duration Forwarding::LongestRun(const ForwardedRequest& flow,
                                Duration timeout) const {
  switch (flow.route->kind) {
    case RouteKind::kStreaming: {
      const CallerMetadata& caller = flow.metadata;
      const std::uint64_t max_tokens =
          std::min(caller.max_output_tokens.value_or(
                       caller.expected_output_tokens.value_or(0)),
                   kMaxTokens);
      return FromSeconds(ToSeconds(kTimePerToken) *
                         static_cast<double>(max_tokens) * kCrowdedFactor);
    }
    case RouteKind::kIdempotent:
      // If it is cut nevertheless, its caller can repeat it.
      return std::min(timeout, std::max(flow.route->objective, kMinRun));
    case RouteKind::kNonIdempotent:
      break;
  }
  // With a timeout beyond the grace period, the first half of the period still
  // serves callers that don't know of the shutdown yet.
  return std::min(timeout, this->settings.limits.grace_period / 2);
}

std::optional<Problem> Forwarding::CheckKey(Instant /*now*/,
                                            const ActiveDeployment& active,
                                            ForwardedRequest* flow) {
  if (flow->route->anonymous || !active.table->NeedsKeys()) {
    return std::nullopt;
  }
  const GatewayLimits& limits = this->settings.limits;
  const bool too_old =
      limits.strict_revocation &&
      active.age + kRevocationMargin >= limits.max_revocation_delay;
  const Problem outdated{ErrorCode::kFleetNotReady, Outcome::kNotRun,
                         "the API keys known to this host may be outdated",
                         kOtherHostRetryAfter};
  if (too_old) {
    return outdated;
  }
  if (flow->metadata.key.has_value()) {
    flow->holder = active.table->FindKeyHolder(*flow->metadata.key);
  }
  if (flow->holder != nullptr) {
    return std::nullopt;
  }
  if (active.age > limits.max_apply_delay) {
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
  return this->RegionOf(from) == this->RegionOf(to) ? Distance::kSameRegion
                                                    : Distance::kOtherRegion;
}

std::string Forwarding::RegionOf(const FailureDomainId& domain) const {
  const auto found = this->settings.region_of.find(domain.value);
  return found == this->settings.region_of.end() ? domain.value : found->second;
}

bool Forwarding::MayServe(const ForwardedRequest& flow,
                          const std::string& region) {
  const auto allows = [&region](const std::vector<std::string>& regions) {
    return regions.empty() ||
           std::find(regions.begin(), regions.end(), region) != regions.end();
  };
  return allows(flow.route->regions) &&
         (flow.holder == nullptr || allows(flow.holder->regions));
}

PathRequirements Forwarding::RequirementsOf(
    const ForwardedRequest& flow) const {
  // After a failure another host's way is more likely to be sound.
  return {flow.refused_by, flow.connect_failures > 0,
          [this, &flow](const FailureDomainId& domain) {
            return MayServe(flow, this->RegionOf(domain));
          }};
}

std::vector<LoadCandidate> Forwarding::Candidates(
    Instant now, const ForwardedRequest& flow) {
  const ForwardingService* service = flow.table->FindService(flow.service);
  std::vector<LoadCandidate> candidates;
  const PathRequirements requirements = this->RequirementsOf(flow);
  for (const WorkerRegistration* worker :
       this->directory->AvailableWorkers(flow.service)) {
    if (!this->MaySend(now, *worker) ||
        !MayServe(flow, this->RegionOf(worker->domain)) ||
        !this->paths->CanReach(now, *worker, requirements)) {
      continue;
    }
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

std::optional<LoadChoice> Forwarding::ChooseWorker(
    Instant now, const ForwardedRequest& flow) {
  std::vector<LoadCandidate> candidates = this->Candidates(now, flow);
  const auto tried = [&flow](const LoadCandidate& candidate) {
    return std::find(flow.tried.begin(), flow.tried.end(), candidate.worker) !=
           flow.tried.end();
  };
  candidates.erase(std::remove_if(candidates.begin(), candidates.end(), tried),
                   candidates.end());
  return this->loads.Choose(now, candidates, flow.size);
}

bool Forwarding::SendAttempt(Instant now, const ForwardedRequest& flow,
                             Attempt* attempt,
                             std::optional<ResumePoint> resume) {
  const WorkerRegistration& worker = *this->directory->Find(attempt->worker);
  const std::optional<WorkerPath> path =
      this->paths->Choose(now, worker, this->RequirementsOf(flow));
  if (!path.has_value()) {
    return false;
  }
  WorkerMetadata metadata;
  metadata.time_left = std::max(Duration{0}, flow.deadline - now);
  metadata.worker = attempt->worker;
  metadata.resume = std::move(resume);
  if (flow.holder != nullptr) {
    metadata.organisation = flow.holder->organisation;
  }
  // An engine preempts a running stream for one of higher priority and later
  // has to repeat the prefill of the preempted one, which pauses its caller's
  // stream for a second. A route's priority doesn't justify that; an
  // organisation's priority does, as the operators set it explicitly.
  const bool has_priority = flow.on_engine && flow.holder != nullptr &&
                            flow.holder->priority.has_value();
  if (has_priority) {
    metadata.priority = std::clamp(*flow.holder->priority, 0, kLowestPriority);
  }
  HttpCall call;
  attempt->call = this->hooks.next_call_id();
  call.id = attempt->call;
  call.method = flow.request.method;
  call.headers = this->codec.worker_headers(flow.request.headers, metadata);
  call.body = flow.request.body;
  call.connect_timeout = kConnectTimeout;
  this->paths->Begin(worker, *path, WorkerCallKind::kRequest,
                     flow.request.target, &call);
  if (path->relay.has_value()) {
    attempt->relay = path->relay->host;
    this->metrics->Add(Counter::kRelayedRequests);
  }
  this->actions.emplace_back(std::move(call));
  return true;
}

void Forwarding::CancelCall(CallId call) {
  this->paths->OnCancel(call);
  this->actions.emplace_back(HttpCancel{call});
}

bool Forwarding::Send(Instant now, ForwardedRequest* flow) {
  const std::optional<LoadChoice> choice = this->ChooseWorker(now, *flow);
  if (!choice.has_value()) {
    return false;
  }
  Attempt attempt;
  attempt.worker = choice->worker;
  attempt.sent = now;
  if (this->quarantine->HasSuspects()) {
    attempt.prior_crashes =
        this->quarantine->CountCrashes(RequestIdentity(*flow));
  }
  if (!this->SendAttempt(now, *flow, &attempt, std::nullopt)) {
    return false;
  }
  ++flow->attempts;
  ++flow->possible_runs;
  flow->tried.push_back(choice->worker);
  this->allowances.RecordSend(now, choice->worker);
  this->loads.Begin(now, choice->worker, flow->size);
  this->hooks.loads_changed(now);
  this->flow_of_call[attempt.call.value] = flow->request.id.value;
  const ActiveDeployment active = this->hooks.deployment(now);
  this->Log(
      LogLevel::kInfo, "request placed",
      {{"request", flow->metadata.request_id},
       {"route", flow->route->name},
       {"service", flow->service},
       {"worker", choice->worker.value},
       {"relay", attempt.relay ? attempt.relay->value : "none"},
       {"send", std::to_string(flow->attempts)},
       {"expected_delay_ms", absl::StrCat(std::lround(choice->delay_ms))},
       {"prompt_tokens", std::to_string(flow->size.prompt_tokens)},
       {"memory_tokens", std::to_string(flow->size.tokens)},
       {"shared_parts", absl::StrJoin(flow->metadata.shared_parts, ",")},
       {"own_running", std::to_string(choice->own_running)},
       {"others_running", std::to_string(choice->other_hosts.running)},
       {"others_tokens_to_read",
        std::to_string(choice->other_hosts.waiting_tokens)},
       {"report_age_ms",
        choice->report_age ? MillisecondsText(*choice->report_age) : "none"},
       {"configuration", std::to_string(flow->table->Contents().version)},
       {"configuration_age_ms", MillisecondsText(active.age)}});
  flow->running.push_back(std::move(attempt));
  const bool may_hedge =
      flow->Idempotent() && flow->possible_runs < flow->route->max_attempts;
  if (may_hedge) {
    const std::optional<Duration> observed =
        this->hedge_delays.Find(flow->service, flow->route->name);
    const Duration delay = std::max(
        kMinHedgeDelay,
        observed.value_or(FromSeconds(ToSeconds(flow->route->objective) *
                                      kInitialHedgeFraction)));
    this->timers.insert(
        {now + delay, flow->request.id.value, TimerKind::kHedge});
  }
  return true;
}

}  // namespace limpetlink
