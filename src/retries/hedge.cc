#include "retries/detail/hedge.h"

#include <algorithm>

namespace limpetlink {
namespace {

constexpr double kQuantile = 0.95;
constexpr std::uint32_t kMinLookups = 40;
constexpr double kStep = 0.05;  // relative change of the estimate per lookup
constexpr std::size_t kMaxKeys = 1024;

}  // namespace

void HedgeDelays::Observe(const std::string& target, const std::string& route,
                          Duration duration) {
  const auto key = std::make_pair(target, route);
  if (this->estimates.count(key) == 0 && this->estimates.size() >= kMaxKeys) {
    return;
  }
  Estimate& estimate = this->estimates[key];
  const double seconds = ToSeconds(duration);
  if (estimate.count < kMinLookups) {
    estimate.seconds = std::max(estimate.seconds, seconds);
  } else if (seconds > estimate.seconds) {
    estimate.seconds *= 1.0 + kStep * kQuantile;
  } else {
    estimate.seconds *= 1.0 - kStep * (1.0 - kQuantile);
  }
  ++estimate.count;
}

std::optional<Duration> HedgeDelays::Find(const std::string& target,
                                          const std::string& route) const {
  const auto it = this->estimates.find({target, route});
  const bool enough =
      it != this->estimates.end() && it->second.count >= kMinLookups;
  return enough ? std::optional(FromSeconds(it->second.seconds)) : std::nullopt;
}

}  // namespace limpetlink
