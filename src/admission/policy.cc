#include "admission/detail/policy.h"

#include <cmath>

namespace limpetlink {
namespace {

// Each limit is interpolated geometrically between its values at weight 0 and
// weight 1.
constexpr double kRiskAt0 = 0.2;
constexpr double kRiskAt1 = 0.001;
// Seconds: three times the documented target.
constexpr double kStepAt0 = 0.081;
constexpr double kStepAt1 = 0.024;  // seconds: slightly below that target
constexpr double kWaitAt0 = 180.0;  // seconds
constexpr double kWaitAt1 = 4.0;    // seconds
constexpr double kHeadroomAt0 = 1.0;
constexpr double kHeadroomAt1 = 4.0;

double Interpolate(double at0, double at1, double weight) {
  return at0 * std::pow(at1 / at0, weight);
}

}  // namespace

AdmissionPolicy MakeAdmissionPolicy(const Weights& weights) {
  AdmissionPolicy policy;
  policy.overflow_risk = Interpolate(kRiskAt0, kRiskAt1, weights.preemption);
  policy.step_target =
      FromSeconds(Interpolate(kStepAt0, kStepAt1, weights.tail));
  policy.max_wait = FromSeconds(Interpolate(kWaitAt0, kWaitAt1, weights.stall));
  policy.headroom_deviations =
      Interpolate(kHeadroomAt0, kHeadroomAt1, weights.stall);
  return policy;
}

}  // namespace limpetlink
