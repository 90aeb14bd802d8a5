/// @file
/// @brief How the idempotency log behaves, and what a step of it works with.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "base/base.h"
#include "idempotency/detail/messages.h"

namespace limpetlink {

/// @brief How the idempotency log behaves. Hosts that share a log must agree on
/// shards and retention.
struct LogOptions {
  std::string writer;        ///< host and start; unique for all time
  std::uint32_t shards = 8;  ///< never changed while keys are kept
  /// Least time between two segments that this host writes to a shard.
  Duration write_interval{std::chrono::milliseconds(100)};
  /// Longest wait of a claim before it is refused.
  Duration claim_timeout{std::chrono::seconds(3)};
  Duration retry_backoff{std::chrono::milliseconds(200)};  ///< doubles
  Duration max_retry_backoff{std::chrono::seconds(5)};
  /// How long a key is kept after its last record.
  std::chrono::milliseconds retention{std::chrono::hours(24)};
  /// A checkpoint keeps keys this much longer, against differing clocks.
  std::chrono::milliseconds retention_margin{std::chrono::hours(1)};
  std::size_t max_segment_bytes = 262144;
  std::size_t sealed_part_bytes = 262144;  ///< a part is full from here on
  std::size_t max_body_bytes = 8192;       ///< of a kept outcome
  std::uint32_t segments_per_checkpoint = 64;
};

/// @brief What one step works with.
struct LogContext {
  Instant now;
  std::int64_t unix_ms = 0;
  const LogOptions& options;
  std::uint64_t& counter;  ///< of operations, claims and nonces
  LogActions& out;

  /// @return a number that was not used before
  std::uint64_t NextNumber() { return ++this->counter; }
  /// @return a name of this writer that was not used before
  std::string NextName() {
    return this->options.writer + "-" + std::to_string(this->NextNumber());
  }
};

}  // namespace limpetlink
