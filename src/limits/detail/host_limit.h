/// @file
/// @brief One host's part of an organisation's limits.
#pragma once

#include <cstdint>
#include <optional>

#include "base/base.h"

namespace limpetlink {

/// @brief A host's part of a limit.
struct LimitShare {
  double concurrent = 0;
  double per_second = 0;
};

/// @brief Which limit stands against a request.
enum class LimitDecision { kWithin, kConcurrency, kRate };

template <>
struct EnumTable<LimitDecision> {
  static constexpr EnumName<LimitDecision> kRows[] = {
      {LimitDecision::kWithin, "within"},
      {LimitDecision::kConcurrency, "concurrency"},
      {LimitDecision::kRate, "rate"}};
};

/// @brief Enforces a host's part: the owner's share while it is fresh, else
/// the limit divided by the hosts.
class HostLimit {
 public:
  /// @brief Sets the whole limit and the number of hosts it falls back on.
  void SetTotal(const LimitShare& total, std::size_t hosts);

  /// @brief Takes the owner's share in.
  /// @param until the share holds up to then
  void Grant(const LimitShare& share, Instant until);

  /// @brief Counts a request in when it is within the limits.
  /// @param again whether it is a repeat, which the rate has counted already
  LimitDecision Begin(Instant now, bool again = false);

  /// @brief Counts a request out.
  /// @param held how long it was in progress
  void End(Duration held);

  /// @brief Says when the limit that refused lets the next request in.
  /// @param answer which limit it was
  Duration RetryAfter(LimitDecision answer, Instant now) const;

  /// @return whether more than half of the fallback part is in use, so that
  /// the owner should be asked
  bool ShouldRequestShare(Instant now) const;

  /// @brief Gives what this host asks of the owner: its own use, a little
  /// more, over the time since the last call.
  LimitShare TakeDemand(Instant now);

  /// @return requests in progress
  std::uint32_t InProgress() const { return this->in_progress; }

  /// @return the part in force
  LimitShare Current(Instant now) const;

 private:
  void Refill(Instant now);

  LimitShare fallback;
  std::optional<LimitShare> granted;
  Instant granted_until;
  std::uint32_t in_progress = 0;
  std::uint32_t peak = 0;
  std::uint32_t arrivals = 0;
  Instant counted_since;
  double allowance = 0;  ///< requests that may start now
  Instant refilled;
  bool started = false;
  double mean_held = 1.0;  ///< seconds
};

}  // namespace limpetlink
