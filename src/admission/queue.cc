#include "admission/detail/queue.h"

#include <algorithm>
#include <cmath>

namespace limpetlink {
namespace {

// Time constant of the estimate, in seconds of busy time.
constexpr double kTimeConstantSeconds = 10.0;
constexpr double kMinObservedSeconds = 1.0;

}  // namespace

void DrainRate::BeginBusyPeriod(Instant now) { this->last = now; }

void DrainRate::Observe(Instant now) {
  const double elapsed = ToSeconds(now - this->last);
  const double decay = std::exp(-elapsed / kTimeConstantSeconds);
  this->count = this->count * decay + 1.0;
  this->seconds = this->seconds * decay + elapsed;
  this->last = now;
}

double DrainRate::PerSecond(Instant now) const {
  const double elapsed = ToSeconds(now - this->last);
  const double decay = std::exp(-elapsed / kTimeConstantSeconds);
  const double busy = this->seconds * decay + elapsed;
  return busy < kMinObservedSeconds ? 0.0 : this->count * decay / busy;
}

void WaitQueue::Push(Instant now, const OrganisationId& organisation,
                     Ticket ticket) {
  if (this->size == 0) {
    this->drain.BeginBusyPeriod(now);
  }
  this->queues[organisation].push_back(ticket);
  ++this->size;
}

bool WaitQueue::Erase(Instant now, const OrganisationId& organisation,
                      Ticket ticket, bool served) {
  const auto queue = this->queues.find(organisation);
  if (queue == this->queues.end()) {
    return false;
  }
  auto& requests = queue->second;
  const auto it = std::find(requests.begin(), requests.end(), ticket);
  if (it == requests.end()) {
    return false;
  }
  requests.erase(it);
  --this->size;
  if (requests.empty()) {
    this->queues.erase(queue);
  }
  if (served) {
    this->drain.Observe(now);
  }
  return true;
}

std::vector<OrganisationId> WaitQueue::Organisations() const {
  std::vector<OrganisationId> result;
  for (const auto& [organisation, queue] : this->queues) {
    result.push_back(organisation);
  }
  return result;
}

std::optional<Ticket> WaitQueue::Front(
    const OrganisationId& organisation) const {
  const auto queue = this->queues.find(organisation);
  return queue == this->queues.end() ? std::nullopt
                                     : std::optional(queue->second.front());
}

std::size_t WaitQueue::QueueLength(const OrganisationId& organisation) const {
  const auto queue = this->queues.find(organisation);
  return queue == this->queues.end() ? 0 : queue->second.size();
}

std::size_t WaitQueue::Position(const OrganisationId& organisation,
                                Ticket ticket) const {
  const auto queue = this->queues.find(organisation);
  if (queue == this->queues.end()) {
    return 0;
  }
  const auto& requests = queue->second;
  const auto it = std::find(requests.begin(), requests.end(), ticket);
  return static_cast<std::size_t>(it - requests.begin());
}

std::optional<Duration> WaitQueue::ExpectedWait(Instant now,
                                                std::size_t ahead) const {
  const double rate = this->drain.PerSecond(now);
  if (rate <= 0) {
    return std::nullopt;
  }
  return FromSeconds(static_cast<double>(ahead) / rate);
}

}  // namespace limpetlink
