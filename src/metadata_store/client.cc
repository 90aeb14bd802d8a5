#include <algorithm>
#include <cmath>
#include <utility>

#include "metadata_store/detail/encode.h"
#include "metadata_store/metadata_store.h"

namespace limpetlink {
namespace {

constexpr double kUsableFraction = 0.8;  ///< the rest is headroom
constexpr std::size_t kMinHosts = 6;     ///< fewer are treated as 6
/// Weight of a new sample in the moving average of the latency.
constexpr double kLatencyWeight = 0.2;
constexpr Duration kMinWait = std::chrono::milliseconds(1);
// A page of a list and one more object, with escaped characters.
constexpr std::uint64_t kMaxResponse = 8U << 20U;

bool IsWatch(StoreVerb verb) {
  return verb == StoreVerb::kWatch || verb == StoreVerb::kWatchKind;
}

/// @return whether a failed call is left to the caller to repeat
bool IsSingleCall(StoreVerb verb) {
  return IsWatch(verb) || verb == StoreVerb::kListRecords;
}

bool IsWrite(StoreVerb verb) {
  return verb == StoreVerb::kPut || verb == StoreVerb::kDelete;
}

const char* MethodOf(StoreVerb verb) {
  switch (verb) {
    case StoreVerb::kPut:
      return "PUT";
    case StoreVerb::kDelete:
      return "DELETE";
    default:
      return "GET";
  }
}

}  // namespace

CallBudget CallBudgetPerHost(const StoreLimits& limits,
                             std::size_t live_hosts) {
  const auto hosts = static_cast<double>(std::max(live_hosts, kMinHosts));
  CallBudget budget;
  budget.reads_per_second = limits.reads_per_second * kUsableFraction / hosts;
  budget.writes_per_second = limits.writes_per_second * kUsableFraction / hosts;
  budget.read_burst = std::max(12.0, budget.reads_per_second);
  budget.write_burst = std::max(8.0, budget.writes_per_second);
  return budget;
}

void MetadataStoreClient::TokenBucket::Refill(Instant now) {
  const double gained = ToSeconds(now - this->refilled_at) * this->rate;
  this->tokens = std::min(this->burst, this->tokens + gained);
  this->refilled_at = now;
}

Instant MetadataStoreClient::TokenBucket::ReadyAt() const {
  if (this->tokens >= 1.0) {
    return this->refilled_at;
  }
  if (this->rate <= 0.0) {
    return kNever;
  }
  const Duration wait = FromSeconds((1.0 - this->tokens) / this->rate);
  return this->refilled_at + wait + kMinWait;
}

MetadataStoreClient::MetadataStoreClient(MetadataStoreSettings settings,
                                         NextCallId next_call_id)
    : settings(std::move(settings)),
      next_call_id(std::move(next_call_id)),
      random(this->settings.seed) {
  const CallBudget& budget = this->settings.budget;
  this->reads = {budget.reads_per_second, budget.read_burst, budget.read_burst,
                 Instant{}};
  this->writes = {budget.writes_per_second, budget.write_burst,
                  budget.write_burst, Instant{}};
}

StoreOp MetadataStoreClient::Get(Instant now, const ObjectKey& key) {
  return this->Add(now, StoreRequest{StoreVerb::kGet, key});
}

StoreOp MetadataStoreClient::Put(Instant now, const ObjectKey& key,
                                 std::string bytes, WriteCondition condition) {
  Pending pending;
  pending.request = {StoreVerb::kPut, key};
  pending.body = std::move(bytes);
  pending.condition = condition;
  return this->Add(now, std::move(pending));
}

StoreOp MetadataStoreClient::Delete(Instant now, const ObjectKey& key,
                                    WriteCondition condition) {
  Pending pending;
  pending.request = {StoreVerb::kDelete, key};
  pending.condition = condition;
  return this->Add(now, std::move(pending));
}

StoreOp MetadataStoreClient::List(Instant now, const std::string& kind,
                                  const std::string& prefix,
                                  const std::string& after,
                                  std::uint32_t limit) {
  return this->Add(
      now, StoreRequest{StoreVerb::kList, {kind, prefix}, after, limit});
}

StoreOp MetadataStoreClient::Watch(Instant now, const ObjectKey& key,
                                   std::uint64_t version, Duration wait) {
  StoreRequest request;
  request.verb = StoreVerb::kWatch;
  request.key = key;
  request.version = version;
  request.wait = wait;
  return this->Add(now, std::move(request));
}

StoreOp MetadataStoreClient::ListRecords(Instant now, const std::string& kind,
                                         const std::string& after,
                                         bool allow_stale) {
  StoreRequest request;
  request.verb = StoreVerb::kListRecords;
  request.key.kind = kind;
  request.after = after;
  request.allow_stale = allow_stale;
  return this->Add(now, std::move(request));
}

StoreOp MetadataStoreClient::WatchKind(Instant now, const std::string& kind,
                                       std::uint64_t revision, Duration wait,
                                       bool allow_stale) {
  StoreRequest request;
  request.verb = StoreVerb::kWatchKind;
  request.key.kind = kind;
  request.version = revision;
  request.wait = wait;
  request.allow_stale = allow_stale;
  return this->Add(now, std::move(request));
}

StoreOp MetadataStoreClient::Hosts(Instant now) {
  return this->Add(now, StoreRequest{StoreVerb::kHosts});
}

StoreOp MetadataStoreClient::Add(Instant now, StoreRequest request) {
  Pending pending;
  pending.request = std::move(request);
  return this->Add(now, std::move(pending));
}

StoreOp MetadataStoreClient::Add(Instant now, Pending pending) {
  const std::uint64_t op = this->next_op++;
  pending.result.op = StoreOp{op};
  pending.result.verb = pending.request.verb;
  pending.result.key = pending.request.key;
  pending.not_before = now;
  pending.deadline =
      now + this->settings.operation_timeout + pending.request.wait;
  this->pending.emplace(op, std::move(pending));
  this->StartReadyCalls(now);
  return StoreOp{op};
}

void MetadataStoreClient::Cancel(StoreOp op) {
  const auto found = this->pending.find(op.value);
  if (found == this->pending.end()) {
    return;
  }
  if (found->second.call.value != 0) {
    this->actions.emplace_back(HttpCancel{found->second.call});
    this->op_by_call.erase(found->second.call.value);
  }
  this->pending.erase(found);
}

MetadataStoreClient::TokenBucket* MetadataStoreClient::BucketFor(
    StoreVerb verb) {
  return IsWrite(verb) ? &this->writes : &this->reads;
}

std::uint32_t MetadataStoreClient::InFlight(bool watches) const {
  std::uint32_t count = 0;
  for (const auto& [call, op] : this->op_by_call) {
    const StoreVerb verb = this->pending.at(op).result.verb;
    const bool is_watch = IsWatch(verb);
    count += is_watch == watches ? 1U : 0U;
  }
  return count;
}

void MetadataStoreClient::StartReadyCalls(Instant now) {
  this->reads.Refill(now);
  this->writes.Refill(now);
  for (auto& [op, pending] : this->pending) {
    if (pending.call.value == 0 && pending.not_before <= now) {
      this->TryStart(now, op, &pending);
    }
  }
  this->FailQueuedDuringOutage(now);
}

bool MetadataStoreClient::TryStart(Instant now, std::uint64_t op,
                                   Pending* pending) {
  const bool is_watch = IsWatch(pending->result.verb);
  const std::uint32_t max_calls =
      is_watch ? this->settings.max_watches : this->settings.max_in_flight;
  TokenBucket* bucket = this->BucketFor(pending->result.verb);
  const bool outage = this->health.mode == StoreMode::kOutage;
  const bool blocked = now < this->throttled_until || bucket->tokens < 1.0 ||
                       this->InFlight(is_watch) >= max_calls ||
                       (outage && now < this->next_probe);
  if (blocked) {
    return false;
  }
  bucket->tokens -= 1.0;
  if (outage) {
    this->next_probe = now + this->Backoff(this->health.consecutive_failures);
  }
  this->Start(now, op, pending);
  return true;
}

void MetadataStoreClient::Start(Instant now, std::uint64_t op,
                                Pending* pending) {
  const StoreVerb verb = pending->result.verb;
  Duration limit = this->settings.call_timeout;
  if (IsWatch(verb)) {
    limit = pending->request.wait + this->settings.watch_margin;
    ++this->counters.watches;
  } else if (IsWrite(verb)) {
    ++this->counters.writes;
  } else {
    ++this->counters.reads;
  }
  limit = std::min(limit, pending->deadline - now);
  pending->call = this->next_call_id();
  pending->started = now;
  pending->call_deadline = now + limit;
  pending->response = {};
  ++pending->attempts;
  this->op_by_call[pending->call.value] = op;
  HttpCall call;
  call.id = pending->call;
  call.method = MethodOf(verb);
  call.url =
      this->settings.url + this->settings.dialect.target(pending->request);
  call.body = pending->body;
  call.total_timeout = limit;
  call.max_body = kMaxResponse;
  AddCondition(pending->condition, &call.headers);
  if (IsWrite(verb) && this->settings.dialect.adapt_write) {
    this->settings.dialect.adapt_write(pending->request, &call);
  }
  this->actions.emplace_back(std::move(call));
}

bool MetadataStoreClient::OnHead(Instant /*now*/, const HttpHead& head) {
  const auto found = this->op_by_call.find(head.id.value);
  if (found == this->op_by_call.end()) {
    return false;
  }
  Pending& pending = this->pending.at(found->second);
  pending.response.status = head.status;
  pending.response.headers = head.headers;
  return true;
}

bool MetadataStoreClient::OnChunk(Instant /*now*/, const HttpChunk& chunk) {
  const auto found = this->op_by_call.find(chunk.id.value);
  if (found == this->op_by_call.end()) {
    return false;
  }
  this->pending.at(found->second).response.body += chunk.bytes;
  return true;
}

bool MetadataStoreClient::OnDone(Instant now, const HttpDone& done) {
  const auto found = this->op_by_call.find(done.id.value);
  if (found == this->op_by_call.end()) {
    return false;
  }
  this->FinishCall(now, found->second, done.end);
  this->StartReadyCalls(now);
  return true;
}

void MetadataStoreClient::FinishCall(Instant now, std::uint64_t op,
                                     HttpEnd end) {
  Pending& pending = this->pending.at(op);
  this->op_by_call.erase(pending.call.value);
  pending.call = CallId{};
  pending.call_deadline = kNever;
  if (end == HttpEnd::kComplete && pending.response.status != 0) {
    this->HandleResponse(now, op, &pending);
  } else {
    this->HandleCallFailure(now, op, end);
  }
}

void MetadataStoreClient::HandleCallFailure(Instant now, std::uint64_t op,
                                            HttpEnd end) {
  this->RecordFailure(now);
  const Pending& pending = this->pending.at(op);
  const bool may_have_run =
      IsWrite(pending.result.verb) && end != HttpEnd::kNotConnected;
  if (may_have_run) {
    this->Complete(op, StoreStatus::kUnknown, Duration{0});
    return;
  }
  this->RetryOrEnd(now, op, StoreStatus::kUnavailable, Duration{0});
}

void MetadataStoreClient::HandleResponse(Instant now, std::uint64_t op,
                                         Pending* pending) {
  StoreResult& result = pending->result;
  const int status = pending->response.status;
  const Duration wait =
      ReadRetryAfter(pending->response.headers).value_or(Duration{0});
  if (status == 429) {
    ++this->counters.throttled;
    this->RecordResponse(now, *pending);
    const Duration min_backoff = this->Backoff(pending->attempts);
    this->throttled_until =
        std::max(this->throttled_until, now + std::max(wait, min_backoff));
    this->RetryOrEnd(now, op, StoreStatus::kThrottled, wait);
    return;
  }
  if (status >= 500) {
    this->RecordFailure(now);
    const bool may_have_run = IsWrite(result.verb) && status != 503;
    if (may_have_run) {
      this->Complete(op, StoreStatus::kUnknown, Duration{0});
    } else {
      this->RetryOrEnd(now, op, StoreStatus::kUnavailable, wait);
    }
    return;
  }
  this->RecordResponse(now, *pending);
  result.sent_at = pending->started;
  const StoreStatus read =
      this->settings.dialect.read(result.verb, &pending->response, &result);
  this->Complete(op, read, Duration{0});
}

void MetadataStoreClient::RetryOrEnd(Instant now, std::uint64_t op,
                                     StoreStatus status, Duration wait) {
  Pending& pending = this->pending.at(op);
  const Duration backoff = std::max(wait, this->Backoff(pending.attempts));
  const bool no_retry = IsSingleCall(pending.result.verb) ||
                        this->health.mode == StoreMode::kOutage ||
                        now + backoff >= pending.deadline;
  if (no_retry) {
    this->Complete(op, status, backoff);
    return;
  }
  pending.not_before = now + backoff;
}

void MetadataStoreClient::Complete(std::uint64_t op, StoreStatus status,
                                   Duration retry_after) {
  const auto found = this->pending.find(op);
  found->second.result.status = status;
  found->second.result.retry_after = retry_after;
  this->results.push_back(std::move(found->second.result));
  this->pending.erase(found);
}

void MetadataStoreClient::RecordResponse(Instant now, const Pending& pending) {
  this->health.has_responded = true;
  this->health.last_response = now;
  this->health.consecutive_failures = 0;
  if (!IsWatch(pending.result.verb)) {
    const Duration latency = now - pending.started;
    const Duration difference = latency - this->health.latency;
    this->health.latency += FromSeconds(ToSeconds(difference) * kLatencyWeight);
  }
  const bool slow = this->health.latency > this->settings.slow_latency;
  this->health.mode = slow ? StoreMode::kSlow : StoreMode::kNormal;
}

void MetadataStoreClient::RecordFailure(Instant now) {
  ++this->counters.failures;
  ++this->health.consecutive_failures;
  if (this->health.consecutive_failures < this->settings.outage_threshold) {
    return;
  }
  this->health.mode = StoreMode::kOutage;
  this->next_probe = now + this->Backoff(this->health.consecutive_failures);
}

Duration MetadataStoreClient::Backoff(std::uint32_t attempts) {
  constexpr std::uint32_t kMaxDoublings = 16;
  const std::uint32_t doublings = std::min(attempts, kMaxDoublings);
  const double full = ToSeconds(this->settings.backoff_base) *
                      std::pow(2.0, static_cast<double>(doublings));
  const double capped = std::min(full, ToSeconds(this->settings.backoff_cap));
  return FromSeconds(capped * (0.5 + 0.5 * this->random.Fraction()));
}

void MetadataStoreClient::FailQueuedDuringOutage(Instant now) {
  if (this->health.mode != StoreMode::kOutage) {
    return;
  }
  std::vector<std::uint64_t> queued;
  for (const auto& [op, pending] : this->pending) {
    if (pending.call.value == 0) {
      queued.push_back(op);
    }
  }
  const Duration wait = std::max(kMinWait, this->next_probe - now);
  for (const std::uint64_t op : queued) {
    this->Complete(op, StoreStatus::kUnavailable, wait);
  }
}

void MetadataStoreClient::ExpireTimedOut(Instant now) {
  std::vector<std::uint64_t> calls;
  std::vector<std::uint64_t> queued;
  for (const auto& [op, pending] : this->pending) {
    if (pending.call.value != 0 && pending.call_deadline <= now) {
      calls.push_back(op);
    } else if (pending.call.value == 0 && pending.deadline <= now) {
      queued.push_back(op);
    }
  }
  for (const std::uint64_t op : calls) {
    this->actions.emplace_back(HttpCancel{this->pending.at(op).call});
    this->FinishCall(now, op, HttpEnd::kTimeout);
  }
  for (const std::uint64_t op : queued) {
    ++this->counters.rejected_by_budget;
    this->Complete(op, StoreStatus::kThrottled, this->settings.backoff_base);
  }
}

void MetadataStoreClient::Tick(Instant now) {
  this->ExpireTimedOut(now);
  this->StartReadyCalls(now);
}

Instant MetadataStoreClient::NextWakeup() const {
  Instant next = kNever;
  for (const auto& [op, pending] : this->pending) {
    if (pending.call.value != 0) {
      next = std::min(next, pending.call_deadline);
      continue;
    }
    const TokenBucket& bucket =
        IsWrite(pending.result.verb) ? this->writes : this->reads;
    const Instant ready =
        std::max({pending.not_before, this->throttled_until, bucket.ReadyAt()});
    next = std::min({next, ready, pending.deadline});
  }
  return next;
}

Actions MetadataStoreClient::TakeActions() {
  return std::exchange(this->actions, {});
}

std::vector<StoreResult> MetadataStoreClient::TakeResults() {
  return std::exchange(this->results, {});
}

void MetadataStoreClient::SetBudget(Instant now, const CallBudget& budget) {
  this->reads.Refill(now);
  this->writes.Refill(now);
  this->reads.rate = budget.reads_per_second;
  this->reads.burst = budget.read_burst;
  this->writes.rate = budget.writes_per_second;
  this->writes.burst = budget.write_burst;
}

}  // namespace limpetlink
