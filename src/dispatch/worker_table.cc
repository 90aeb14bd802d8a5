#include "dispatch/detail/worker_table.h"

#include <algorithm>

namespace limpetlink {
namespace {

constexpr Duration kRebuildBound = std::chrono::seconds(5);

const std::vector<UpstreamId> kNoWorkers;

std::vector<HostId> Among(
    const HostView& view,
    const std::function<bool(const FailureDomainId&)>& fits) {
  std::vector<HostId> result;
  for (const HostId& host : view.live) {
    const auto domain = view.domains.find(host);
    if (domain != view.domains.end() && fits(domain->second)) {
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
  const auto near = Among(this->view, same_domain);
  if (!near.empty()) {
    return RendezvousOwner(upstream.id.value, near);
  }
  const auto region = this->regions.find(upstream.failure_domain);
  const auto same_region = [&](const FailureDomainId& domain) {
    const auto it = this->regions.find(domain);
    return it != this->regions.end() && region != this->regions.end() &&
           it->second == region->second;
  };
  const auto around = Among(this->view, same_region);
  return RendezvousOwner(upstream.id.value,
                         around.empty() ? this->view.live : around);
}

void WorkerTable::TakeOver(Instant now, Worker& worker) {
  worker.admitter = Admitter(this->policy);
  worker.concurrency = ConcurrencyEstimate();
  worker.unannounced = {this->view.live.begin(), this->view.live.end()};
  worker.unannounced.erase(this->self);
  worker.admitter.Rebuild(now + kRebuildBound);
  if (worker.unannounced.empty()) {
    worker.admitter.Announced();
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
    const HostId before = worker.owner;
    worker.owner = this->Owner(upstream);
    if (worker.owner == this->self && before != this->self) {
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
    const HostId before = worker.owner;
    worker.owner = this->Owner(worker.upstream);
    if (worker.owner == this->self && before != this->self) {
      this->TakeOver(now, worker);
    }
    for (auto it = worker.unannounced.begin();
         it != worker.unannounced.end();) {
      const bool live =
          std::find(this->view.live.begin(), this->view.live.end(), *it) !=
          this->view.live.end();
      it = live ? std::next(it) : worker.unannounced.erase(it);
    }
    if (worker.unannounced.empty()) {
      worker.admitter.Announced();
    }
  }
  this->Index();
}

void WorkerTable::Index() {
  this->mine.clear();
  this->others.clear();
  for (const auto& [id, worker] : this->workers) {
    auto& group = worker.owner == this->self ? this->mine : this->others;
    group[worker.upstream.serves].push_back(id);
  }
}

bool WorkerTable::Mine(const UpstreamId& worker) const {
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

const std::vector<UpstreamId>& WorkerTable::MineOf(
    const std::string& target) const {
  const auto it = this->mine.find(target);
  return it == this->mine.end() ? kNoWorkers : it->second;
}

std::vector<UpstreamId> WorkerTable::AllMine() const {
  std::vector<UpstreamId> result;
  for (const auto& [target, members] : this->mine) {
    result.insert(result.end(), members.begin(), members.end());
  }
  return result;
}

const std::vector<UpstreamId>& WorkerTable::OthersOf(
    const std::string& target) const {
  const auto it = this->others.find(target);
  return it == this->others.end() ? kNoWorkers : it->second;
}

AdmissionAnswer WorkerTable::Check(Instant now, const UpstreamId& worker,
                                   const Demand& demand, double share) {
  Worker& entry = this->workers.at(worker);
  if (entry.Engine()) {
    return entry.admitter.Check(now, demand, share);
  }
  return entry.concurrency.Check(share) ? AdmissionAnswer::kAdmit
                                        : AdmissionAnswer::kBatch;
}

void WorkerTable::Add(Instant now, const UpstreamId& worker,
                      const StreamKey& key, const Demand& demand,
                      std::uint32_t produced) {
  Worker& entry = this->workers.at(worker);
  if (entry.Engine()) {
    entry.admitter.Add(now, key, demand, produced);
  } else {
    entry.concurrency.Add(key);
  }
}

void WorkerTable::Produced(Instant now, const UpstreamId& worker,
                           const StreamKey& key, std::uint32_t tokens) {
  const auto it = this->workers.find(worker);
  if (it != this->workers.end() && it->second.Engine()) {
    it->second.admitter.Produced(now, key, tokens);
  }
}

bool WorkerTable::Remove(const UpstreamId& worker, const StreamKey& key) {
  const auto it = this->workers.find(worker);
  if (it == this->workers.end()) {
    return false;
  }
  return it->second.Engine() ? it->second.admitter.Remove(key)
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
  if (it->second.Engine()) {
    it->second.admitter.Report(now, load);
  } else {
    it->second.concurrency.Report(load.running, load.waiting);
  }
}

void WorkerTable::ObserveVerdict(const std::string& target,
                                 const Demand& demand, double waiting) {
  const std::vector<UpstreamId>& members = this->MineOf(target);
  const double count = static_cast<double>(members.size());
  double in_progress = waiting + 1;
  for (const UpstreamId& id : members) {
    in_progress += this->workers.at(id).admitter.Verdicts();
  }
  for (const UpstreamId& id : members) {
    this->workers.at(id).admitter.ObserveVerdict(demand, in_progress / count);
  }
}

void WorkerTable::Announced(const HostId& from) {
  for (auto& [id, worker] : this->workers) {
    const bool awaited = worker.unannounced.erase(from) != 0;
    if (awaited && worker.unannounced.empty()) {
      worker.admitter.Announced();
    }
  }
}

double WorkerTable::Fill(const UpstreamId& worker) const {
  const auto it = this->workers.find(worker);
  if (it == this->workers.end()) {
    return 0;
  }
  return it->second.Engine() ? it->second.admitter.Fill()
                             : it->second.concurrency.Fill();
}

}  // namespace limpetlink
