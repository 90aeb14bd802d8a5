#include "retries/retries.h"

namespace limpetlink {

void WindowBudget::Expire(Instant now) {
  const Instant begin = now - this->settings.window;
  while (!this->firsts.empty() && this->firsts.front() < begin) {
    this->firsts.pop_front();
  }
  while (!this->repeats.empty() && this->repeats.front() < begin) {
    this->repeats.pop_front();
  }
}

void WindowBudget::Earn(Instant now) {
  this->Expire(now);
  this->firsts.push_back(now);
}

double WindowBudget::Left(Instant now) {
  this->Expire(now);
  const double allowed =
      this->settings.ratio * static_cast<double>(this->firsts.size()) +
      this->settings.extra;
  return allowed - static_cast<double>(this->repeats.size());
}

bool WindowBudget::Spend(Instant now) {
  if (this->Left(now) < 1.0) {
    return false;
  }
  this->repeats.push_back(now);
  return true;
}

}  // namespace limpetlink
