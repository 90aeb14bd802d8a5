/// @file
/// @brief Router: ranks the workers of a target for one request.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/base.h"
#include "fleet/fleet.h"
#include "routing/detail/health.h"
#include "routing/detail/prefixes.h"

namespace limpetlink {

/// @brief Tokens in one prefix block.
inline constexpr std::uint32_t kPrefixBlockTokens = 16;

/// @brief Distance of a worker from this host, in order of rising traffic cost.
enum class Distance { kSameDomain, kSameRegion, kOtherRegion };

template <>
struct EnumTable<Distance> {
  static constexpr EnumName<Distance> kRows[] = {
      {Distance::kSameDomain, "same_domain"},
      {Distance::kSameRegion, "same_region"},
      {Distance::kOtherRegion, "other_region"}};
};

/// @brief A worker that may receive a request.
struct RankedWorker {
  UpstreamId worker;
  Distance distance = Distance::kSameDomain;
  std::uint32_t cached_tokens = 0;  ///< of the prompt, by the cache hints
  double load = 0;                  ///< 1 when full
  double usable_fraction = 1.0;     ///< of the worker's capacity
};

/// @brief Tracks the workers, their health and their prefix caches.
class Router {
 public:
  /// @param failure_domain failure domain of this host
  explicit Router(FailureDomainId failure_domain);

  /// @brief Applies a fleet document. Workers that remain in it keep their
  /// health and cache hints.
  void Configure(const FleetDocument& document);

  /// @brief Ranks the workers of a target.
  /// @param candidates workers of the document, as from WorkersOf
  /// @param blocks hashes of the prompt's leading blocks
  /// @param excluded workers that must not be returned
  /// @param load returns a worker's load, 1 when full
  /// @return available workers, by distance, then by load less cached prefix
  /// @note Complexity: n log n in the candidates.
  std::vector<RankedWorker> Rank(
      Instant now, const std::vector<UpstreamId>& candidates,
      const std::vector<std::uint64_t>& blocks,
      const std::vector<UpstreamId>& excluded,
      const std::function<double(const UpstreamId&)>& load) const;

  /// @brief Checks whether any of the candidates takes new work.
  /// @note Complexity: stops at the first that does.
  bool AnyAvailable(Instant now, const std::vector<UpstreamId>& candidates,
                    const std::vector<UpstreamId>& excluded) const;

  /// @brief Returns the health of a worker, to record signals in.
  WorkerHealth& Health(const UpstreamId& worker);

  /// @brief Applies a cache event of a worker; see PrefixHints::ApplyEvent.
  void ApplyCacheEvent(const UpstreamId& worker, std::uint64_t sequence,
                       std::uint64_t block, bool present);

  /// @return workers of a target in the document, ordered by id
  const std::vector<UpstreamId>& WorkersOf(const std::string& target) const;

  /// @return distance of a worker; kOtherRegion if it is not in the document
  Distance DistanceTo(const UpstreamId& worker) const;

 private:
  struct WorkerState {
    Distance distance = Distance::kOtherRegion;
    WorkerHealth health;
    PrefixHints prefixes;
  };

  /// @return whether more than half of the workers are ejected; Rank then
  /// ignores ejections
  bool IgnoreEjections(Instant now,
                       const std::vector<UpstreamId>& members) const;

  FailureDomainId failure_domain;
  std::map<UpstreamId, WorkerState> workers;
  std::map<std::string, std::vector<UpstreamId>> targets;
};

}  // namespace limpetlink
