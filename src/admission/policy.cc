#include "admission/detail/policy.h"

#include <cmath>

namespace limpetlink {
namespace {

// Each bound runs geometrically from its value at weight 0 to that at weight 1.
constexpr double kRiskAt0 = 0.2;
constexpr double kRiskAt1 = 0.001;
constexpr double kStepAt0 = 0.081;  // seconds: three times the stated target
constexpr double kStepAt1 = 0.024;  // seconds: a little under it
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
