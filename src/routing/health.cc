#include "routing/detail/health.h"

#include <algorithm>

namespace limpetlink {
namespace {

constexpr Duration kReportLag = std::chrono::seconds(2);
constexpr std::uint32_t kFailuresToEject = 3;
constexpr Duration kFirstEjection = std::chrono::seconds(5);
constexpr Duration kLongestEjection = std::chrono::seconds(160);
constexpr Duration kSlowReturn = std::chrono::seconds(30);
constexpr double kFirstShare = 0.1;

}  // namespace

void WorkerHealth::MarkLeaving(Instant now, bool gone) {
  this->sign = now;
  this->leaving = true;
  this->listed_gone = this->listed_gone || gone;
}

void WorkerHealth::MarkListed(Instant /*now*/) { this->listed_gone = false; }

void WorkerHealth::ApplyReport(Instant now, bool draining) {
  if (draining) {
    this->MarkLeaving(now, false);
    return;
  }
  const bool fresh = now - this->sign >= kReportLag;
  if (this->leaving && !this->listed_gone && fresh) {
    this->leaving = false;
  }
}

void WorkerHealth::RecordSuccess(Instant now) {
  this->failures = 0;
  if (now >= this->returned_until) {
    this->ejections = 0;
  }
}

void WorkerHealth::RecordFailure(Instant now, bool refused) {
  if (refused) {
    this->MarkLeaving(now, false);
  }
  ++this->failures;
  if (this->failures < kFailuresToEject || this->Ejected(now)) {
    return;
  }
  const std::uint32_t doublings = std::min<std::uint32_t>(this->ejections, 5);
  const Duration time =
      std::min<Duration>(kFirstEjection * (1U << doublings), kLongestEjection);
  ++this->ejections;
  this->failures = 0;
  this->ejected_until = now + time;
  this->returned_until = this->ejected_until + kSlowReturn;
}

bool WorkerHealth::IsLeaving(Instant /*now*/) const { return this->leaving; }

double WorkerHealth::UsableFraction(Instant now) const {
  if (now >= this->returned_until) {
    return 1.0;
  }
  const double left = ToSeconds(this->returned_until - now);
  const double back = 1.0 - left / ToSeconds(kSlowReturn);
  return std::clamp(back, kFirstShare, 1.0);
}

}  // namespace limpetlink
