#include <algorithm>
#include <tuple>

#include "migration/migration.h"

namespace limpetlink {
namespace {

// Between the end of a copy and the next stream's: two round trips in a
// failure domain, for the answer and the last part, and the last part itself.
constexpr Duration kHandOver = std::chrono::milliseconds(14);

void SortBySize(std::vector<RunningStream>* streams) {
  std::sort(streams->begin(), streams->end(),
            [](const RunningStream& a, const RunningStream& b) {
              return std::tie(a.memory_tokens, a.request_id) <
                     std::tie(b.memory_tokens, b.request_id);
            });
}

}  // namespace

Duration MoveSpeed::CopyTime(std::uint64_t tokens, bool far) const {
  if (this->link_mbps <= 0) {
    return Duration{0};
  }
  constexpr double kBitsPerByte = 8.0;
  constexpr double kBitsPerMegabit = 1e6;
  const double seconds = static_cast<double>(tokens) * this->bytes_per_token *
                         kBitsPerByte / (this->link_mbps * kBitsPerMegabit);
  return FromSeconds(far ? 2.0 * seconds : seconds);
}

std::vector<MoveSlot> PlanMoves(
    const UpstreamId& source, std::vector<RunningStream> runs,
    std::vector<RunningStream> late,
    const std::vector<MoveDestination>& destinations, const MoveSpeed& speed) {
  const auto pick = [&destinations](bool far) {
    std::vector<std::size_t> indices;
    for (std::size_t i = 0; i < destinations.size(); ++i) {
      if (destinations[i].far == far) {
        indices.push_back(i);
      }
    }
    return indices;
  };
  std::vector<std::size_t> usable = pick(false);
  if (usable.empty()) {
    usable = pick(true);
  }
  std::vector<MoveSlot> slots;
  if (usable.empty()) {
    return slots;
  }
  SortBySize(&runs);
  SortBySize(&late);
  runs.insert(runs.end(), late.begin(), late.end());
  constexpr StreamGrowth kGrowth;
  const std::size_t first = StableHash(source.value) % usable.size();
  Duration start{0};
  for (std::size_t i = 0; i < runs.size(); ++i) {
    const std::size_t to = usable[(first + i) % usable.size()];
    slots.push_back({runs[i].request_id, to, start});
    const double grown =
        kGrowth.tokens_per_second * ToSeconds(kGrowth.report_lag + start);
    const bool young = runs[i].events < kGrowth.young_events;
    const std::uint64_t told =
        young ? std::max(kGrowth.usual_prompt, runs[i].memory_tokens)
              : runs[i].memory_tokens;
    const std::uint64_t tokens = told + static_cast<std::uint64_t>(grown);
    start += speed.CopyTime(tokens, destinations[to].far) + kHandOver;
  }
  return slots;
}

}  // namespace limpetlink
