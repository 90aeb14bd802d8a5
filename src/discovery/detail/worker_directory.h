/// @file
/// @brief The workers that have registered, by service.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/base.h"

namespace limpetlink {

/// @brief What a worker says of itself.
struct WorkerRegistration {
  UpstreamId id;
  std::string service;
  std::string address;  ///< "ip:port"
  FailureDomainId domain;
  bool leaving = false;         ///< takes no new work
  std::uint32_t slots = 0;      ///< requests that it works on at once
  Duration warmup_left{0};      ///< slow until then
  std::int64_t started_at = 0;  ///< Unix milliseconds; another value under the
                                ///< same id is another start
};

/// @brief How far the directory trusts a removal.
struct WorkerDirectorySettings {
  /// A gap in contact with the store from which on it counts as an
  /// outage_threshold; registrations may have lapsed in it though their workers
  /// live.
  Duration outage_threshold{std::chrono::seconds(2)};
  /// How long after an outage_threshold's end a removal is held back.
  Duration removal_delay{std::chrono::milliseconds(2200)};
};

/// @brief Keeps the registrations and says what changed about each.
class WorkerDirectory {
 public:
  explicit WorkerDirectory(WorkerDirectorySettings settings = {})
      : settings(settings) {}

  /// @brief The store answered; called before what it said is taken in.
  void OnStoreResponse(Instant now);

  /// @brief Takes a worker's registration.
  void Put(WorkerRegistration worker);

  /// @brief A worker's registration was removed.
  void Remove(Instant now, const UpstreamId& id);

  /// @brief Removes all workers that are not named.
  void Retain(Instant now, const std::vector<UpstreamId>& listed);

  /// @brief Carries held removals out that are due.
  void Tick(Instant now);

  /// @return when Tick is due
  Instant NextWakeup() const;

  /// @return the worker, or nullptr
  const WorkerRegistration* Find(const UpstreamId& id) const;

  /// @return workers of a service that take new work, in order of their ids
  std::vector<const WorkerRegistration*> AvailableWorkers(
      const std::string& service) const;

  std::size_t Size() const { return this->workers.size(); }

 private:
  WorkerDirectorySettings settings;
  std::map<UpstreamId, WorkerRegistration> workers;
  std::map<UpstreamId, Instant> held_removals;
  Instant last_contact{};
  Instant hold_until{};
};

}  // namespace limpetlink
