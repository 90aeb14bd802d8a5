#include "retries/detail/budget.h"

#include <algorithm>

namespace limpetlink {
namespace {

constexpr double kRetriesPerRequest = 0.1;  // per first attempt
constexpr double kMaxRetries = 100.0;       // maximum balance

}  // namespace

void RetryBudget::Earn() {
  this->left = std::min(kMaxRetries, this->left + kRetriesPerRequest);
}

bool RetryBudget::Spend() {
  if (this->left < 1.0) {
    return false;
  }
  this->left -= 1.0;
  return true;
}

}  // namespace limpetlink
