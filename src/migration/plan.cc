#include <algorithm>
#include <tuple>

#include "migration/migration.h"

namespace limpetlink {
namespace {

// Gap between the transfers of two streams: two round trips within a failure
// domain, for the response and for the final part, and the final part itself.
constexpr Duration kHandoverTime = std::chrono::milliseconds(14);

void SortBySize(std::vector<RunningStream>* streams) {
  std::sort(streams->begin(), streams->end(),
            [](const RunningStream& a, const RunningStream& b) {
              return std::tie(a.memory_tokens, a.request_id) <
                     std::tie(b.memory_tokens, b.request_id);
            });
}

}  // namespace

Duration TransferSpeed::TransferTime(std::uint64_t tokens,
                                     bool cross_domain) const {
  if (this->link_mbps <= 0) {
    return Duration{0};
  }
  constexpr double kBitsPerByte = 8.0;
  constexpr double kBitsPerMegabit = 1e6;
  const double seconds = static_cast<double>(tokens) * this->bytes_per_token *
                         kBitsPerByte / (this->link_mbps * kBitsPerMegabit);
  return FromSeconds(cross_domain ? 2.0 * seconds : seconds);
}

std::vector<MigrationSlot> PlanMigrations(
    const UpstreamId& source, std::vector<RunningStream> streams,
    std::vector<RunningStream> late,
    const std::vector<MigrationDestination>& destinations,
    const TransferSpeed& speed) {
  const auto pick = [&destinations](bool cross_domain) {
    std::vector<std::size_t> indices;
    for (std::size_t i = 0; i < destinations.size(); ++i) {
      if (destinations[i].cross_domain == cross_domain) {
        indices.push_back(i);
      }
    }
    return indices;
  };
  std::vector<std::size_t> usable = pick(false);
  if (usable.empty()) {
    usable = pick(true);
  }
  std::vector<MigrationSlot> slots;
  if (usable.empty()) {
    return slots;
  }
  SortBySize(&streams);
  SortBySize(&late);
  streams.insert(streams.end(), late.begin(), late.end());
  constexpr StreamGrowth kGrowth;
  const std::size_t first = StableHash(source.value) % usable.size();
  Duration start{0};
  for (std::size_t i = 0; i < streams.size(); ++i) {
    const std::size_t to = usable[(first + i) % usable.size()];
    slots.push_back({streams[i].request_id, to, start});
    const double growth =
        kGrowth.tokens_per_second * ToSeconds(kGrowth.report_lag + start);
    const bool is_young = streams[i].events < kGrowth.min_reliable_events;
    const std::uint64_t reported =
        is_young
            ? std::max(kGrowth.typical_prompt_tokens, streams[i].memory_tokens)
            : streams[i].memory_tokens;
    const std::uint64_t tokens = reported + static_cast<std::uint64_t>(growth);
    start += speed.TransferTime(tokens, destinations[to].cross_domain) +
             kHandoverTime;
  }
  return slots;
}

}  // namespace limpetlink
