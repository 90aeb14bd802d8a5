#include <algorithm>
#include <iterator>
#include <utility>

#include "discovery/discovery.h"

namespace limpetlink {

void WorkerDirectory::OnStoreResponse(Instant now) {
  const bool contacted_before = this->last_response_at != Instant{};
  const Duration threshold = this->call_failed
                                 ? this->settings.outage_threshold
                                 : this->settings.silence_threshold;
  if (contacted_before && now - this->last_response_at >= threshold) {
    this->delay_removals_until = now + this->settings.removal_delay;
  }
  this->last_response_at = now;
  this->call_failed = false;
}

void WorkerDirectory::OnRelayedResponse(Instant now, Duration removal_delay) {
  this->last_response_at = now;
  this->delay_removals_until =
      std::max(this->delay_removals_until, now + removal_delay);
}

void WorkerDirectory::OnStoreRestored(Instant now) {
  this->delay_removals_until = now + this->settings.removal_delay;
}

void WorkerDirectory::Put(WorkerRegistration worker) {
  this->delayed_removals.erase(worker.id);
  const UpstreamId id = worker.id;
  this->workers[id] = std::move(worker);
}

void WorkerDirectory::ConfirmLeaving(const UpstreamId& id) {
  const auto found = this->workers.find(id);
  if (found != this->workers.end()) {
    found->second.told_leaving_at.reset();
  }
}

void WorkerDirectory::Remove(Instant now, const UpstreamId& id) {
  if (now < this->delay_removals_until) {
    this->delayed_removals.emplace(id, this->delay_removals_until);
    return;
  }
  this->Erase(now, id);
  this->delayed_removals.erase(id);
}

void WorkerDirectory::Erase(Instant now, const UpstreamId& id) {
  const auto found = this->workers.find(id);
  if (found == this->workers.end()) {
    return;
  }
  // Without the time of its start an incarnation cannot be recognized.
  // What another host said may have been a registration that expired.
  const bool left =
      found->second.leaving && !found->second.told_leaving_at.has_value();
  if (left && found->second.started_at != 0) {
    for (auto it = this->departed.begin(); it != this->departed.end();) {
      it = now - it->second.removed_at > this->settings.departure_lifetime
               ? this->departed.erase(it)
               : std::next(it);
    }
    this->departed[id] = {found->second.started_at, now};
  }
  this->workers.erase(found);
}

bool WorkerDirectory::HasDeparted(const UpstreamId& id,
                                  std::int64_t started_at) const {
  const auto found = this->departed.find(id);
  return found != this->departed.end() &&
         found->second.started_at == started_at;
}

void WorkerDirectory::Retain(Instant now,
                             const std::vector<UpstreamId>& listed) {
  std::vector<UpstreamId> missing;
  for (const auto& [id, worker] : this->workers) {
    if (std::find(listed.begin(), listed.end(), id) == listed.end()) {
      missing.push_back(id);
    }
  }
  for (const UpstreamId& id : missing) {
    this->Remove(now, id);
  }
}

std::vector<WorkerRegistration> WorkerDirectory::Tick(Instant now) {
  std::vector<WorkerRegistration> removed;
  for (auto it = this->delayed_removals.begin();
       it != this->delayed_removals.end();) {
    if (it->second > now) {
      ++it;
      continue;
    }
    if (const WorkerRegistration* worker = this->Find(it->first)) {
      removed.push_back(*worker);
    }
    this->Erase(now, it->first);
    it = this->delayed_removals.erase(it);
  }
  return removed;
}

Instant WorkerDirectory::NextWakeup() const {
  Instant next = kNever;
  for (const auto& [id, due] : this->delayed_removals) {
    next = std::min(next, due);
  }
  return next;
}

const WorkerRegistration* WorkerDirectory::Find(const UpstreamId& id) const {
  const auto found = this->workers.find(id);
  return found == this->workers.end() ? nullptr : &found->second;
}

std::vector<const WorkerRegistration*> WorkerDirectory::AllWorkers() const {
  std::vector<const WorkerRegistration*> all;
  for (const auto& [id, worker] : this->workers) {
    all.push_back(&worker);
  }
  return all;
}

std::vector<const WorkerRegistration*> WorkerDirectory::AvailableWorkers(
    const std::string& service) const {
  std::vector<const WorkerRegistration*> available;
  for (const auto& [id, worker] : this->workers) {
    if (worker.service == service && !worker.leaving) {
      available.push_back(&worker);
    }
  }
  return available;
}

}  // namespace limpetlink
