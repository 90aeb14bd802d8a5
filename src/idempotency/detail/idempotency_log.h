/// @file
/// @brief The idempotency log as one host runs it.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "idempotency/detail/log_options.h"
#include "idempotency/detail/log_shard.h"
#include "idempotency/detail/messages.h"

namespace limpetlink {

/// @brief At most once for keyed requests. Any number of hosts may write the
/// same shard at once; safety rests on create-if-absent alone.
/// @note A request is dispatched only after its intent stands in the log at the
/// next sequence number, which shows that the writer had read everything
/// before it, and after the check that the number was not freed by a deletion.
/// @note Example:
/// @code
/// IdempotencyLog log(options);
/// Carry(log.Step(now, ClaimKey{request, organisation, key, digest,
/// deadline})); Carry(log.Step(now, LogOperationResult{op,
/// LogOperationStatus::kCreated}));
/// // ... DispatchClaim{request}: send it once
/// Carry(log.Step(now, RecordOutcome{request, outcome}));
/// @endcode
class IdempotencyLog {
 public:
  /// @param options writer name, shards, bounds
  explicit IdempotencyLog(LogOptions options);

  /// @brief Takes one message in.
  /// @param now never earlier than at the step before
  /// @param message what happened
  /// @return what to do, in sequence
  /// @note Complexity: logarithmic in the keys of the shard for a claim; a
  /// result costs what it carries.
  LogActions Step(Instant now, const LogMessage& message);

  /// @return when LogTick is due at the latest. Linear in the shards.
  Instant NextWakeup() const;

  /// @return whether no claim and no record is open: a host may stop
  bool Idle() const;

  /// @return which shard holds the key; an owner is chosen by it
  std::uint32_t ShardOf(const OrganisationId& organisation,
                        std::string_view key) const;

  /// @return the sum over the shards
  LogCounts Counts() const;

  /// @return shards whose last operation failed
  std::uint32_t UnavailableShards() const;

  /// @return a shard, for reading
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
  std::int64_t clock_ms = 0;  ///< wall clock at clock_at
  Instant clock_at;
};

}  // namespace limpetlink
