#include <catch2/catch.hpp>
#include <cmath>

#include "admission/admission.h"

namespace limpetlink {
namespace {

constexpr std::uint64_t kBound = 8192;

/// @brief Draws an approximately normal deviate from twelve uniform ones.
double Deviate(Random* random) {
  double sum = -6.0;
  for (int i = 0; i < 12; ++i) {
    sum += random->Fraction();
  }
  return sum;
}

}  // namespace

TEST_CASE(
    "length hint estimator, scattered hints with a correct median, the sum of "
    "the estimates is near the sum of the lengths",
    "[admission]") {
  constexpr double kMedian = 600.0;
  Random random(7);
  LengthHintEstimator lengths;
  double expected = 0;
  double hinted = 0;
  double actual = 0;
  for (int i = 0; i < 400; ++i) {
    const double length = kMedian * std::exp(0.8 * Deviate(&random));
    const double hint = length * std::exp(1.2 * Deviate(&random));
    expected += lengths.Estimate(
        "draft", static_cast<std::uint64_t>(std::lround(hint)), kBound);
    hinted += hint;
    actual += length;
  }
  CHECK(hinted > 1.6 * actual);
  CHECK(expected > 0.85 * actual);
  CHECK(expected < 1.2 * actual);
}

TEST_CASE("length hint estimator, one outlier, has little weight",
          "[admission]") {
  LengthHintEstimator lengths;
  for (int i = 0; i < 8; ++i) {
    lengths.Estimate("draft", 600, kBound);
  }
  CHECK(lengths.Estimate("draft", 8000, kBound) < 2500.0);
  CHECK(lengths.Estimate("draft", 600, kBound) < 1100.0);
}

TEST_CASE("length hint estimator, hint of zero, estimates one token",
          "[admission]") {
  LengthHintEstimator lengths;
  CHECK(lengths.Estimate("check", 0, 0) == 1.0);
}

}  // namespace limpetlink
