#include "limits/detail/host_limit.h"

#include <algorithm>

namespace limpetlink {
namespace {

constexpr double kBurstSeconds = 1.0;
constexpr double kDurationGain = 0.05;     // weight of the latest request
constexpr double kRequestThreshold = 0.5;  // of the fallback share

double Burst(const LimitShare& share) {
  return std::max(1.0, share.per_second * kBurstSeconds);
}

}  // namespace

void HostLimit::SetTotal(const LimitShare& total, std::size_t hosts) {
  const double host_count =
      static_cast<double>(std::max<std::size_t>(hosts, 1));
  this->fallback.concurrent = std::max(1.0, total.concurrent / host_count);
  this->fallback.per_second = total.per_second / host_count;
}

void HostLimit::Grant(const LimitShare& share, Instant until) {
  this->granted = share;
  this->granted_until = until;
}

LimitShare HostLimit::Current(Instant now) const {
  const bool fresh = this->granted && now < this->granted_until;
  return fresh ? *this->granted : this->fallback;
}

void HostLimit::Refill(Instant now) {
  const LimitShare share = this->Current(now);
  if (!this->started) {
    this->started = true;
    this->allowance = Burst(share);
    this->refilled = now;
    this->counted_since = now;
  }
  const double elapsed = ToSeconds(now - this->refilled);
  this->allowance =
      std::min(Burst(share), this->allowance + elapsed * share.per_second);
  this->refilled = now;
}

LimitDecision HostLimit::Begin(Instant now, bool is_retry) {
  this->Refill(now);
  ++this->arrivals;
  const LimitShare share = this->Current(now);
  if (this->in_progress + 1 > std::max(1.0, share.concurrent)) {
    this->peak = std::max(this->peak, this->in_progress + 1);
    return LimitDecision::kConcurrency;
  }
  if (!is_retry && this->allowance < 1.0) {
    return LimitDecision::kRate;
  }
  this->allowance -= is_retry ? 0.0 : 1.0;
  ++this->in_progress;
  this->peak = std::max(this->peak, this->in_progress);
  return LimitDecision::kWithin;
}

void HostLimit::End(Duration duration) {
  this->in_progress -= this->in_progress > 0 ? 1 : 0;
  this->mean_duration_s +=
      kDurationGain * (ToSeconds(duration) - this->mean_duration_s);
}

bool HostLimit::ShouldRequestShare(Instant now) const {
  const double elapsed = ToSeconds(now - this->counted_since);
  const double expected =
      this->fallback.per_second * kRequestThreshold * elapsed;
  return this->peak > this->fallback.concurrent * kRequestThreshold ||
         this->arrivals > expected + 1.0;
}

Duration HostLimit::RetryAfter(LimitDecision decision, Instant now) const {
  if (decision == LimitDecision::kConcurrency) {
    return FromSeconds(this->mean_duration_s / std::max(1U, this->in_progress));
  }
  const LimitShare share = this->Current(now);
  if (share.per_second <= 0) {
    return std::chrono::seconds(1);
  }
  const double missing = std::max(0.0, 1.0 - this->allowance);
  return FromSeconds(missing / share.per_second);
}

LimitShare HostLimit::TakeDemand(Instant now) {
  const double elapsed = std::max(0.001, ToSeconds(now - this->counted_since));
  LimitShare demand;
  demand.concurrent = this->peak;
  demand.per_second = this->arrivals / elapsed;
  this->counted_since = now;
  this->peak = this->in_progress;
  this->arrivals = 0;
  return demand;
}

}  // namespace limpetlink
