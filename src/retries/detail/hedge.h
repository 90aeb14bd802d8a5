/// @file
/// @brief Learns when a second copy of an idempotent lookup is worth sending.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/base.h"

namespace limpetlink {

/// @brief Tracks the 95th percentile of how long lookups take, by target and
/// route.
class HedgeDelays {
 public:
  /// @brief Counts a lookup's time from being sent to its whole answer.
  void Observe(const std::string& target, const std::string& route,
               Duration took);

  /// @brief Gives the time after which a second copy may be sent.
  /// @return the learnt delay, or nothing before enough lookups were seen
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
