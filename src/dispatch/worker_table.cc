#include "dispatch/detail/worker_table.h"

#include <algorithm>

namespace limpetlink {
namespace {

constexpr Duration kMaxRebuildTime = std::chrono::seconds(5);

const std::vector<UpstreamId> kNoWorkers;

std::vector<HostId> FilterHosts(
    const HostView& view,
    const std::function<bool(const FailureDomainId&)>& predicate) {
  std::vector<HostId> result;
  for (const HostId& host : view.live) {
    const auto domain = view.domains.find(host);
    if (domain != view.domains.end() && predicate(domain->second)) {
      result.push_back(host);
    }
  }
  return result;
}

}  // namespace

WorkerTable::WorkerTable(HostId self) : self(std::move(self)) {
  this->view.live = {this->self};
}

HostId WorkerTable::Owner(const Upstream& upstream) const {
  const auto same_domain = [&](const FailureDomainId& domain) {
    return domain == upstream.failure_domain;
  };
  const auto in_domain = FilterHosts(this->view, same_domain);
  if (!in_domain.empty()) {
    return RendezvousOwner(upstream.id.value, in_domain);
  }
  const auto region = this->regions.find(upstream.failure_domain);
  const auto same_region = [&](const FailureDomainId& domain) {
    const auto it = this->regions.find(domain);
    return it != this->regions.end() && region != this->regions.end() &&
           it->second == region->second;
  };
  const auto in_region = FilterHosts(this->view, same_region);
  return RendezvousOwner(upstream.id.value,
                         in_region.empty() ? this->view.live : in_region);
}

void WorkerTable::TakeOver(Instant now, Worker& worker) {
  worker.admitter = Admitter(this->policy);
  worker.concurrency = ConcurrencyEstimate();
  worker.awaiting_announcement = {this->view.live.begin(),
                                  this->view.live.end()};
  worker.awaiting_announcement.erase(this->self);
  worker.admitter.BeginRebuild(now + kMaxRebuildTime);
  if (worker.awaiting_announcement.empty()) {
    worker.admitter.MarkAnnounced();
  }
}

void WorkerTable::Configure(Instant now, const FleetDocument& document,
                            const AdmissionPolicy& new_policy) {
  this->policy = new_policy;
  this->regions.clear();
  for (const FailureDomain& domain : document.failure_domains) {
    this->regions[domain.id] = domain.region;
  }
  std::map<UpstreamId, Worker> kept;
  for (const Upstream& upstream : document.upstreams) {
    const auto it = this->workers.find(upstream.id);
    const bool known = it != this->workers.end();
    Worker worker = known ? std::move(it->second) : Worker{};
    worker.upstream = upstream;
    const HostId previous_owner = worker.owner;
    worker.owner = this->Owner(upstream);
    if (worker.owner == this->self && previous_owner != this->self) {
      this->TakeOver(now, worker);
    }
    worker.admitter.SetPolicy(this->policy);
    kept.emplace(upstream.id, std::move(worker));
  }
  this->workers = std::move(kept);
  this->Index();
}

void WorkerTable::SetHosts(Instant now, HostView new_view) {
  this->view = std::move(new_view);
  for (auto& [id, worker] : this->workers) {
    const HostId previous_owner = worker.owner;
    worker.owner = this->Owner(worker.upstream);
    if (worker.owner == this->self && previous_owner != this->self) {
      this->TakeOver(now, worker);
    }
    for (auto it = worker.awaiting_announcement.begin();
         it != worker.awaiting_announcement.end();) {
      const bool live =
          std::find(this->view.live.begin(), this->view.live.end(), *it) !=
          this->view.live.end();
      it = live ? std::next(it) : worker.awaiting_announcement.erase(it);
    }
    if (worker.awaiting_announcement.empty()) {
      worker.admitter.MarkAnnounced();
    }
  }
  this->Index();
}

void WorkerTable::Index() {
  this->owned.clear();
  this->remote.clear();
  for (const auto& [id, worker] : this->workers) {
    auto& group = worker.owner == this->self ? this->owned : this->remote;
    group[worker.upstream.serves].push_back(id);
  }
}

bool WorkerTable::IsOwned(const UpstreamId& worker) const {
  const auto it = this->workers.find(worker);
  return it != this->workers.end() && it->second.owner == this->self;
}

const HostId& WorkerTable::OwnerOf(const UpstreamId& worker) const {
  const auto it = this->workers.find(worker);
  return it == this->workers.end() ? this->self : it->second.owner;
}

const Upstream* WorkerTable::Find(const UpstreamId& worker) const {
  const auto it = this->workers.find(worker);
  return it == this->workers.end() ? nullptr : &it->second.upstream;
}

const std::vector<UpstreamId>& WorkerTable::OwnedWorkersOf(
    const std::string& target) const {
  const auto it = this->owned.find(target);
  return it == this->owned.end() ? kNoWorkers : it->second;
}

std::vector<UpstreamId> WorkerTable::OwnedWorkers() const {
  std::vector<UpstreamId> result;
  for (const auto& [target, members] : this->owned) {
    result.insert(result.end(), members.begin(), members.end());
  }
  return result;
}

const std::vector<UpstreamId>& WorkerTable::RemoteWorkersOf(
    const std::string& target) const {
  const auto it = this->remote.find(target);
  return it == this->remote.end() ? kNoWorkers : it->second;
}

AdmissionDecision WorkerTable::Check(Instant now, const UpstreamId& worker,
                                     const Demand& demand, double share) {
  Worker& entry = this->workers.at(worker);
  if (entry.IsEngine()) {
    return entry.admitter.Check(now, demand, share);
  }
  return entry.concurrency.Check(share) ? AdmissionDecision::kAdmit
                                        : AdmissionDecision::kBatch;
}

void WorkerTable::Add(Instant now, const UpstreamId& worker,
                      const StreamKey& key, const Demand& demand,
                      std::uint32_t produced) {
  Worker& entry = this->workers.at(worker);
  if (entry.IsEngine()) {
    entry.admitter.Add(now, key, demand, produced);
  } else {
    entry.concurrency.Add(key);
  }
}

void WorkerTable::RecordProduced(Instant now, const UpstreamId& worker,
                                 const StreamKey& key, std::uint32_t tokens) {
  const auto it = this->workers.find(worker);
  if (it != this->workers.end() && it->second.IsEngine()) {
    it->second.admitter.RecordProduced(now, key, tokens);
  }
}

bool WorkerTable::Remove(const UpstreamId& worker, const StreamKey& key) {
  const auto it = this->workers.find(worker);
  if (it == this->workers.end()) {
    return false;
  }
  return it->second.IsEngine() ? it->second.admitter.Remove(key)
                               : it->second.concurrency.Remove(key);
}

void WorkerTable::RemoveHolder(const HostId& holder) {
  for (auto& [id, worker] : this->workers) {
    worker.admitter.RemoveHolder(holder);
    worker.concurrency.RemoveHolder(holder);
  }
}

void WorkerTable::Report(Instant now, const UpstreamId& worker,
                         const EngineLoad& load) {
  const auto it = this->workers.find(worker);
  if (it == this->workers.end()) {
    return;
  }
  if (it->second.IsEngine()) {
    it->second.admitter.Report(now, load);
  } else {
    it->second.concurrency.Report(load.running, load.waiting);
  }
}

void WorkerTable::ObserveVerdict(const std::string& target,
                                 const Demand& demand, double waiting) {
  const std::vector<UpstreamId>& members = this->OwnedWorkersOf(target);
  const double count = static_cast<double>(members.size());
  double in_progress = waiting + 1;
  for (const UpstreamId& id : members) {
    in_progress += this->workers.at(id).admitter.Verdicts();
  }
  for (const UpstreamId& id : members) {
    this->workers.at(id).admitter.ObserveVerdict(demand, in_progress / count);
  }
}

void WorkerTable::RecordAnnouncement(const HostId& from) {
  for (auto& [id, worker] : this->workers) {
    const bool awaited = worker.awaiting_announcement.erase(from) != 0;
    if (awaited && worker.awaiting_announcement.empty()) {
      worker.admitter.MarkAnnounced();
    }
  }
}

double WorkerTable::Utilisation(const UpstreamId& worker) const {
  const auto it = this->workers.find(worker);
  if (it == this->workers.end()) {
    return 0;
  }
  return it->second.IsEngine() ? it->second.admitter.Utilisation()
                               : it->second.concurrency.Utilisation();
}

}  // namespace limpetlink
