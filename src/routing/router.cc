#include "routing/detail/router.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace limpetlink {
namespace {

const std::vector<UpstreamId> kNoWorkers;

constexpr double kLoadSteps = 8;  // loads are compared in steps of 1/8

std::string RegionOf(const FleetDocument& document, const FailureDomainId& id) {
  for (const FailureDomain& domain : document.failure_domains) {
    if (domain.id == id) {
      return domain.region;
    }
  }
  return {};
}

// A cached prefix saves prompt processing but must not outweigh the load of a
// crowded worker.
double RankingCost(const RankedWorker& worker) {
  const double cached = std::min(worker.cached_tokens, 1024U) / 1024.0;
  return std::floor(worker.load * kLoadSteps) / kLoadSteps - cached;
}

bool RanksBefore(const RankedWorker& a, const RankedWorker& b) {
  const double cost_a = RankingCost(a);
  const double cost_b = RankingCost(b);
  return std::tie(a.distance, cost_a, a.load, a.worker) <
         std::tie(b.distance, cost_b, b.load, b.worker);
}

}  // namespace

Router::Router(FailureDomainId failure_domain)
    : failure_domain(std::move(failure_domain)) {}

void Router::Configure(const FleetDocument& document) {
  std::map<UpstreamId, WorkerState> retained;
  this->targets.clear();
  const std::string own_region = RegionOf(document, this->failure_domain);
  for (const Upstream& upstream : document.upstreams) {
    const auto it = this->workers.find(upstream.id);
    WorkerState state =
        it == this->workers.end() ? WorkerState{} : std::move(it->second);
    if (upstream.failure_domain == this->failure_domain) {
      state.distance = Distance::kSameDomain;
    } else {
      const bool same =
          RegionOf(document, upstream.failure_domain) == own_region;
      state.distance = same ? Distance::kSameRegion : Distance::kOtherRegion;
    }
    retained.emplace(upstream.id, std::move(state));
    this->targets[upstream.serves].push_back(upstream.id);
  }
  for (auto& [target, members] : this->targets) {
    std::sort(members.begin(), members.end());
  }
  this->workers = std::move(retained);
}

bool Router::IgnoreEjections(Instant now,
                             const std::vector<UpstreamId>& members) const {
  std::size_t ejected = 0;
  for (const UpstreamId& member : members) {
    ejected += this->workers.at(member).health.Ejected(now) ? 1 : 0;
  }
  return ejected * 2 > members.size();
}

std::vector<RankedWorker> Router::Rank(
    Instant now, const std::vector<UpstreamId>& candidates,
    const std::vector<std::uint64_t>& blocks,
    const std::vector<UpstreamId>& excluded,
    const std::function<double(const UpstreamId&)>& load) const {
  const bool ignore_ejections = this->IgnoreEjections(now, candidates);
  std::vector<RankedWorker> ranked;
  ranked.reserve(candidates.size());
  for (const UpstreamId& member : candidates) {
    const WorkerState& state = this->workers.at(member);
    const bool is_excluded =
        std::find(excluded.begin(), excluded.end(), member) != excluded.end();
    const bool ejected = state.health.Ejected(now) && !ignore_ejections;
    if (is_excluded || ejected || state.health.IsLeaving(now)) {
      continue;
    }
    RankedWorker worker;
    worker.worker = member;
    worker.distance = state.distance;
    worker.cached_tokens =
        state.prefixes.CountLeading(blocks) * kPrefixBlockTokens;
    worker.load = load(member);
    worker.usable_fraction = state.health.UsableFraction(now);
    ranked.push_back(std::move(worker));
  }
  std::sort(ranked.begin(), ranked.end(), RanksBefore);
  return ranked;
}

bool Router::AnyAvailable(Instant now,
                          const std::vector<UpstreamId>& candidates,
                          const std::vector<UpstreamId>& excluded) const {
  const auto is_available = [&](const UpstreamId& id) {
    const bool is_excluded =
        std::find(excluded.begin(), excluded.end(), id) != excluded.end();
    return !is_excluded && !this->workers.at(id).health.IsLeaving(now);
  };
  return std::any_of(candidates.begin(), candidates.end(), is_available);
}

WorkerHealth& Router::Health(const UpstreamId& worker) {
  return this->workers[worker].health;
}

void Router::ApplyCacheEvent(const UpstreamId& worker, std::uint64_t sequence,
                             std::uint64_t block, bool present) {
  this->workers[worker].prefixes.ApplyEvent(sequence, block, present);
}

const std::vector<UpstreamId>& Router::WorkersOf(
    const std::string& target) const {
  const auto it = this->targets.find(target);
  return it == this->targets.end() ? kNoWorkers : it->second;
}

Distance Router::DistanceTo(const UpstreamId& worker) const {
  const auto it = this->workers.find(worker);
  return it == this->workers.end() ? Distance::kOtherRegion
                                   : it->second.distance;
}

}  // namespace limpetlink
