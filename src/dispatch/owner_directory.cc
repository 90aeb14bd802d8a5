#include "dispatch/detail/owner_directory.h"

#include <algorithm>

namespace limpetlink {
namespace {

constexpr Duration kHintLifetime = std::chrono::seconds(2);
constexpr Duration kUnresponsivePeriod = std::chrono::seconds(5);
// An owner one distance step nearer is preferred unless its expected wait is
// longer by more than this.
constexpr Duration kDistanceCost = std::chrono::milliseconds(500);

}  // namespace

void OwnerDirectory::Index(const FleetDocument& document,
                           const WorkerTable& workers, const Router& router) {
  this->targets.clear();
  for (const Upstream& upstream : document.upstreams) {
    if (workers.IsOwned(upstream.id)) {
      continue;
    }
    const HostId& host = workers.OwnerOf(upstream.id);
    const Distance distance = router.DistanceTo(upstream.id);
    auto& owners = this->targets[upstream.serves];
    const auto it =
        std::find_if(owners.begin(), owners.end(),
                     [&](const Owner& owner) { return owner.host == host; });
    if (it == owners.end()) {
      Owner owner;
      owner.host = host;
      owner.distance = distance;
      owner.hash = StableHash(host.value);
      owners.push_back(owner);
    } else {
      it->distance = std::min(it->distance, distance);
    }
  }
}

std::optional<HostId> OwnerDirectory::Choose(
    Instant now, const std::string& target, Ticket ticket,
    const std::vector<HostId>& tried) const {
  const auto it = this->targets.find(target);
  if (it == this->targets.end()) {
    return std::nullopt;
  }
  const Owner* best = nullptr;
  std::pair<Duration, std::uint64_t> best_cost;
  for (const Owner& owner : it->second) {
    const bool skip =
        this->IsUnresponsive(now, owner.host) ||
        std::find(tried.begin(), tried.end(), owner.host) != tried.end();
    if (skip) {
      continue;
    }
    const bool fresh = now - owner.updated < kHintLifetime;
    const Duration wait = fresh ? owner.wait : Duration{0};
    const std::uint64_t tie_break = Random(owner.hash ^ ticket.value)();
    const auto cost = std::make_pair(
        wait + kDistanceCost * static_cast<int>(owner.distance), tie_break);
    if (best == nullptr || cost < best_cost) {
      best = &owner;
      best_cost = cost;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(best->host);
}

void OwnerDirectory::RecordWait(Instant now, const HostId& owner,
                                const std::string& target,
                                Duration expected_wait) {
  this->unresponsive_until.erase(owner);
  const auto it = this->targets.find(target);
  if (it == this->targets.end()) {
    return;
  }
  for (Owner& each : it->second) {
    if (each.host == owner) {
      each.wait = expected_wait;
      each.updated = now;
    }
  }
}

void OwnerDirectory::MarkUnresponsive(Instant now, const HostId& owner) {
  this->unresponsive_until[owner] = now + kUnresponsivePeriod;
}

bool OwnerDirectory::IsUnresponsive(Instant now, const HostId& owner) const {
  const auto it = this->unresponsive_until.find(owner);
  return it != this->unresponsive_until.end() && now < it->second;
}

bool OwnerDirectory::HasOwners(const std::string& target) const {
  return this->targets.count(target) != 0;
}

}  // namespace limpetlink
