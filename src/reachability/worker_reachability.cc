#include <algorithm>

#include "reachability/reachability.h"

namespace limpetlink {

WorkerReachability::Entry& WorkerReachability::NoteFailure(
    Instant now, const UpstreamId& worker) {
  const auto [found, inserted] = this->unreachable.try_emplace(worker);
  Entry& entry = found->second;
  if (inserted) {
    const auto returned = this->returned_at.find(worker);
    const bool unstable = returned != this->returned_at.end() &&
                          now - returned->second < this->settings.unstable;
    entry.missing_probes = unstable ? this->settings.repeated_probes : 1;
    entry.next_probe = now + this->settings.first_probe_delay;
  }
  this->last_failed = worker;
  if (!this->cut_off) {
    this->next_comparison =
        std::min(this->next_comparison,
                 std::max(now, this->last_comparison +
                                   this->settings.comparison_interval));
  }
  return entry;
}

void WorkerReachability::OnConnectFailed(Instant now,
                                         const UpstreamId& worker) {
  this->NoteFailure(now, worker);
  this->UpdateCutOff(now);
}

void WorkerReachability::OnProbeFailed(Instant now, const UpstreamId& worker) {
  this->probing.erase(worker);
  if (this->comparisons.erase(worker) > 0) {
    ++this->failed_comparisons;
  }
  Entry& entry = this->NoteFailure(now, worker);
  entry.confirmed = true;
  entry.next_probe = now + this->settings.probe_interval;
  this->UpdateCutOff(now);
}

void WorkerReachability::OnProbeSucceeded(Instant now,
                                          const UpstreamId& worker) {
  this->probing.erase(worker);
  this->comparisons.erase(worker);
  this->last_success = now;
  this->failed_comparisons = 0;
  if (std::exchange(this->cut_off, false)) {
    for (auto& [id, entry] : this->unreachable) {
      entry.next_probe = now;
    }
  }
  const auto found = this->unreachable.find(worker);
  if (found == this->unreachable.end()) {
    return;
  }
  if (--found->second.missing_probes > 0) {
    found->second.next_probe = now + this->settings.first_probe_delay;
    return;
  }
  this->unreachable.erase(found);
  this->returned_at[worker] = now;
}

void WorkerReachability::Suspect(Instant now, const UpstreamId& worker) {
  const auto last = this->suspected_at.find(worker);
  const bool recent = last != this->suspected_at.end() &&
                      now - last->second < this->settings.suspicion_interval;
  if (recent || this->cut_off || this->unreachable.count(worker) > 0) {
    return;
  }
  this->suspected_at[worker] = now;
  this->suspects.insert(worker);
}

void WorkerReachability::Remove(const UpstreamId& worker) {
  this->unreachable.erase(worker);
  this->returned_at.erase(worker);
  this->suspected_at.erase(worker);
  this->suspects.erase(worker);
  this->probing.erase(worker);
  this->comparisons.erase(worker);
  this->domains.erase(worker);
  if (this->unreachable.empty()) {
    this->cut_off = false;
  }
}

std::vector<UpstreamId> WorkerReachability::Unreachable() const {
  std::vector<UpstreamId> workers;
  for (const auto& [worker, entry] : this->unreachable) {
    workers.push_back(worker);
  }
  return workers;
}

void WorkerReachability::UpdateCutOff(Instant now) {
  const bool succeeded =
      this->last_success.has_value() &&
      now - *this->last_success < this->settings.success_lifetime;
  if (this->cut_off || succeeded) {
    return;
  }
  std::set<FailureDomainId> all_domains;
  std::set<FailureDomainId> unreachable_domains;
  for (const auto& [worker, domain] : this->domains) {
    all_domains.insert(domain);
    if (this->unreachable.count(worker) > 0) {
      unreachable_domains.insert(domain);
    }
  }
  const std::size_t workers = this->domains.size();
  const std::size_t others = workers - std::min(workers, std::size_t{1});
  this->cut_off =
      workers > 0 &&
      this->unreachable.size() >=
          std::min(this->settings.min_unreachable, workers) &&
      unreachable_domains.size() >=
          std::min(this->settings.min_domains, all_domains.size()) &&
      this->failed_comparisons >=
          std::min(this->settings.min_failed_comparisons, others);
}

std::vector<UpstreamId> WorkerReachability::SelectComparisons(
    const std::vector<ProbeCandidate>& candidates) const {
  const auto failed = std::find_if(
      candidates.begin(), candidates.end(),
      [this](const auto& each) { return each.worker == this->last_failed; });
  std::vector<const ProbeCandidate*> order;
  for (const ProbeCandidate& each : candidates) {
    if (this->IsReachable(each.worker) &&
        this->probing.count(each.worker) == 0) {
      order.push_back(&each);
    }
  }
  const auto likeness = [&](const ProbeCandidate* each) {
    return failed == candidates.end()
               ? 0
               : (each->service == failed->service ? 2 : 0) +
                     (each->domain == failed->domain ? 1 : 0);
  };
  std::stable_sort(order.begin(), order.end(),
                   [&](const ProbeCandidate* a, const ProbeCandidate* b) {
                     return likeness(a) < likeness(b);
                   });
  std::vector<UpstreamId> selected;
  if (!order.empty()) {
    selected.push_back(order.front()->worker);
  }
  // The second one is the most alike: it tells whether a whole service or
  // domain is unreachable.
  if (order.size() > 1) {
    selected.push_back(order.back()->worker);
  }
  return selected;
}

std::vector<UpstreamId> WorkerReachability::TakeDueProbes(
    Instant now, const std::vector<ProbeCandidate>& candidates) {
  this->domains.clear();
  for (const ProbeCandidate& each : candidates) {
    this->domains[each.worker] = each.domain;
  }
  std::vector<UpstreamId> due;
  const auto start = [&](const UpstreamId& worker) {
    const bool starts =
        this->probing.size()<this->settings.max_running_probes&& this->domains
                                 .count(worker)> 0 &&
        this->probing.insert(worker).second;
    if (starts) {
      due.push_back(worker);
    }
    return starts;
  };
  for (auto& [worker, entry] : this->unreachable) {
    if (entry.next_probe <= now) {
      entry.next_probe = now + this->settings.probe_interval;
      start(worker);
    }
  }
  for (const UpstreamId& worker : std::exchange(this->suspects, {})) {
    start(worker);
  }
  if (this->next_comparison <= now) {
    this->next_comparison = kNever;
    this->last_comparison = now;
    for (const UpstreamId& worker : this->SelectComparisons(candidates)) {
      if (start(worker)) {
        this->comparisons.insert(worker);
      }
    }
  }
  return due;
}

Instant WorkerReachability::NextWakeup() const {
  if (!this->suspects.empty()) {
    return Instant{};
  }
  Instant next = this->next_comparison;
  for (const auto& [worker, entry] : this->unreachable) {
    next = std::min(next, entry.next_probe);
  }
  return next;
}

}  // namespace limpetlink
