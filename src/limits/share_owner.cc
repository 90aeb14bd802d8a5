#include "limits/detail/share_owner.h"

#include <algorithm>

namespace limpetlink {
namespace {

// Fraction of limit / hosts that a host may use without requesting a share; see
// HostLimit::ShouldRequestShare.
constexpr double kUnrequestedFraction = 0.5;

// Divides the available amount in proportion to demand; an excess over the
// total demand is divided evenly.
double AllocateByDemand(double available, double requesters, double demand,
                        double total_demand) {
  const double spare = std::max(0.0, available - total_demand) / requesters;
  if (total_demand <= available) {
    return demand + spare;
  }
  return available * demand / total_demand;
}

}  // namespace

void ShareAllocator::SetTotal(const LimitShare& new_total,
                              std::size_t new_hosts) {
  this->total = new_total;
  this->hosts = std::max<std::size_t>(new_hosts, 1);
}

LimitShare ShareAllocator::Allocate(Instant now, const HostId& host,
                                    const LimitShare& demand) {
  this->allocations[host].demand = demand;
  LimitShare total_demand;
  LimitShare allocated;
  for (auto it = this->allocations.begin(); it != this->allocations.end();) {
    const bool is_requester = it->first == host;
    if (!is_requester && it->second.until <= now) {
      it = this->allocations.erase(it);
      continue;
    }
    total_demand.concurrent += it->second.demand.concurrent;
    total_demand.per_second += it->second.demand.per_second;
    allocated.concurrent += is_requester ? 0 : it->second.allocated.concurrent;
    allocated.per_second += is_requester ? 0 : it->second.allocated.per_second;
    ++it;
  }
  const auto requesters = static_cast<double>(this->allocations.size());
  const auto host_count = static_cast<double>(this->hosts);
  const double unrequested = std::max(0.0, host_count - requesters) *
                             kUnrequestedFraction / host_count;
  const double minimum = kUnrequestedFraction / host_count;
  LimitShare share;
  share.concurrent = std::max(
      this->total.concurrent * minimum,
      AllocateByDemand(this->total.concurrent * (1.0 - unrequested), requesters,
                       demand.concurrent, total_demand.concurrent));
  share.per_second = std::max(
      this->total.per_second * minimum,
      AllocateByDemand(this->total.per_second * (1.0 - unrequested), requesters,
                       demand.per_second, total_demand.per_second));
  const double allocatable = 1.0 - unrequested;
  share.concurrent =
      std::min(share.concurrent,
               this->total.concurrent * allocatable - allocated.concurrent);
  share.per_second =
      std::min(share.per_second,
               this->total.per_second * allocatable - allocated.per_second);
  share.concurrent = std::max(share.concurrent, 0.0);
  share.per_second = std::max(share.per_second, 0.0);
  Allocation& allocation = this->allocations[host];
  allocation.allocated = share;
  allocation.until = now + kShareLifetime;
  return share;
}

}  // namespace limpetlink
