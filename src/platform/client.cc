#include <algorithm>
#include <cmath>
#include <utility>

#include "platform/detail/encode.h"
#include "platform/platform.h"

namespace limpetlink {
namespace {

constexpr double kShareOfLimits = 0.8;   ///< the rest stays free
constexpr std::size_t kFewestHosts = 6;  ///< fewer share as if they were 6
constexpr double kLatencyWeight = 0.2;   ///< of the newest call in the mean
constexpr Duration kWatchMargin = std::chrono::seconds(2);
constexpr Duration kSmallestWait = std::chrono::milliseconds(1);

bool IsWrite(PlatformVerb verb) {
  return verb == PlatformVerb::kPut || verb == PlatformVerb::kDelete;
}

const char* MethodOf(PlatformVerb verb) {
  switch (verb) {
    case PlatformVerb::kPut:
      return "PUT";
    case PlatformVerb::kDelete:
      return "DELETE";
    default:
      return "GET";
  }
}

}  // namespace

CallBudget ShareOfLimits(const PlatformLimits& limits, std::size_t live_hosts) {
  const auto hosts = static_cast<double>(std::max(live_hosts, kFewestHosts));
  CallBudget budget;
  budget.reads_per_second = limits.reads_per_second * kShareOfLimits / hosts;
  budget.writes_per_second = limits.writes_per_second * kShareOfLimits / hosts;
  budget.read_burst = std::max(12.0, budget.reads_per_second);
  budget.write_burst = std::max(8.0, budget.writes_per_second);
  return budget;
}

void PlatformClient::Bucket::Refill(Instant now) {
  const double gained = ToSeconds(now - this->at) * this->rate;
  this->tokens = std::min(this->burst, this->tokens + gained);
  this->at = now;
}

Instant PlatformClient::Bucket::ReadyAt() const {
  if (this->tokens >= 1.0) {
    return this->at;
  }
  if (this->rate <= 0.0) {
    return kNever;
  }
  const Duration wait = FromSeconds((1.0 - this->tokens) / this->rate);
  return this->at + wait + kSmallestWait;
}

PlatformClient::PlatformClient(PlatformSettings settings,
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

PlatformOp PlatformClient::Get(Instant now, const ObjectKey& key) {
  Pending pending;
  pending.result.verb = PlatformVerb::kGet;
  pending.result.key = key;
  pending.path = ObjectPath(key);
  return this->Add(now, std::move(pending));
}

PlatformOp PlatformClient::Put(Instant now, const ObjectKey& key,
                               std::string bytes, WriteCondition condition) {
  Pending pending;
  pending.result.verb = PlatformVerb::kPut;
  pending.result.key = key;
  pending.path = ObjectPath(key);
  pending.body = std::move(bytes);
  pending.condition = condition;
  return this->Add(now, std::move(pending));
}

PlatformOp PlatformClient::Delete(Instant now, const ObjectKey& key,
                                  WriteCondition condition) {
  Pending pending;
  pending.result.verb = PlatformVerb::kDelete;
  pending.result.key = key;
  pending.path = ObjectPath(key);
  pending.condition = condition;
  return this->Add(now, std::move(pending));
}

PlatformOp PlatformClient::List(Instant now, const std::string& kind,
                                const std::string& prefix,
                                const std::string& after, std::uint32_t limit) {
  Pending pending;
  pending.result.verb = PlatformVerb::kList;
  pending.result.key = {kind, prefix};
  pending.path = "/v1/objects/" + PercentEncode(kind) +
                 "?prefix=" + PercentEncode(prefix) +
                 "&after=" + PercentEncode(after) +
                 "&limit=" + std::to_string(limit);
  return this->Add(now, std::move(pending));
}

PlatformOp PlatformClient::Watch(Instant now, const ObjectKey& key,
                                 std::uint64_t version, Duration wait) {
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(wait);
  Pending pending;
  pending.result.verb = PlatformVerb::kWatch;
  pending.result.key = key;
  pending.path = ObjectPath(key) + "?watch=" + std::to_string(version) +
                 "&wait_ms=" + std::to_string(milliseconds.count());
  pending.wait = wait;
  return this->Add(now, std::move(pending));
}

PlatformOp PlatformClient::Hosts(Instant now) {
  Pending pending;
  pending.result.verb = PlatformVerb::kHosts;
  pending.path = "/v1/hosts";
  return this->Add(now, std::move(pending));
}

PlatformOp PlatformClient::Add(Instant now, Pending pending) {
  const std::uint64_t op = this->next_op++;
  pending.result.op = PlatformOp{op};
  pending.not_before = now;
  pending.deadline = now + this->settings.operation_timeout + pending.wait;
  this->pending.emplace(op, std::move(pending));
  this->Pump(now);
  return PlatformOp{op};
}

void PlatformClient::Cancel(PlatformOp op) {
  const auto found = this->pending.find(op.value);
  if (found == this->pending.end()) {
    return;
  }
  if (found->second.call.value != 0) {
    this->actions.emplace_back(HttpCancel{found->second.call});
    this->op_of_call.erase(found->second.call.value);
  }
  this->pending.erase(found);
}

PlatformClient::Bucket* PlatformClient::BucketOf(PlatformVerb verb) {
  return IsWrite(verb) ? &this->writes : &this->reads;
}

std::uint32_t PlatformClient::InFlight(bool watches) const {
  std::uint32_t count = 0;
  for (const auto& [call, op] : this->op_of_call) {
    const PlatformVerb verb = this->pending.at(op).result.verb;
    const bool is_watch = verb == PlatformVerb::kWatch;
    count += is_watch == watches ? 1U : 0U;
  }
  return count;
}

void PlatformClient::Pump(Instant now) {
  this->reads.Refill(now);
  this->writes.Refill(now);
  for (auto& [op, pending] : this->pending) {
    if (pending.call.value == 0 && pending.not_before <= now) {
      this->TryStart(now, op, &pending);
    }
  }
  this->EndQueuedInOutage(now);
}

bool PlatformClient::TryStart(Instant now, std::uint64_t op, Pending* pending) {
  const bool is_watch = pending->result.verb == PlatformVerb::kWatch;
  const std::uint32_t most =
      is_watch ? this->settings.max_watches : this->settings.max_in_flight;
  Bucket* bucket = this->BucketOf(pending->result.verb);
  const bool outage = this->health.mode == PlatformMode::kOutage;
  const bool blocked = now < this->throttled_until || bucket->tokens < 1.0 ||
                       this->InFlight(is_watch) >= most ||
                       (outage && now < this->next_probe);
  if (blocked) {
    return false;
  }
  bucket->tokens -= 1.0;
  if (outage) {
    this->next_probe = now + this->Backoff(this->health.failures_in_a_row);
  }
  this->Start(now, op, pending);
  return true;
}

void PlatformClient::Start(Instant now, std::uint64_t op, Pending* pending) {
  const PlatformVerb verb = pending->result.verb;
  Duration limit = this->settings.call_timeout;
  if (verb == PlatformVerb::kWatch) {
    limit = pending->wait + kWatchMargin;
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
  pending->status = 0;
  pending->headers.clear();
  pending->answer.clear();
  ++pending->attempts;
  this->op_of_call[pending->call.value] = op;
  HttpCall call;
  call.id = pending->call;
  call.method = MethodOf(verb);
  call.url = this->settings.url + pending->path;
  call.body = pending->body;
  call.total_timeout = limit;
  AddCondition(pending->condition, &call.headers);
  this->actions.emplace_back(std::move(call));
}

bool PlatformClient::OnHead(Instant /*now*/, const HttpHead& head) {
  const auto found = this->op_of_call.find(head.id.value);
  if (found == this->op_of_call.end()) {
    return false;
  }
  Pending& pending = this->pending.at(found->second);
  pending.status = head.status;
  pending.headers = head.headers;
  return true;
}

bool PlatformClient::OnChunk(Instant /*now*/, const HttpChunk& chunk) {
  const auto found = this->op_of_call.find(chunk.id.value);
  if (found == this->op_of_call.end()) {
    return false;
  }
  this->pending.at(found->second).answer += chunk.bytes;
  return true;
}

bool PlatformClient::OnDone(Instant now, const HttpDone& done) {
  const auto found = this->op_of_call.find(done.id.value);
  if (found == this->op_of_call.end()) {
    return false;
  }
  this->FinishCall(now, found->second, done.end);
  this->Pump(now);
  return true;
}

void PlatformClient::FinishCall(Instant now, std::uint64_t op, HttpEnd end) {
  Pending& pending = this->pending.at(op);
  this->op_of_call.erase(pending.call.value);
  pending.call = CallId{};
  pending.call_deadline = kNever;
  if (end == HttpEnd::kComplete && pending.status != 0) {
    this->HandleAnswer(now, op, &pending);
  } else {
    this->HandleNoAnswer(now, op, end);
  }
}

void PlatformClient::HandleNoAnswer(Instant now, std::uint64_t op,
                                    HttpEnd end) {
  this->NoteFailure(now);
  const Pending& pending = this->pending.at(op);
  const bool may_have_run =
      IsWrite(pending.result.verb) && end != HttpEnd::kNotConnected;
  if (may_have_run) {
    this->End(op, PlatformStatus::kUnknown, Duration{0});
    return;
  }
  this->RetryOrEnd(now, op, PlatformStatus::kUnavailable, Duration{0});
}

void PlatformClient::HandleAnswer(Instant now, std::uint64_t op,
                                  Pending* pending) {
  PlatformResult& result = pending->result;
  const int status = pending->status;
  const Duration wait = ReadRetryAfter(pending->headers).value_or(Duration{0});
  if (status == 429) {
    ++this->counters.throttled;
    this->NoteAnswered(now, *pending);
    const Duration least = this->Backoff(pending->attempts);
    this->throttled_until =
        std::max(this->throttled_until, now + std::max(wait, least));
    this->RetryOrEnd(now, op, PlatformStatus::kThrottled, wait);
    return;
  }
  if (status >= 500) {
    this->NoteFailure(now);
    const bool may_have_run = IsWrite(result.verb) && status != 503;
    if (may_have_run) {
      this->End(op, PlatformStatus::kUnknown, Duration{0});
    } else {
      this->RetryOrEnd(now, op, PlatformStatus::kUnavailable, wait);
    }
    return;
  }
  this->NoteAnswered(now, *pending);
  this->End(op, this->ReadAnswer(pending), Duration{0});
}

PlatformStatus PlatformClient::ReadAnswer(Pending* pending) {
  PlatformResult& result = pending->result;
  const int status = pending->status;
  const auto version = ReadVersion(pending->headers);
  result.version = version.value_or(0);
  if (status == 404) {
    return PlatformStatus::kAbsent;
  }
  if (status == 412) {
    return PlatformStatus::kConflict;
  }
  if (status == 204 && result.verb == PlatformVerb::kWatch) {
    return PlatformStatus::kUnchanged;
  }
  if (status < 200 || status >= 300) {
    return PlatformStatus::kRefused;
  }
  bool well_formed = true;
  if (result.verb == PlatformVerb::kList) {
    well_formed = ReadObjects(pending->answer, &result.objects);
  } else if (result.verb == PlatformVerb::kHosts) {
    well_formed = ReadHosts(pending->answer, &result.hosts);
  } else if (result.verb != PlatformVerb::kDelete) {
    well_formed = version.has_value();
    result.bytes = std::move(pending->answer);
  }
  if (well_formed) {
    return PlatformStatus::kOk;
  }
  return IsWrite(result.verb) ? PlatformStatus::kUnknown
                              : PlatformStatus::kUnavailable;
}

void PlatformClient::RetryOrEnd(Instant now, std::uint64_t op,
                                PlatformStatus status, Duration wait) {
  Pending& pending = this->pending.at(op);
  const Duration backoff = std::max(wait, this->Backoff(pending.attempts));
  const bool never_again = pending.result.verb == PlatformVerb::kWatch ||
                           this->health.mode == PlatformMode::kOutage ||
                           now + backoff >= pending.deadline;
  if (never_again) {
    this->End(op, status, backoff);
    return;
  }
  pending.not_before = now + backoff;
}

void PlatformClient::End(std::uint64_t op, PlatformStatus status,
                         Duration retry_after) {
  const auto found = this->pending.find(op);
  found->second.result.status = status;
  found->second.result.retry_after = retry_after;
  this->results.push_back(std::move(found->second.result));
  this->pending.erase(found);
}

void PlatformClient::NoteAnswered(Instant now, const Pending& pending) {
  this->health.ever_answered = true;
  this->health.last_answer = now;
  this->health.failures_in_a_row = 0;
  if (pending.result.verb != PlatformVerb::kWatch) {
    const Duration latest = now - pending.started;
    const Duration difference = latest - this->health.latency;
    this->health.latency += FromSeconds(ToSeconds(difference) * kLatencyWeight);
  }
  const bool slow = this->health.latency > this->settings.slow_latency;
  this->health.mode = slow ? PlatformMode::kSlow : PlatformMode::kNormal;
}

void PlatformClient::NoteFailure(Instant now) {
  ++this->counters.failures;
  ++this->health.failures_in_a_row;
  if (this->health.failures_in_a_row < this->settings.outage_after_failures) {
    return;
  }
  this->health.mode = PlatformMode::kOutage;
  this->next_probe = now + this->Backoff(this->health.failures_in_a_row);
}

Duration PlatformClient::Backoff(std::uint32_t attempts) {
  constexpr std::uint32_t kMostDoublings = 16;
  const std::uint32_t doublings = std::min(attempts, kMostDoublings);
  const double full = ToSeconds(this->settings.backoff_base) *
                      std::pow(2.0, static_cast<double>(doublings));
  const double capped = std::min(full, ToSeconds(this->settings.backoff_cap));
  return FromSeconds(capped * (0.5 + 0.5 * this->random.Fraction()));
}

void PlatformClient::EndQueuedInOutage(Instant now) {
  if (this->health.mode != PlatformMode::kOutage) {
    return;
  }
  std::vector<std::uint64_t> queued;
  for (const auto& [op, pending] : this->pending) {
    if (pending.call.value == 0) {
      queued.push_back(op);
    }
  }
  const Duration wait = std::max(kSmallestWait, this->next_probe - now);
  for (const std::uint64_t op : queued) {
    this->End(op, PlatformStatus::kUnavailable, wait);
  }
}

void PlatformClient::ExpireAt(Instant now) {
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
    ++this->counters.refused_by_budget;
    this->End(op, PlatformStatus::kThrottled, this->settings.backoff_base);
  }
}

void PlatformClient::Tick(Instant now) {
  this->ExpireAt(now);
  this->Pump(now);
}

Instant PlatformClient::NextWakeup() const {
  Instant next = kNever;
  for (const auto& [op, pending] : this->pending) {
    if (pending.call.value != 0) {
      next = std::min(next, pending.call_deadline);
      continue;
    }
    const Bucket& bucket =
        IsWrite(pending.result.verb) ? this->writes : this->reads;
    const Instant ready =
        std::max({pending.not_before, this->throttled_until, bucket.ReadyAt()});
    next = std::min({next, ready, pending.deadline});
  }
  return next;
}

Actions PlatformClient::TakeActions() {
  return std::exchange(this->actions, {});
}

std::vector<PlatformResult> PlatformClient::TakeResults() {
  return std::exchange(this->results, {});
}

void PlatformClient::SetBudget(Instant now, const CallBudget& budget) {
  this->reads.Refill(now);
  this->writes.Refill(now);
  this->reads.rate = budget.reads_per_second;
  this->reads.burst = budget.read_burst;
  this->writes.rate = budget.writes_per_second;
  this->writes.burst = budget.write_burst;
}

}  // namespace limpetlink
