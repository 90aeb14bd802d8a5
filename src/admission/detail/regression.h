/// @file
/// @brief Online linear regression with exponential forgetting.
#pragma once

#include <optional>

namespace limpetlink {

/// @brief Least squares fit of y = intercept + slope * x over recent points.
class LinearRegression {
 public:
  /// @brief Adds a point; older points lose weight.
  void Observe(double x, double y);

  /// @brief Solves the fitted line for x.
  /// @param y the value
  /// @return x, or nothing while the points do not determine a rising line
  std::optional<double> SolveForX(double y) const;

 private:
  double weight = 0;
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
};

}  // namespace limpetlink
