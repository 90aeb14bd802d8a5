#include <algorithm>
#include <utility>

#include "discovery/discovery.h"

namespace limpetlink {

void WorkerDirectory::OnStoreResponse(Instant now) {
  const bool had_contact = this->last_contact != Instant{};
  if (had_contact &&
      now - this->last_contact >= this->settings.outage_threshold) {
    this->hold_until = now + this->settings.removal_delay;
  }
  this->last_contact = now;
}

void WorkerDirectory::Put(WorkerRegistration worker) {
  this->held_removals.erase(worker.id);
  const UpstreamId id = worker.id;
  this->workers[id] = std::move(worker);
}

void WorkerDirectory::Remove(Instant now, const UpstreamId& id) {
  if (now < this->hold_until) {
    this->held_removals.emplace(id, this->hold_until);
    return;
  }
  this->workers.erase(id);
  this->held_removals.erase(id);
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

void WorkerDirectory::Tick(Instant now) {
  for (auto it = this->held_removals.begin();
       it != this->held_removals.end();) {
    if (it->second > now) {
      ++it;
      continue;
    }
    this->workers.erase(it->first);
    it = this->held_removals.erase(it);
  }
}

Instant WorkerDirectory::NextWakeup() const {
  Instant next = kNever;
  for (const auto& [id, due] : this->held_removals) {
    next = std::min(next, due);
  }
  return next;
}

const WorkerRegistration* WorkerDirectory::Find(const UpstreamId& id) const {
  const auto found = this->workers.find(id);
  return found == this->workers.end() ? nullptr : &found->second;
}

std::vector<const WorkerRegistration*> WorkerDirectory::AvailableWorkers(
    const std::string& service) const {
  std::vector<const WorkerRegistration*> open;
  for (const auto& [id, worker] : this->workers) {
    if (worker.service == service && !worker.leaving) {
      open.push_back(&worker);
    }
  }
  return open;
}

}  // namespace limpetlink
