#include "admission/detail/regression.h"

namespace limpetlink {
namespace {

constexpr double kDecay = 1.0 - 1.0 / 256;  // per point
constexpr double kMinPoints = 12.0;
// Variance over squared mean of x.
constexpr double kMinRelativeVariance = 0.01;

}  // namespace

void LinearRegression::Observe(double x, double y) {
  this->weight = this->weight * kDecay + 1.0;
  this->sum_x = this->sum_x * kDecay + x;
  this->sum_y = this->sum_y * kDecay + y;
  this->sum_xx = this->sum_xx * kDecay + x * x;
  this->sum_xy = this->sum_xy * kDecay + x * y;
}

std::optional<double> LinearRegression::SolveForX(double y) const {
  if (this->weight < kMinPoints) {
    return std::nullopt;
  }
  const double mean_x = this->sum_x / this->weight;
  const double mean_y = this->sum_y / this->weight;
  const double variance_x = this->sum_xx / this->weight - mean_x * mean_x;
  const double covariance = this->sum_xy / this->weight - mean_x * mean_y;
  if (variance_x <= kMinRelativeVariance * mean_x * mean_x || covariance <= 0) {
    return std::nullopt;
  }
  return mean_x + (y - mean_y) * variance_x / covariance;
}

}  // namespace limpetlink
