#include "dispatch/detail/limit_table.h"

#include <algorithm>

namespace limpetlink {

LimitTable::LimitTable(HostId self)
    : self(std::move(self)), live({this->self}) {}

void LimitTable::Refresh(const OrganisationId& organisation, Limits& limits) {
  limits.owner = RendezvousOwner("limit/" + organisation.value, this->live);
  limits.here.SetTotal(limits.total, this->live.size());
  limits.handed.SetTotal(limits.total, this->live.size());
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
                                bool again) {
  const auto it = this->organisations.find(organisation);
  return it == this->organisations.end() ? LimitDecision::kWithin
                                         : it->second.here.Begin(now, again);
}

void LimitTable::End(const OrganisationId& organisation, Duration held) {
  const auto it = this->organisations.find(organisation);
  if (it != this->organisations.end()) {
    it->second.here.End(held);
  }
}

Duration LimitTable::RetryAfter(Instant now, const OrganisationId& organisation,
                                LimitDecision answer) const {
  const auto it = this->organisations.find(organisation);
  return it == this->organisations.end()
             ? Duration{0}
             : it->second.here.RetryAfter(answer, now);
}

std::vector<WantsFor> LimitTable::TakeWants(Instant now) {
  std::map<HostId, std::vector<OrganisationShare>> by_owner;
  for (auto& [organisation, limits] : this->organisations) {
    const bool pressed = limits.here.ShouldRequestShare(now);
    const LimitShare wanted = limits.here.TakeDemand(now);
    if (!pressed || this->live.size() < 2) {
      continue;
    }
    if (limits.owner == this->self) {
      const LimitShare share = limits.handed.Allocate(now, this->self, wanted);
      limits.here.Grant(share, now + kShareLifetime);
    } else {
      by_owner[limits.owner].push_back({organisation, wanted});
    }
  }
  std::vector<WantsFor> result;
  result.reserve(by_owner.size());
  for (auto& [owner, wants] : by_owner) {
    result.push_back({owner, std::move(wants)});
  }
  return result;
}

std::vector<OrganisationShare> LimitTable::Hand(
    Instant now, const HostId& from,
    const std::vector<OrganisationShare>& wants) {
  std::vector<OrganisationShare> shares;
  for (const OrganisationShare& want : wants) {
    const auto it = this->organisations.find(want.organisation);
    if (it == this->organisations.end()) {
      continue;
    }
    const LimitShare share = it->second.handed.Allocate(now, from, want.share);
    shares.push_back({want.organisation, share});
  }
  return shares;
}

void LimitTable::Granted(Instant now,
                         const std::vector<OrganisationShare>& shares) {
  for (const OrganisationShare& each : shares) {
    const auto it = this->organisations.find(each.organisation);
    if (it != this->organisations.end()) {
      it->second.here.Grant(each.share, now + kShareLifetime);
    }
  }
}

}  // namespace limpetlink
