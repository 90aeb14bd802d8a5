/// @file
/// @brief Directory of the registered workers.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"

namespace limpetlink {

/// @brief Registration of a worker.
struct WorkerRegistration {
  UpstreamId id;
  std::string service;
  std::string address;  ///< "ip:port"
  FailureDomainId domain;
  bool leaving = false;     ///< takes no new work
  std::uint32_t slots = 0;  ///< requests that it processes at once
  Duration warmup_left{0};  ///< remaining time in which it is slow
  /// Unix milliseconds; identifies the incarnation of the worker with this id.
  std::int64_t started_at = 0;
  /// Set while only another host said that it is leaving: when it did.
  std::optional<Instant> told_leaving_at{};
};

/// @brief When the directory delays removals.
struct WorkerDirectorySettings {
  /// Time without a response of the store, own or relayed, that counts as an
  /// outage if a call failed in it; registrations of live workers may have
  /// expired.
  Duration outage_threshold{std::chrono::seconds(2)};
  /// The same for a time without a failed call. A host that other hosts inform
  /// makes no calls for a while.
  Duration silence_threshold{std::chrono::seconds(4)};
  /// How long removals are delayed after an outage, so that live workers can
  /// register again.
  Duration removal_delay{std::chrono::milliseconds(2200)};
  /// How long departed workers are remembered; longer than a copy of the store
  /// is old.
  Duration departure_lifetime{std::chrono::seconds(60)};
};

/// @brief Stores the registrations of the workers. After an outage of the
/// store it delays removals.
class WorkerDirectory {
 public:
  explicit WorkerDirectory(WorkerDirectorySettings settings = {})
      : settings(settings) {}

  /// @brief Records a response of the store; called before its content is
  /// applied.
  void OnStoreResponse(Instant now);

  /// @brief Records a failed call to the store.
  void OnStoreFailure() { this->call_failed = true; }

  /// @brief Records a response of the store that another host relays.
  /// @param removal_delay RemovalDelay() of that host
  void OnRelayedResponse(Instant now, Duration removal_delay);

  /// @return how long removals are still delayed; 0 if they are not
  Duration RemovalDelay(Instant now) const {
    return std::max(Duration{0}, this->delay_removals_until - now);
  }

  /// @brief Delays removals after the store was restored from an older copy;
  /// live workers then register again.
  void OnStoreRestored(Instant now);

  /// @brief Adds or replaces a worker's registration.
  void Put(WorkerRegistration worker);

  /// @brief Records that a worker itself says that it is leaving, which only
  /// another host said before.
  void ConfirmLeaving(const UpstreamId& id);

  /// @brief Removes a worker's registration, after an outage with a delay.
  void Remove(Instant now, const UpstreamId& id);

  /// @brief Removes all workers that are not listed.
  void Retain(Instant now, const std::vector<UpstreamId>& listed);

  /// @return whether the removal of a worker is delayed
  bool IsRemovalDelayed(const UpstreamId& id) const {
    return this->delayed_removals.count(id) > 0;
  }

  /// @brief Executes the delayed removals that are due.
  /// @return the removed workers
  std::vector<WorkerRegistration> Tick(Instant now);

  /// @return the latest time at which Tick must be called
  Instant NextWakeup() const;

  /// @return the worker, or nullptr
  const WorkerRegistration* Find(const UpstreamId& id) const;

  /// @brief Returns whether this incarnation of a worker was removed while it
  /// was leaving. A store restored from an older copy lists it once more.
  bool HasDeparted(const UpstreamId& id, std::int64_t started_at) const;

  /// @return workers of a service that take new work, in order of their ids
  std::vector<const WorkerRegistration*> AvailableWorkers(
      const std::string& service) const;

  /// @return all workers, in order of their ids
  std::vector<const WorkerRegistration*> AllWorkers() const;

  std::size_t Size() const { return this->workers.size(); }

 private:
  struct Departure {
    std::int64_t started_at = 0;
    Instant removed_at{};
  };

  void Erase(Instant now, const UpstreamId& id);

  WorkerDirectorySettings settings;
  std::map<UpstreamId, WorkerRegistration> workers;
  std::map<UpstreamId, Instant> delayed_removals;
  std::map<UpstreamId, Departure> departed;
  Instant last_response_at{};
  bool call_failed = false;  ///< since the last response
  Instant delay_removals_until{};
};

}  // namespace limpetlink
