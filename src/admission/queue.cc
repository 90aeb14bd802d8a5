#include "admission/detail/queue.h"

#include <algorithm>
#include <cmath>

namespace limpetlink {
namespace {

constexpr double kMemorySeconds = 10.0;  // of busy time that the rate covers
constexpr double kEnoughSeconds = 1.0;

}  // namespace

void DrainRate::Begin(Instant now) { this->last = now; }

void DrainRate::Observe(Instant now) {
  const double passed = ToSeconds(now - this->last);
  const double keep = std::exp(-passed / kMemorySeconds);
  this->count = this->count * keep + 1.0;
  this->seconds = this->seconds * keep + passed;
  this->last = now;
}

double DrainRate::PerSecond(Instant now) const {
  const double passed = ToSeconds(now - this->last);
  const double keep = std::exp(-passed / kMemorySeconds);
  const double busy = this->seconds * keep + passed;
  return busy < kEnoughSeconds ? 0.0 : this->count * keep / busy;
}

void WaitQueue::Push(Instant now, const OrganisationId& organisation,
                     Ticket ticket) {
  if (this->size == 0) {
    this->drain.Begin(now);
  }
  this->lines[organisation].push_back(ticket);
  ++this->size;
}

bool WaitQueue::Erase(Instant now, const OrganisationId& organisation,
                      Ticket ticket, bool served) {
  const auto line = this->lines.find(organisation);
  if (line == this->lines.end()) {
    return false;
  }
  auto& requests = line->second;
  const auto it = std::find(requests.begin(), requests.end(), ticket);
  if (it == requests.end()) {
    return false;
  }
  requests.erase(it);
  --this->size;
  if (requests.empty()) {
    this->lines.erase(line);
  }
  if (served) {
    this->drain.Observe(now);
  }
  return true;
}

std::vector<OrganisationId> WaitQueue::Organisations() const {
  std::vector<OrganisationId> result;
  for (const auto& [organisation, line] : this->lines) {
    result.push_back(organisation);
  }
  return result;
}

std::optional<Ticket> WaitQueue::Head(
    const OrganisationId& organisation) const {
  const auto line = this->lines.find(organisation);
  return line == this->lines.end() ? std::nullopt
                                   : std::optional(line->second.front());
}

std::size_t WaitQueue::Line(const OrganisationId& organisation) const {
  const auto line = this->lines.find(organisation);
  return line == this->lines.end() ? 0 : line->second.size();
}

std::size_t WaitQueue::Position(const OrganisationId& organisation,
                                Ticket ticket) const {
  const auto line = this->lines.find(organisation);
  if (line == this->lines.end()) {
    return 0;
  }
  const auto& requests = line->second;
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
