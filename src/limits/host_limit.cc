#include "limits/detail/host_limit.h"

#include <algorithm>

namespace limpetlink {
namespace {

constexpr double kBurstSeconds = 1.0;
constexpr double kHeldGain = 0.05;    // per request
constexpr double kPressedPart = 0.5;  // of the fallback part

double Burst(const LimitShare& share) {
  return std::max(1.0, share.per_second * kBurstSeconds);
}

}  // namespace

void HostLimit::SetTotal(const LimitShare& total, std::size_t hosts) {
  const double parts = static_cast<double>(std::max<std::size_t>(hosts, 1));
  this->fallback.concurrent = std::max(1.0, total.concurrent / parts);
  this->fallback.per_second = total.per_second / parts;
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
  const double passed = ToSeconds(now - this->refilled);
  this->allowance =
      std::min(Burst(share), this->allowance + passed * share.per_second);
  this->refilled = now;
}

LimitDecision HostLimit::Begin(Instant now, bool again) {
  this->Refill(now);
  ++this->arrivals;
  const LimitShare share = this->Current(now);
  if (this->in_progress + 1 > std::max(1.0, share.concurrent)) {
    this->peak = std::max(this->peak, this->in_progress + 1);
    return LimitDecision::kConcurrency;
  }
  if (!again && this->allowance < 1.0) {
    return LimitDecision::kRate;
  }
  this->allowance -= again ? 0.0 : 1.0;
  ++this->in_progress;
  this->peak = std::max(this->peak, this->in_progress);
  return LimitDecision::kWithin;
}

void HostLimit::End(Duration held) {
  this->in_progress -= this->in_progress > 0 ? 1 : 0;
  this->mean_held += kHeldGain * (ToSeconds(held) - this->mean_held);
}

bool HostLimit::ShouldRequestShare(Instant now) const {
  const double passed = ToSeconds(now - this->counted_since);
  const double expected = this->fallback.per_second * kPressedPart * passed;
  return this->peak > this->fallback.concurrent * kPressedPart ||
         this->arrivals > expected + 1.0;
}

Duration HostLimit::RetryAfter(LimitDecision answer, Instant now) const {
  if (answer == LimitDecision::kConcurrency) {
    return FromSeconds(this->mean_held / std::max(1U, this->in_progress));
  }
  const LimitShare share = this->Current(now);
  if (share.per_second <= 0) {
    return std::chrono::seconds(1);
  }
  const double missing = std::max(0.0, 1.0 - this->allowance);
  return FromSeconds(missing / share.per_second);
}

LimitShare HostLimit::TakeDemand(Instant now) {
  const double passed = std::max(0.001, ToSeconds(now - this->counted_since));
  LimitShare wanted;
  wanted.concurrent = this->peak;
  wanted.per_second = this->arrivals / passed;
  this->counted_since = now;
  this->peak = this->in_progress;
  this->arrivals = 0;
  return wanted;
}

}  // namespace limpetlink
