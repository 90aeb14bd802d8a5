#include "admission/detail/regression.h"

namespace limpetlink {
namespace {

constexpr double kForget = 1.0 - 1.0 / 256;  // per point
constexpr double kEnoughPoints = 12.0;
constexpr double kLeastSpread = 0.01;  // variance over squared mean of x

}  // namespace

void LineFit::Observe(double x, double y) {
  this->weight = this->weight * kForget + 1.0;
  this->sum_x = this->sum_x * kForget + x;
  this->sum_y = this->sum_y * kForget + y;
  this->sum_xx = this->sum_xx * kForget + x * x;
  this->sum_xy = this->sum_xy * kForget + x * y;
}

std::optional<double> LineFit::Reaches(double y) const {
  if (this->weight < kEnoughPoints) {
    return std::nullopt;
  }
  const double mean_x = this->sum_x / this->weight;
  const double mean_y = this->sum_y / this->weight;
  const double spread = this->sum_xx / this->weight - mean_x * mean_x;
  const double joint = this->sum_xy / this->weight - mean_x * mean_y;
  if (spread <= kLeastSpread * mean_x * mean_x || joint <= 0) {
    return std::nullopt;
  }
  return mean_x + (y - mean_y) * spread / joint;
}

}  // namespace limpetlink
