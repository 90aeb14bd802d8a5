#include "retries/retries.h"

namespace limpetlink {

void WindowBudget::Expire(Instant now) {
  const Instant begin = now - this->settings.window;
  while (!this->requests.empty() && this->requests.front() < begin) {
    this->requests.pop_front();
  }
  while (!this->retries.empty() && this->retries.front() < begin) {
    this->retries.pop_front();
  }
}

void WindowBudget::Earn(Instant now) {
  this->Expire(now);
  this->requests.push_back(now);
}

double WindowBudget::Left(Instant now) {
  this->Expire(now);
  const double allowed =
      this->settings.ratio * static_cast<double>(this->requests.size()) +
      this->settings.extra;
  return allowed - static_cast<double>(this->retries.size());
}

bool WindowBudget::Spend(Instant now) {
  if (this->Left(now) < 1.0) {
    return false;
  }
  this->retries.push_back(now);
  return true;
}

}  // namespace limpetlink
