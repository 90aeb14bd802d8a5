#include <algorithm>
#include <limits>
#include <utility>

#include "reachability/reachability.h"

namespace limpetlink {
namespace {

constexpr std::size_t kMaxEntries = 256;
// A host that is full has room again after about the time of a short request.
constexpr Duration kRefusalTime = std::chrono::milliseconds(150);
// Costs in milliseconds: of the way, and of a relayed request in progress.
constexpr double kWorkerDomainCost = 1;
constexpr double kOtherDomainCost = 10;
constexpr double kCostPerRequest = 0.5;

}  // namespace

void RelayDirectory::Put(Instant now, RelayOffer offer) {
  const HostId host = offer.host;
  const bool has_room =
      this->entries.count(host) > 0 || this->entries.size() < kMaxEntries;
  for (auto it = this->entries.begin(); it != this->entries.end();) {
    const bool expired = now - it->second.received_at > kLifetime;
    it = expired ? this->entries.erase(it) : std::next(it);
  }
  if (has_room) {
    Entry& entry = this->entries[host];
    entry.offer = std::move(offer);
    entry.received_at = now;
  }
  this->offering = static_cast<std::size_t>(std::count_if(
      this->entries.begin(), this->entries.end(),
      [](const auto& each) { return !each.second.offer.cut_off; }));
}

void RelayDirectory::OnRefused(Instant now, const HostId& host) {
  if (const auto found = this->entries.find(host);
      found != this->entries.end()) {
    found->second.refused_until = now + kRefusalTime;
  }
}

void RelayDirectory::OnEnd(const HostId& host) {
  const auto found = this->in_progress.find(host);
  if (found != this->in_progress.end() && --found->second == 0) {
    this->in_progress.erase(found);
  }
}

std::vector<RelayOffer> RelayDirectory::Available(Instant now,
                                                  std::size_t max) {
  std::vector<RelayOffer> offers;
  for (const auto& [host, entry] : this->entries) {
    if (!entry.offer.cut_off && now - entry.received_at <= kLifetime) {
      offers.push_back(entry.offer);
    }
  }
  for (std::size_t i = 0; i + 1 < offers.size(); ++i) {
    std::swap(offers[i], offers[i + this->random.Below(offers.size() - i)]);
  }
  offers.resize(std::min(offers.size(), max));
  return offers;
}

bool RelayDirectory::IsUsable(Instant now, const Entry& entry,
                              const RelayQuery& query) const {
  const std::vector<UpstreamId>& unreachable = entry.offer.unreachable;
  return !entry.offer.cut_off && now - entry.received_at <= kLifetime &&
         entry.refused_until <= now &&
         query.excluded.count(entry.offer.host) == 0 &&
         std::find(unreachable.begin(), unreachable.end(), query.worker) ==
             unreachable.end() &&
         query.is_allowed(entry.offer.domain);
}

double RelayDirectory::Cost(const Entry& entry, const RelayQuery& query) {
  const FailureDomainId& domain = entry.offer.domain;
  const double way = domain == query.own_domain      ? 0
                     : domain == query.worker_domain ? kWorkerDomainCost
                                                     : kOtherDomainCost;
  const auto own = this->in_progress.find(entry.offer.host);
  const std::uint32_t requests =
      std::max(entry.offer.in_progress,
               own == this->in_progress.end() ? 0U : own->second);
  // The random part spreads requests over hosts that look alike.
  return way + kCostPerRequest * requests + this->random.Fraction();
}

std::optional<RelayOffer> RelayDirectory::Choose(Instant now,
                                                 const RelayQuery& query) {
  const Entry* best = nullptr;
  double least = std::numeric_limits<double>::max();
  for (const auto& [host, entry] : this->entries) {
    if (!this->IsUsable(now, entry, query)) {
      continue;
    }
    const double cost = this->Cost(entry, query);
    if (cost < least) {
      best = &entry;
      least = cost;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(best->offer);
}

bool RelayDirectory::CanReach(Instant now, const RelayQuery& query) const {
  return std::any_of(this->entries.begin(), this->entries.end(),
                     [&](const auto& each) {
                       return this->IsUsable(now, each.second, query);
                     });
}

}  // namespace limpetlink
