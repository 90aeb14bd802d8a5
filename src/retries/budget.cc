#include "retries/detail/budget.h"

#include <algorithm>

namespace limpetlink {
namespace {

constexpr double kEarned = 0.1;  // retries for each first attempt
constexpr double kMost = 100.0;  // saved up

}  // namespace

void RetryBudget::Earn() { this->left = std::min(kMost, this->left + kEarned); }

bool RetryBudget::Spend() {
  if (this->left < 1.0) {
    return false;
  }
  this->left -= 1.0;
  return true;
}

}  // namespace limpetlink
