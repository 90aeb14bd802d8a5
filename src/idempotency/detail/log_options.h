/// @file
/// @brief Options of the idempotency log, and the context of one step.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "base/base.h"
#include "idempotency/detail/messages.h"

namespace limpetlink {

/// @brief Options of the idempotency log. Hosts that share a log must agree on
/// `shards` and `retention`.
struct LogOptions {
  std::string writer;        ///< host and incarnation; never reused
  std::uint32_t shards = 8;  ///< must not change while keys are stored
  /// Minimum time between two segments that this host writes to a shard.
  Duration write_interval{std::chrono::milliseconds(100)};
  /// Maximum time that a claim waits before it is refused.
  Duration claim_timeout{std::chrono::seconds(3)};
  /// Delay before a failed operation is retried; doubles on each failure.
  Duration retry_backoff{std::chrono::milliseconds(200)};
  Duration max_retry_backoff{std::chrono::seconds(5)};
  /// How long a key is stored after its last record.
  std::chrono::milliseconds retention{std::chrono::hours(24)};
  /// Checkpoints keep keys for this additional time, because the clocks of the
  /// hosts differ.
  std::chrono::milliseconds retention_margin{std::chrono::hours(1)};
  std::size_t max_segment_bytes = 262144;
  std::size_t sealed_part_bytes = 262144;  ///< a part of this size is sealed
  std::size_t max_body_bytes = 8192;       ///< of a stored outcome
  std::uint32_t segments_per_checkpoint = 64;
};

/// @brief Context of one step.
struct LogContext {
  Instant now;
  std::int64_t unix_ms = 0;
  const LogOptions& options;
  std::uint64_t& counter;  ///< numbers operations, claims and nonces
  LogActions& out;

  /// @return a number that this incarnation has not used before
  std::uint64_t NextNumber() { return ++this->counter; }
  /// @return a globally unique name: the writer and a new number
  std::string NextName() {
    return this->options.writer + "-" + std::to_string(this->NextNumber());
  }
};

}  // namespace limpetlink
