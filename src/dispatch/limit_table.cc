#include "dispatch/detail/limit_table.h"

#include <algorithm>

namespace limpetlink {

LimitTable::LimitTable(HostId self)
    : self(std::move(self)), live({this->self}) {}

void LimitTable::Refresh(const OrganisationId& organisation, Limits& limits) {
  limits.owner = RendezvousOwner("limit/" + organisation.value, this->live);
  limits.local.SetTotal(limits.total, this->live.size());
  limits.allocator.SetTotal(limits.total, this->live.size());
}

void LimitTable::Configure(const FleetDocument& document) {
  std::map<OrganisationId, Limits> kept;
  for (const Organisation& organisation : document.organisations) {
    const auto it = this->organisations.find(organisation.id);
    const bool known = it != this->organisations.end();
    Limits limits = known ? std::move(it->second) : Limits{};
    limits.total.concurrent = organisation.max_concurrent;
    limits.total.per_second = organisation.requests_per_second;
    this->Refresh(organisation.id, limits);
    kept.emplace(organisation.id, std::move(limits));
  }
  this->organisations = std::move(kept);
}

void LimitTable::SetHosts(const std::vector<HostId>& new_live) {
  this->live = new_live;
  for (auto& [organisation, limits] : this->organisations) {
    this->Refresh(organisation, limits);
  }
}

LimitDecision LimitTable::Begin(Instant now, const OrganisationId& organisation,
                                bool is_retry) {
  const auto it = this->organisations.find(organisation);
  return it == this->organisations.end()
             ? LimitDecision::kWithin
             : it->second.local.Begin(now, is_retry);
}

void LimitTable::End(const OrganisationId& organisation, Duration held) {
  const auto it = this->organisations.find(organisation);
  if (it != this->organisations.end()) {
    it->second.local.End(held);
  }
}

Duration LimitTable::RetryAfter(Instant now, const OrganisationId& organisation,
                                LimitDecision decision) const {
  const auto it = this->organisations.find(organisation);
  return it == this->organisations.end()
             ? Duration{0}
             : it->second.local.RetryAfter(decision, now);
}

std::vector<LimitRequest> LimitTable::CollectLimitRequests(Instant now) {
  std::map<HostId, std::vector<OrganisationShare>> by_owner;
  for (auto& [organisation, limits] : this->organisations) {
    const bool needs_share = limits.local.ShouldRequestShare(now);
    const LimitShare demand = limits.local.TakeDemand(now);
    if (!needs_share || this->live.size() < 2) {
      continue;
    }
    if (limits.owner == this->self) {
      const LimitShare share =
          limits.allocator.Allocate(now, this->self, demand);
      limits.local.Grant(share, now + kShareLifetime);
    } else {
      by_owner[limits.owner].push_back({organisation, demand});
    }
  }
  std::vector<LimitRequest> result;
  result.reserve(by_owner.size());
  for (auto& [owner, demands] : by_owner) {
    result.push_back({owner, std::move(demands)});
  }
  return result;
}

std::vector<OrganisationShare> LimitTable::Allocate(
    Instant now, const HostId& from,
    const std::vector<OrganisationShare>& demands) {
  std::vector<OrganisationShare> shares;
  for (const OrganisationShare& demand : demands) {
    const auto it = this->organisations.find(demand.organisation);
    if (it == this->organisations.end()) {
      continue;
    }
    const LimitShare share =
        it->second.allocator.Allocate(now, from, demand.share);
    shares.push_back({demand.organisation, share});
  }
  return shares;
}

void LimitTable::ApplyShares(Instant now,
                             const std::vector<OrganisationShare>& shares) {
  for (const OrganisationShare& each : shares) {
    const auto it = this->organisations.find(each.organisation);
    if (it != this->organisations.end()) {
      it->second.local.Grant(each.share, now + kShareLifetime);
    }
  }
}

}  // namespace limpetlink
