#include "limits/detail/share_owner.h"

#include <algorithm>

namespace limpetlink {
namespace {

// A host that does not ask stays under this part of limit / hosts; see
// HostLimit::ShouldRequestShare.
constexpr double kQuietPart = 0.5;

// What is left for the hosts that ask goes by want; what nobody wants, evenly.
double Part(double left, double askers, double wanted, double all_wanted) {
  const double spare = std::max(0.0, left - all_wanted) / askers;
  if (all_wanted <= left) {
    return wanted + spare;
  }
  return left * wanted / all_wanted;
}

}  // namespace

void ShareAllocator::SetTotal(const LimitShare& new_total,
                              std::size_t new_hosts) {
  this->total = new_total;
  this->hosts = std::max<std::size_t>(new_hosts, 1);
}

LimitShare ShareAllocator::Allocate(Instant now, const HostId& from,
                                    const LimitShare& wanted) {
  this->claims[from].wanted = wanted;
  LimitShare all_wanted;
  LimitShare handed;
  for (auto it = this->claims.begin(); it != this->claims.end();) {
    const bool asks = it->first == from;
    if (!asks && it->second.until <= now) {
      it = this->claims.erase(it);
      continue;
    }
    all_wanted.concurrent += it->second.wanted.concurrent;
    all_wanted.per_second += it->second.wanted.per_second;
    handed.concurrent += asks ? 0 : it->second.handed.concurrent;
    handed.per_second += asks ? 0 : it->second.handed.per_second;
    ++it;
  }
  const auto askers = static_cast<double>(this->claims.size());
  const auto all = static_cast<double>(this->hosts);
  const double quiet = std::max(0.0, all - askers) * kQuietPart / all;
  const double least = kQuietPart / all;
  LimitShare share;
  share.concurrent =
      std::max(this->total.concurrent * least,
               Part(this->total.concurrent * (1.0 - quiet), askers,
                    wanted.concurrent, all_wanted.concurrent));
  share.per_second =
      std::max(this->total.per_second * least,
               Part(this->total.per_second * (1.0 - quiet), askers,
                    wanted.per_second, all_wanted.per_second));
  const double open = 1.0 - quiet;
  share.concurrent = std::min(
      share.concurrent, this->total.concurrent * open - handed.concurrent);
  share.per_second = std::min(
      share.per_second, this->total.per_second * open - handed.per_second);
  share.concurrent = std::max(share.concurrent, 0.0);
  share.per_second = std::max(share.per_second, 0.0);
  Claim& claim = this->claims[from];
  claim.handed = share;
  claim.until = now + kShareLifetime;
  return share;
}

}  // namespace limpetlink
