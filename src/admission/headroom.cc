#include "admission/detail/headroom.h"

#include <algorithm>
#include <cmath>

namespace limpetlink {
namespace {

constexpr double kGain = 1.0 / 64;  // per arrival

}  // namespace

void VerdictHeadroom::Observe(double in_progress, double tokens) {
  if (!this->any) {
    this->any = true;
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

double VerdictHeadroom::Places(double in_progress, double deviations) const {
  if (!this->any) {
    return 0;
  }
  const double spread = std::sqrt(std::max(this->variance, this->mean));
  const double wanted = this->mean + deviations * spread;
  return std::max(0.0, wanted - in_progress);
}

}  // namespace limpetlink
