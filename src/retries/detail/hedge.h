/// @file
/// @brief Estimates when a hedged attempt of an idempotent lookup pays off.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/base.h"

namespace limpetlink {

/// @brief Tracks the 95th percentile of lookup durations by target and route.
class HedgeDelays {
 public:
  /// @brief Records the duration of a lookup, from sending it to its complete
  /// response.
  void Observe(const std::string& target, const std::string& route,
               Duration duration);

  /// @brief Returns the delay after which a hedged attempt may be sent.
  /// @return the estimate, or nullopt until enough lookups were recorded
  std::optional<Duration> Find(const std::string& target,
                               const std::string& route) const;

 private:
  struct Estimate {
    double seconds = 0;
    std::uint32_t count = 0;
  };

  std::map<std::pair<std::string, std::string>, Estimate> estimates;
};

}  // namespace limpetlink
