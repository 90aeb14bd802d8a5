#include "dispatch/detail/core.h"

#include <algorithm>

namespace limpetlink {
namespace {

constexpr std::size_t kMaxWaiting = 1024;  // requests of one target
constexpr Duration kNoUpstreamRetryAfter = std::chrono::seconds(2);
constexpr Duration kQueueFullRetryAfter = std::chrono::seconds(5);
constexpr Duration kMinRetryAfter = std::chrono::seconds(1);
constexpr Duration kTickInterval = std::chrono::milliseconds(50);
constexpr Duration kSnapshotInterval = std::chrono::seconds(4);
constexpr Duration kLimitRequestInterval = std::chrono::seconds(3);
constexpr Duration kIdleTickInterval = std::chrono::seconds(1);
constexpr std::uint32_t kDefaultMaxOutputTokens = 32768;  // tokens

}  // namespace

DispatchCore::DispatchCore(DispatcherSettings settings)
    : settings(std::move(settings)),
      epoch(static_cast<std::uint32_t>(Random(this->settings.seed)())),
      workers(this->settings.self),
      router(this->settings.failure_domain),
      limits(this->settings.self) {
  this->hosts.live = {this->settings.self};
}

std::vector<DispatchAction> DispatchCore::Step(Instant step_now,
                                               const DispatchMessage& message) {
  this->now = step_now;
  this->actions.clear();
  std::visit([this](const auto& each) { this->On(each); }, message);
  return std::move(this->actions);
}

Instant DispatchCore::NextWakeup() const {
  bool waiting = false;
  for (const auto& [target, queue] : this->queues) {
    waiting = waiting || queue.Size() > 0;
  }
  if (waiting) {
    return this->last_tick + kTickInterval;
  }
  return this->hosts.live.size() > 1 ? this->last_tick + kIdleTickInterval
                                     : kNever;
}

std::optional<Duration> DispatchCore::HedgeDelay(
    const std::string& target, const std::string& route) const {
  return this->hedges.Find(target, route);
}

std::vector<UpstreamId> DispatchCore::OwnedWorkers() const {
  return this->workers.OwnedWorkers();
}

void DispatchCore::On(const Configure& message) {
  const auto previous_owners = this->Owners();
  this->document = message.document;
  this->policy = MakeAdmissionPolicy(this->document->weights);
  if (this->settings.adjust_policy) {
    this->settings.adjust_policy(this->policy);
  }
  this->workers.Configure(this->now, *this->document, this->policy);
  this->router.Configure(*this->document);
  this->limits.Configure(*this->document);
  for (const Organisation& organisation : this->document->organisations) {
    for (const Upstream& upstream : this->document->upstreams) {
      this->fair[upstream.serves].SetWeight(organisation.id,
                                            organisation.weight);
    }
  }
  this->IndexNames();
  this->directory.Index(*this->document, this->workers, this->router);
  this->TransferOwnership(previous_owners);
  this->DrainAll();
}

void DispatchCore::On(const SetHosts& message) {
  const auto previous_owners = this->Owners();
  const std::vector<HostId> previous_live = this->hosts.live;
  this->hosts.live = message.live;
  this->hosts.domains.clear();
  const std::size_t known =
      std::min(message.live.size(), message.failure_domains.size());
  for (std::size_t i = 0; i < known; ++i) {
    this->hosts.domains[message.live[i]] = message.failure_domains[i];
  }
  for (const HostId& host : previous_live) {
    const auto& live = this->hosts.live;
    if (std::find(live.begin(), live.end(), host) == live.end()) {
      this->RemoveHolder(host);
    }
  }
  this->workers.SetHosts(this->now, this->hosts);
  this->limits.SetHosts(this->hosts.live);
  if (this->document) {
    this->directory.Index(*this->document, this->workers, this->router);
  }
  this->TransferOwnership(previous_owners);
  this->DrainAll();
}

std::optional<Problem> DispatchCore::Validate(const SubmitRequest& message) {
  const Outcome outcome = message.is_retry || message.produced_tokens > 0
                              ? Outcome::kUnknown
                              : Outcome::kNotRun;
  if (!this->document) {
    return Problem{ErrorCode::kFleetNotReady, outcome,
                   "no fleet document is active on this host", kMinRetryAfter};
  }
  if (message.deadline <= this->now) {
    return Problem{ErrorCode::kRequestDeadlinePast,
                   outcome,
                   "the deadline had passed on arrival",
                   {}};
  }
  const auto& all_workers = this->router.WorkersOf(message.target);
  if (!this->router.AnyAvailable(this->now, all_workers, message.excluded)) {
    return Problem{ErrorCode::kRoutingNoUpstream, outcome,
                   "no worker of " + message.target + " accepts new work",
                   kNoUpstreamRetryAfter};
  }
  const WaitQueue& queue =
      this->queues[message.target].Of(message.request_class);
  if (queue.Size() >= kMaxWaiting) {
    return Problem{ErrorCode::kAdmissionQueueFull, outcome,
                   "too many requests are waiting for " + message.target,
                   queue.ExpectedWait(this->now, queue.Size())
                       .value_or(kQueueFullRetryAfter)};
  }
  if (message.is_retry && !this->retries.Spend()) {
    return Problem{ErrorCode::kRetriesExhausted, outcome,
                   "the retry budget is exhausted", kMinRetryAfter};
  }
  const LimitDecision decision =
      this->limits.Begin(this->now, message.organisation, message.is_retry);
  if (decision == LimitDecision::kWithin) {
    return std::nullopt;
  }
  const bool rate = decision == LimitDecision::kRate;
  return Problem{
      rate ? ErrorCode::kLimitsRate : ErrorCode::kLimitsConcurrency, outcome,
      rate ? "the organisation's request rate limit is reached"
           : "the organisation's concurrency limit is reached",
      std::max(kMinRetryAfter, this->limits.RetryAfter(
                                   this->now, message.organisation, decision))};
}

Entry& DispatchCore::NewEntry(const SubmitRequest& message,
                              const StreamKey& key) {
  const Ticket ticket{++this->last_ticket};
  Entry& entry = this->entries[ticket];
  entry.ticket = ticket;
  entry.submit = message;
  entry.key = key;
  if (key.ticket.value == 0) {
    entry.key.ticket = ticket;
  }
  entry.length_key = {message.target, message.route, message.organisation};
  if (!this->policy.organisation_lengths) {
    entry.length_key.organisation = {};
  }
  entry.demand.request_class = message.request_class;
  entry.demand.prompt_tokens = message.prompt_tokens;
  entry.demand.max_output_tokens = message.max_output_tokens > 0
                                       ? message.max_output_tokens
                                       : kDefaultMaxOutputTokens;
  entry.demand.lengths = &this->lengths.Find(entry.length_key);
  entry.arrived = this->now;
  entry.refreshed = this->now;
  entry.last_reported = this->now;
  return entry;
}

void DispatchCore::Enqueue(Entry& entry) {
  const SubmitRequest& submit = entry.submit;
  TargetQueues& queue = this->queues[submit.target];
  if (submit.request_class == RequestClass::kVerdict) {
    this->workers.ObserveVerdict(submit.target, entry.demand,
                                 static_cast<double>(queue.verdicts.Size()));
  }
  WaitQueue& waiting = queue.Of(submit.request_class);
  if (waiting.QueueLength(submit.organisation) == 0) {
    this->fair[submit.target].Activate(submit.organisation,
                                       waiting.Organisations());
  }
  waiting.Push(this->now, submit.organisation, entry.ticket);
}

void DispatchCore::On(const SubmitRequest& message) {
  const auto problem = this->Validate(message);
  if (problem) {
    this->actions.emplace_back(Refuse{message.request, *problem});
    return;
  }
  if (!message.is_retry) {
    this->retries.Earn();
  }
  Entry& entry = this->NewEntry(message, {this->settings.self, Ticket{0}});
  const Ticket ticket = entry.ticket;
  this->tickets[message.request] = ticket;
  this->Enqueue(entry);
  this->Drain(message.target);
  const auto it = this->entries.find(ticket);
  if (it != this->entries.end() && !it->second.placed) {
    this->EvaluateArrival(it->second);
  }
}

void DispatchCore::On(const ReportProduced& message) {
  const auto ticket = this->tickets.find(message.request);
  if (ticket == this->tickets.end()) {
    return;
  }
  Entry& entry = this->entries.at(ticket->second);
  if (!entry.placed || message.tokens <= entry.tokens) {
    return;
  }
  const bool first = entry.tokens == 0;
  entry.tokens = message.tokens;
  if (entry.owner == this->settings.self) {
    this->workers.RecordProduced(this->now, entry.worker, entry.key,
                                 entry.tokens);
  }
  const std::int32_t priority =
      StreamPriority(entry.submit.request_class, entry.tokens);
  if (priority != entry.priority) {
    entry.priority = priority;
    this->actions.emplace_back(
        SetPriority{message.request, entry.worker, priority});
  }
  if (first && this->queues[entry.submit.target].Size() > 0) {
    this->Drain(std::string(entry.submit.target));
  }
}

void DispatchCore::On(const ReportEnded& message) {
  const auto ticket = this->tickets.find(message.request);
  if (ticket == this->tickets.end()) {
    return;
  }
  Entry& entry = this->entries.at(ticket->second);
  const std::string target = entry.submit.target;
  if (entry.placed) {
    this->EndPlaced(entry, message);
  } else {
    this->WithdrawReservation(entry);
    this->Dequeue(entry, false);
  }
  this->RemoveEntry(entry.ticket);
  this->Drain(target);
}

void DispatchCore::EndPlaced(Entry& entry, const ReportEnded& message) {
  if (entry.owner == this->settings.self) {
    this->workers.Remove(entry.worker, entry.key);
    this->RecordEnd(entry.worker, message.end);
  } else {
    this->RecordEnd(entry.worker, message.end);
    this->Send(entry.owner,
               PeerRelease{entry.key.ticket, message.end, message.tokens});
    if (entry.unreserved) {
      --this->unreserved[entry.worker];
    }
  }
  const double actual = this->ChargeFor(entry) > 1
                            ? entry.demand.prompt_tokens + message.tokens
                            : 1;
  this->fair[entry.submit.target].Charge(entry.submit.organisation,
                                         actual - entry.charged);
  this->ObserveLength(entry.length_key, message.end, message.tokens);
  const bool lookup = message.end == PlacementEnd::kFinished &&
                      entry.submit.idempotent && message.tokens == 0;
  if (lookup) {
    this->hedges.Observe(entry.submit.target, entry.submit.route,
                         this->now - entry.placed_at);
  }
}

void DispatchCore::ObserveLength(const LengthKey& key, PlacementEnd end,
                                 std::uint32_t tokens) {
  if (end == PlacementEnd::kFinished && tokens > 0) {
    this->lengths.Observe(key, tokens);
  }
}

void DispatchCore::RecordEnd(const UpstreamId& worker, PlacementEnd end) {
  if (this->workers.Find(worker) == nullptr) {
    return;
  }
  WorkerHealth& health = this->router.Health(worker);
  switch (end) {
    case PlacementEnd::kFinished:
      health.RecordSuccess(this->now);
      break;
    case PlacementEnd::kCancelled:
      break;
    case PlacementEnd::kNotConnected:
    case PlacementEnd::kRefused:
      health.RecordFailure(this->now, true);
      break;
    case PlacementEnd::kLost:
      health.RecordFailure(this->now, false);
      break;
  }
}

double DispatchCore::ChargeFor(const Entry& entry) const {
  const bool generation = entry.demand.prompt_tokens > 0;
  if (!generation) {
    return 1;
  }
  return entry.demand.prompt_tokens +
         entry.demand.lengths->Mean(entry.demand.max_output_tokens);
}

void DispatchCore::RefuseEntry(Entry& entry, ErrorCode code,
                               std::string_view detail,
                               std::optional<Duration> retry_after) {
  const bool repeated =
      entry.submit.is_retry || entry.submit.produced_tokens > 0;
  if (retry_after) {
    retry_after = std::max(*retry_after, kMinRetryAfter);
  }
  this->actions.emplace_back(
      Refuse{entry.submit.request,
             {code, repeated ? Outcome::kUnknown : Outcome::kNotRun,
              std::string(detail), retry_after}});
  this->WithdrawReservation(entry);
  this->Dequeue(entry, false);
  this->RemoveEntry(entry.ticket);
}

void DispatchCore::RemoveEntry(Ticket ticket) {
  const auto it = this->entries.find(ticket);
  if (it == this->entries.end()) {
    return;
  }
  const Entry& entry = it->second;
  if (entry.key.holder == this->settings.self) {
    this->limits.End(entry.submit.organisation, this->now - entry.arrived);
    this->tickets.erase(entry.submit.request);
  } else {
    this->remote_waiting.erase(entry.key);
  }
  this->entries.erase(it);
}

void DispatchCore::On(const WorkerReport& message) {
  if (this->workers.Find(message.worker) == nullptr) {
    return;
  }
  this->router.Health(message.worker).ApplyReport(this->now, message.draining);
  EngineLoad load;
  load.memory_tokens = message.memory_tokens;
  load.memory_tokens_used = message.memory_tokens_used;
  load.running = message.running;
  load.waiting = message.waiting;
  load.step_time = message.step_time;
  this->workers.Report(this->now, message.worker, load);
  this->Drain(this->workers.Find(message.worker)->serves);
}

void DispatchCore::On(const SetWorkerState& message) {
  if (this->workers.Find(message.worker) == nullptr) {
    return;
  }
  WorkerHealth& health = this->router.Health(message.worker);
  switch (message.state) {
    case WorkerState::kLive:
      health.MarkListed(this->now);
      break;
    case WorkerState::kLeaving:
    case WorkerState::kTerminated:
      health.MarkLeaving(this->now, true);
      break;
  }
  this->Drain(this->workers.Find(message.worker)->serves);
}

void DispatchCore::On(const CacheEvent& message) {
  if (this->workers.Find(message.worker) != nullptr) {
    this->router.ApplyCacheEvent(message.worker, message.sequence,
                                 message.block, message.present);
  }
}

void DispatchCore::On(const DispatchTick& /*message*/) {
  this->last_tick = this->now;
  this->DrainAll();
  this->ReevaluateWaiting();
  if (this->hosts.live.size() < 2) {
    return;
  }
  if (this->now - this->last_snapshots >= kSnapshotInterval) {
    this->last_snapshots = this->now;
    this->SendSnapshots();
    this->ExpireGrants();
  }
  if (this->now - this->last_limit_requests >= kLimitRequestInterval) {
    this->last_limit_requests = this->now;
    this->SendLimitRequests();
  }
}

}  // namespace limpetlink
