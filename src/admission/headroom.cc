#include "admission/detail/headroom.h"

#include <algorithm>
#include <cmath>

namespace limpetlink {
namespace {

constexpr double kGain = 1.0 / 64;  // per arrival

}  // namespace

void VerdictHeadroom::Observe(double in_progress, double tokens) {
  if (!this->observed) {
    this->observed = true;
    this->mean = in_progress;
    this->tokens = tokens;
    this->variance = in_progress;
    return;
  }
  const double error = in_progress - this->mean;
  this->mean += kGain * error;
  this->variance += kGain * (error * error - this->variance);
  this->tokens += kGain * (tokens - this->tokens);
}

double VerdictHeadroom::Slots(double in_progress, double deviations) const {
  if (!this->observed) {
    return 0;
  }
  const double standard_deviation =
      std::sqrt(std::max(this->variance, this->mean));
  const double target = this->mean + deviations * standard_deviation;
  return std::max(0.0, target - in_progress);
}

}  // namespace limpetlink
