/// @file
/// @brief Idempotency log of one host.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "idempotency/detail/log_options.h"
#include "idempotency/detail/log_shard.h"
#include "idempotency/detail/messages.h"

namespace limpetlink {

/// @brief Executes keyed requests at most once.
/// Any number of hosts may write to the same shard concurrently; correctness
/// depends only on the create-if-absent operation of the object API.
/// @note A request is dispatched only after two steps. First, its intent is
/// stored at the next sequence number, which proves that the writer had read
/// all earlier segments. Second, a check confirms that this sequence number was
/// not freed by a deletion.
/// @note Example:
/// @code
/// IdempotencyLog log(options);
/// Execute(log.Step(now, ClaimKey{request, organisation, key, digest}));
/// Execute(log.Step(now, LogOperationResult{operation, status}));
/// // After DispatchClaim{request}, send the request once.
/// Execute(log.Step(now, RecordOutcome{request, outcome}));
/// @endcode
class IdempotencyLog {
 public:
  /// @param options writer name, number of shards, limits
  explicit IdempotencyLog(LogOptions options);

  /// @brief Processes one message.
  /// @param now current time; must not decrease between calls
  /// @param message the event to process
  /// @return the actions to execute, in order
  /// @note Complexity: a claim is logarithmic in the number of keys of its
  /// shard; an operation result is linear in its size.
  LogActions Step(Instant now, const LogMessage& message);

  /// @return the latest time at which LogTick is due
  /// @note Complexity: linear in the number of shards.
  Instant NextWakeup() const;

  /// @return whether no claim and no record is open, so that the host may stop
  bool Idle() const;

  /// @return the shard of a key; callers use it to choose the key's owner
  std::uint32_t ShardOf(const OrganisationId& organisation,
                        std::string_view key) const;

  /// @return the counters, summed over all shards
  LogCounts Counts() const;

  /// @return the number of shards whose last operation failed
  std::uint32_t UnavailableShards() const;

  /// @return read access to a shard
  const LogShard& Shard(std::uint32_t index) const {
    return this->shards.at(index);
  }

 private:
  void Handle(LogContext& context, const ClaimKey& message);
  void Handle(LogContext& context, const AbandonClaim& message);
  void Handle(LogContext& context, const RecordOutcome& message);
  void Handle(LogContext& context, const RecordNotRun& message);
  void Handle(LogContext& context, const RecordUnknown& message);
  void Handle(LogContext& context, const LogOperationResult& message);
  void Handle(LogContext& context, const SetLogClock& message);
  void Handle(LogContext& context, const LoadShards& message);
  void Handle(LogContext& context, const LogTick& message);

  LogShard* ShardOfRequest(RequestId request);
  void TrackActions(const LogActions& actions, std::size_t from,
                    std::uint32_t shard);
  std::uint32_t ShardOf(const KeyDigest& key) const;

  LogOptions options;
  std::vector<LogShard> shards;
  std::map<LogOperationId, std::uint32_t> operations;
  std::map<RequestId, std::uint32_t> requests;
  std::uint64_t counter = 0;
  std::int64_t clock_ms = 0;  ///< wall clock at `clock_at`
  Instant clock_at;
};

}  // namespace limpetlink
