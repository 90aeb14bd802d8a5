/// @file
/// @brief Requests that wait for a worker of one target.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "base/base.h"
#include "fleet/fleet.h"

namespace limpetlink {

/// @brief A host's own number for an attempt to get a request placed; never
/// used again.
using Ticket = NumberId<struct TicketTag>;

/// @brief Learns how fast a queue drains.
class DrainRate {
 public:
  /// @brief Counts departures of a queue that was not empty.
  void Observe(Instant now);

  /// @brief Starts a busy time: the queue was empty before.
  void BeginBusyPeriod(Instant now);

  /// @return departures a second; 0 while unknown
  double PerSecond(Instant now) const;

 private:
  double count = 0;
  double seconds = 0;
  Instant last;
};

/// @brief Queue of one class with a line for each organisation; which
/// organisation is next is the caller's choice.
class WaitQueue {
 public:
  /// @brief Appends a request to its organisation's line.
  void Push(Instant now, const OrganisationId& organisation, Ticket ticket);

  /// @brief Takes a request out wherever it stands.
  /// @param served whether it goes to a worker, which counts as drained
  /// @return whether it was there
  bool Erase(Instant now, const OrganisationId& organisation, Ticket ticket,
             bool served);

  /// @return organisations with someone waiting, in order of their names
  std::vector<OrganisationId> Organisations() const;

  /// @return the first in an organisation's line, or nothing
  std::optional<Ticket> Front(const OrganisationId& organisation) const;

  /// @return requests waiting
  std::size_t Size() const { return this->size; }

  /// @return requests of an organisation waiting
  std::size_t QueueLength(const OrganisationId& organisation) const;

  /// @return how many stand before a request in its organisation's line; the
  /// line's length for one that is not there
  /// @note Complexity: linear in the line.
  std::size_t Position(const OrganisationId& organisation, Ticket ticket) const;

  /// @return organisations with someone waiting
  std::size_t OrganisationCount() const { return this->queues.size(); }

  /// @brief Estimates how long a request waits that has `ahead` before it.
  /// @return the estimate, or nothing while no drain rate is known
  std::optional<Duration> ExpectedWait(Instant now, std::size_t ahead) const;

 private:
  std::map<OrganisationId, std::deque<Ticket>> queues;
  std::size_t size = 0;
  DrainRate drain;
};

}  // namespace limpetlink
