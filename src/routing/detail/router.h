/// @file
/// @brief Orders the workers of a target for one request.
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

/// @brief Tokens that one prefix block stands for.
inline constexpr std::uint32_t kPrefixBlockTokens = 16;

/// @brief How far a worker stands from this host; later ones are billed more.
enum class Distance { kSameDomain, kSameRegion, kOtherRegion };

template <>
struct EnumTable<Distance> {
  static constexpr EnumName<Distance> kRows[] = {
      {Distance::kSameDomain, "same_domain"},
      {Distance::kSameRegion, "same_region"},
      {Distance::kOtherRegion, "other_region"}};
};

/// @brief A worker that may get a request.
struct RankedWorker {
  UpstreamId worker;
  Distance distance = Distance::kSameDomain;
  std::uint32_t cached_tokens = 0;  ///< of the prompt, by the cache hints
  double load = 0;
  double usable_fraction = 1.0;  ///< of the worker that may be used
};

/// @brief Knows the workers, their health and their caches.
class Router {
 public:
  /// @param failure_domain where this host stands
  explicit Router(FailureDomainId failure_domain);

  /// @brief Takes a fleet document in; health and hints of workers that stay
  /// are kept.
  void Configure(const FleetDocument& document);

  /// @brief Orders the workers of a target.
  /// @param candidates workers of the document, as from WorkersOf
  /// @param blocks hashes of the prompt's leading blocks
  /// @param excluded workers that must not be named
  /// @param load gives a worker's load, 1 being full
  /// @return the nearest first; within a distance the cached prefix, then the
  /// load decides
  /// @note Complexity: n log n in the candidates.
  std::vector<RankedWorker> Rank(
      Instant now, const std::vector<UpstreamId>& candidates,
      const std::vector<std::uint64_t>& blocks,
      const std::vector<UpstreamId>& excluded,
      const std::function<double(const UpstreamId&)>& load) const;

  /// @brief Says whether any of the candidates takes new work.
  /// @note Complexity: ends at the first that does.
  bool AnyAvailable(Instant now, const std::vector<UpstreamId>& candidates,
                    const std::vector<UpstreamId>& excluded) const;

  /// @brief Gives a worker's health, to be told of signs.
  WorkerHealth& Health(const UpstreamId& worker);

  /// @brief Takes a cache event in.
  void ApplyCacheEvent(const UpstreamId& worker, std::uint64_t sequence,
                       std::uint64_t block, bool present);

  /// @return workers of a target in the document, in order of their names
  const std::vector<UpstreamId>& WorkersOf(const std::string& target) const;

  /// @return how far a worker of the document stands
  Distance DistanceTo(const UpstreamId& worker) const;

 private:
  struct Known {
    Distance distance = Distance::kOtherRegion;
    WorkerHealth health;
    PrefixHints prefixes;
  };

  bool IgnoreEjections(Instant now,
                       const std::vector<UpstreamId>& members) const;

  FailureDomainId failure_domain;
  std::map<UpstreamId, Known> workers;
  std::map<std::string, std::vector<UpstreamId>> targets;
};

}  // namespace limpetlink
