/// @file
/// @brief HostLimit: one host's share of an organisation's limits.
#pragma once

#include <cstdint>
#include <optional>

#include "base/base.h"

namespace limpetlink {

/// @brief Concurrency and rate of a limit or of one host's share of it.
struct LimitShare {
  double concurrent = 0;  ///< requests in progress
  double per_second = 0;  ///< requests started per second
};

/// @brief Whether a request is within the limits, else which one it exceeds.
enum class LimitDecision { kWithin, kConcurrency, kRate };

template <>
struct EnumTable<LimitDecision> {
  static constexpr EnumName<LimitDecision> kRows[] = {
      {LimitDecision::kWithin, "within"},
      {LimitDecision::kConcurrency, "concurrency"},
      {LimitDecision::kRate, "rate"}};
};

/// @brief Enforces a host's share of a limit: the share granted by the limit's
/// owner until it expires, then the limit divided by the number of hosts.
class HostLimit {
 public:
  /// @brief Sets the total limit and the number of hosts, whose quotient is the
  /// fallback share.
  void SetTotal(const LimitShare& total, std::size_t hosts);

  /// @brief Applies a share granted by the limit's owner.
  /// @param until when the share expires
  void Grant(const LimitShare& share, Instant until);

  /// @brief Starts a request if it is within the limits.
  /// @param is_retry whether the request already counts towards the rate
  LimitDecision Begin(Instant now, bool is_retry = false);

  /// @brief Ends a request.
  /// @param duration how long it was in progress
  void End(Duration duration);

  /// @brief Estimates the time until the exceeded limit admits a request.
  /// @param decision the limit that was exceeded
  Duration RetryAfter(LimitDecision decision, Instant now) const;

  /// @return whether more than half of the fallback share is in use, so that
  /// a share should be requested from the limit's owner
  bool ShouldRequestShare(Instant now) const;

  /// @brief Returns and resets this host's demand since the last call: the
  /// peak concurrency and the arrival rate, refused requests included.
  LimitShare TakeDemand(Instant now);

  /// @return requests in progress
  std::uint32_t InProgress() const { return this->in_progress; }

  /// @return the share that applies now
  LimitShare Current(Instant now) const;

 private:
  void Refill(Instant now);

  LimitShare fallback;
  std::optional<LimitShare> granted;
  Instant granted_until;
  std::uint32_t in_progress = 0;
  std::uint32_t peak = 0;      ///< of concurrency, since counted_since
  std::uint32_t arrivals = 0;  ///< since counted_since
  Instant counted_since;
  double allowance = 0;  ///< token bucket: requests that may start now
  Instant refilled;
  bool started = false;
  double mean_duration_s = 1.0;  ///< moving average
};

}  // namespace limpetlink
