#include "routing/detail/health.h"

#include <algorithm>

namespace limpetlink {
namespace {

constexpr Duration kMaxReportDelay = std::chrono::seconds(2);
constexpr std::uint32_t kFailuresToEject = 3;
constexpr Duration kFirstEjection = std::chrono::seconds(5);
constexpr Duration kMaxEjection = std::chrono::seconds(160);
constexpr Duration kSlowStart = std::chrono::seconds(30);
constexpr double kMinUsableFraction = 0.1;

}  // namespace

void WorkerHealth::MarkLeaving(Instant now, bool gone) {
  this->leaving_signal_at = now;
  this->leaving = true;
  this->listed_gone = this->listed_gone || gone;
}

void WorkerHealth::MarkListed(Instant /*now*/) { this->listed_gone = false; }

void WorkerHealth::ApplyReport(Instant now, bool draining) {
  if (draining) {
    this->MarkLeaving(now, false);
    return;
  }
  const bool fresh = now - this->leaving_signal_at >= kMaxReportDelay;
  if (this->leaving && !this->listed_gone && fresh) {
    this->leaving = false;
  }
}

void WorkerHealth::RecordSuccess(Instant now) {
  this->consecutive_failures = 0;
  if (now >= this->slow_start_until) {
    this->ejections = 0;
  }
}

void WorkerHealth::RecordFailure(Instant now, bool refused) {
  if (refused) {
    this->MarkLeaving(now, false);
  }
  ++this->consecutive_failures;
  if (this->consecutive_failures < kFailuresToEject || this->Ejected(now)) {
    return;
  }
  const std::uint32_t doublings = std::min<std::uint32_t>(this->ejections, 5);
  const Duration ejection =
      std::min<Duration>(kFirstEjection * (1U << doublings), kMaxEjection);
  ++this->ejections;
  this->consecutive_failures = 0;
  this->ejected_until = now + ejection;
  this->slow_start_until = this->ejected_until + kSlowStart;
}

bool WorkerHealth::IsLeaving(Instant /*now*/) const { return this->leaving; }

double WorkerHealth::UsableFraction(Instant now) const {
  if (now >= this->slow_start_until) {
    return 1.0;
  }
  const double remaining = ToSeconds(this->slow_start_until - now);
  const double progress = 1.0 - remaining / ToSeconds(kSlowStart);
  return std::clamp(progress, kMinUsableFraction, 1.0);
}

}  // namespace limpetlink
