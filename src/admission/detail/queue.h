/// @file
/// @brief Queues of requests that wait for a worker of one target.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "base/base.h"
#include "fleet/fleet.h"

namespace limpetlink {

/// @brief A host's number for one attempt to place a request; never reused.
using Ticket = NumberId<struct TicketTag>;

/// @brief Estimates how fast a queue drains.
class DrainRate {
 public:
  /// @brief Records a departure from the queue.
  void Observe(Instant now);

  /// @brief Starts a busy period when a request joins an empty queue.
  void BeginBusyPeriod(Instant now);

  /// @return departures per second; 0 while unknown
  double PerSecond(Instant now) const;

 private:
  double count = 0;
  double seconds = 0;
  Instant last;
};

/// @brief Queue of one request class, with a FIFO queue for each organisation;
/// the caller chooses which organisation is served next.
class WaitQueue {
 public:
  /// @brief Appends a request to its organisation's queue.
  void Push(Instant now, const OrganisationId& organisation, Ticket ticket);

  /// @brief Removes a request from any position.
  /// @param served whether it goes to a worker, which counts towards the drain
  /// rate
  /// @return whether it was queued
  bool Erase(Instant now, const OrganisationId& organisation, Ticket ticket,
             bool served);

  /// @return organisations with waiting requests, sorted by name
  std::vector<OrganisationId> Organisations() const;

  /// @return the first request in an organisation's queue, or nothing
  std::optional<Ticket> Front(const OrganisationId& organisation) const;

  /// @return number of waiting requests
  std::size_t Size() const { return this->size; }

  /// @return number of an organisation's waiting requests
  std::size_t QueueLength(const OrganisationId& organisation) const;

  /// @return number of requests ahead of a request in its organisation's queue;
  /// the queue's length if the request is not queued
  /// @note Complexity: linear in the queue's length.
  std::size_t Position(const OrganisationId& organisation, Ticket ticket) const;

  /// @return number of organisations with waiting requests
  std::size_t OrganisationCount() const { return this->queues.size(); }

  /// @brief Estimates the wait of a request with `ahead` requests before it.
  /// @return the estimate, or nothing while the drain rate is unknown
  std::optional<Duration> ExpectedWait(Instant now, std::size_t ahead) const;

 private:
  std::map<OrganisationId, std::deque<Ticket>> queues;
  std::size_t size = 0;
  DrainRate drain;
};

}  // namespace limpetlink
