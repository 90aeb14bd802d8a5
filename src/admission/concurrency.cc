#include "admission/detail/concurrency.h"

#include <algorithm>

namespace limpetlink {
namespace {

constexpr double kMaxRequests = 4096;
constexpr double kGrowth = 1.1;  // per report

}  // namespace

bool ConcurrencyEstimate::Check(double share) const {
  const double limit = std::max(1.0, this->cap * share);
  return static_cast<double>(this->running.size()) + 1 <= limit;
}

void ConcurrencyEstimate::RemoveHolder(const HostId& holder) {
  for (auto it = this->running.begin(); it != this->running.end();) {
    it = it->holder == holder ? this->running.erase(it) : std::next(it);
  }
}

void ConcurrencyEstimate::Report(std::uint32_t reported_running,
                                 std::uint32_t reported_waiting) {
  if (reported_waiting > 0) {
    this->cap = std::max<double>(1.0, reported_running);
    return;
  }
  const bool used = static_cast<double>(this->running.size()) * 2 > this->cap;
  if (used) {
    this->cap = std::min(kMaxRequests, this->cap * kGrowth + 1);
  }
}

}  // namespace limpetlink
