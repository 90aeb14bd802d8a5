/// @file
/// @brief One shard of the idempotency log, as one writer sees it.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "idempotency/detail/key_table.h"
#include "idempotency/detail/log_options.h"
#include "idempotency/detail/messages.h"
#include "idempotency/detail/segment.h"

namespace limpetlink {

/// @brief What a shard has done.
struct LogCounts {
  std::uint64_t creates = 0;  ///< calls that write
  std::uint64_t reads = 0;
  std::uint64_t lists = 0;
  std::uint64_t deletes = 0;
  std::uint64_t segments = 0;  ///< made durable by this writer
  std::uint64_t records = 0;   ///< in those
  std::uint64_t collisions = 0;
  std::uint64_t lost_responses = 0;
  std::uint64_t stale_views = 0;  ///< found by the check after a create
  std::uint64_t checkpoints = 0;
  std::uint64_t dispatched = 0;
  std::uint64_t replayed = 0;
  std::uint64_t refused = 0;
};

/// @brief One shard. At most one operation on the object API is open at a time,
/// deletes aside; a name once tried stays the only one tried until it is known
/// whose it is.
class LogShard {
 public:
  /// @param index which shard
  /// @param segments_per_checkpoint after how many a checkpoint is due
  LogShard(std::uint32_t index, std::uint32_t segments_per_checkpoint);

  /// @brief Takes a claim in.
  void Claim(LogContext& context, const ClaimKey& claim, const KeyDigest& key);
  /// @brief Closes a claim that must not be dispatched any more.
  void Abandon(LogContext& context, RequestId request);
  /// @brief Keeps a dispatched claim's outcome.
  void StoreOutcome(LogContext& context, RequestId request,
                    StoredOutcome outcome);
  /// @brief Sets a dispatched claim's key free.
  void Withdraw(LogContext& context, RequestId request);
  /// @brief Lets go of a dispatched claim whose outcome nobody knows.
  void MarkUnknown(LogContext& context, RequestId request);
  /// @brief Takes an operation's result in.
  void HandleResult(LogContext& context, const LogOperationResult& result);
  /// @brief Reads the shard if it was not read.
  void Load(LogContext& context);
  /// @brief Lets time pass.
  void Tick(LogContext& context);

  /// @return when Tick is due at the latest
  Instant NextWakeup() const;
  /// @return whether no claim and no record is open
  bool Idle() const { return this->claims.empty() && this->records.empty(); }
  /// @return whether the shard was read to its end
  bool Loaded() const { return this->loaded; }
  /// @return whether the last operation on the object API failed
  bool Unavailable() const { return this->unavailable; }
  /// @return what was done so far
  const LogCounts& Counts() const { return this->counts; }
  /// @return the keys as far as they were read
  const KeyTable& Keys() const { return this->table; }

 private:
  enum class Step {
    kIdle,
    kListing,
    kReadingNewest,
    kReadingCheckpoint,
    kReadingPart,
    kReadingTail,
    kCheckingTail,
    kCreating,
    kReadingBack,
    kCheckingWrite,
    kCreatingPart,
    kCreatingFloor,
  };
  enum class ClaimPhase { kWaiting, kWriting, kDispatched, kClosing };
  enum class Requirement { kNone, kWrite, kTailRead };

  struct ClaimEntry {
    RequestId request;
    KeyDigest key;
    ClaimId id;
    std::string body_digest;
    Instant deadline;
    Instant times_out_at;
    ClaimAttempt attempt = ClaimAttempt::kMaybeRepeated;
    ClaimPhase phase = ClaimPhase::kWaiting;
    std::uint64_t arrival = 0;  ///< operations from here on show a fresh view
    bool tail_confirmed = false;
    bool cancelled = false;  ///< must not be dispatched any more
  };
  struct QueuedRecord {
    LogRecord record;
    RequestId request;
    bool notify = false;  ///< OutcomeRecorded is due
  };
  struct Write {
    std::uint64_t sequence = 0;
    std::string bytes;
    Segment segment;
    std::vector<RequestId> claims;
    std::vector<QueuedRecord> records;
    bool uncertain = false;  ///< an answer was lost: it may be there
  };
  struct Compaction {
    std::string part_name;
    std::string part_bytes;
    Segment segment;
    std::vector<std::string> unused;  ///< parts that are no longer needed
  };

  // Claims (log_shard.cc).
  Requirement Decide(LogContext& context, ClaimEntry& claim);
  Requirement DecideByEntry(LogContext& context, ClaimEntry& claim,
                            const KeyEntry& entry);
  void DecideAgainstActive(LogContext& context, ClaimEntry& claim,
                           const ClaimEntry& active);
  const StoredOutcome* FindUnconfirmedOutcome(const ClaimId& id) const;
  bool IsExpired(const LogContext& context, const KeyEntry& entry) const;
  void Grant(LogContext& context, ClaimEntry& claim);
  void Close(LogContext& context, ClaimEntry& claim);
  void Refuse(LogContext& context, ClaimEntry& claim, ErrorCode code,
              Outcome outcome, std::string_view detail);
  void RefuseUnavailable(LogContext& context, ClaimEntry& claim);
  void RefuseWaiting(LogContext& context);
  void RefuseTimedOut(LogContext& context);
  void Remove(RequestId request);
  void QueueRecord(LogRecord record, RequestId request, bool notify);
  ClaimEntry* FindDispatched(RequestId request);

  // Operations (log_shard_load.cc).
  void StartNextOperation(LogContext& context);
  void Create(LogContext& context, Step step, const std::string& name,
              const std::string& bytes);
  void Read(LogContext& context, Step step, const std::string& name);
  void List(LogContext& context, Step step, const std::string& prefix);
  void Delete(LogContext& context, const std::string& name);
  void HandleFailure(LogContext& context, LogOperationStatus status);
  void BackOff(LogContext& context);
  void StartLoad(LogContext& context);
  void Unload();
  void ReadTail(LogContext& context, bool for_write = false);
  void MarkViewFresh(const LogContext& context);
  void HandleSegmentList(LogContext& context, const LogOperationResult& result);
  void HandleNewestSegment(LogContext& context,
                           const LogOperationResult& result);
  void HandleCheckpoint(LogContext& context, const LogOperationResult& result);
  void HandlePart(LogContext& context, const LogOperationResult& result);
  void ReadNextPart(LogContext& context);
  void HandleTail(LogContext& context, const LogOperationResult& result);
  void HandleTailCheck(LogContext& context, const LogOperationResult& result);
  void ApplySegment(const Segment& segment, std::size_t bytes);
  std::uint64_t UpdateFloors(const std::vector<std::string>& names);

  // Writing (log_shard_write.cc).
  void StartWrite(LogContext& context, const std::vector<RequestId>& requests);
  void CreateSegment(LogContext& context);
  void HandleCreated(LogContext& context, const LogOperationResult& result);
  void HandleReadBack(LogContext& context, const LogOperationResult& result);
  void HandleWriteCheck(LogContext& context, const LogOperationResult& result);
  void ConfirmWrite(LogContext& context);
  void RollBackWrite(LogContext& context);
  void FailWrite(LogContext& context, LogOperationStatus status);
  void RefuseWriting(LogContext& context);

  // Compaction (log_shard_compact.cc).
  bool CompactionDue() const;
  void StartCompaction(LogContext& context);
  void HandlePartCreated(LogContext& context);
  void AbortCompaction(LogContext& context);
  void CreateFloor(LogContext& context);
  void HandleFloorCreated(LogContext& context);

  std::string SegmentName(std::uint64_t sequence) const;
  std::string SegmentPrefix() const;
  std::string FloorPrefix() const;

  std::uint32_t index;
  std::uint32_t segments_per_checkpoint;
  KeyTable table;
  bool loaded = false;
  bool load_requested = false;  ///< a load was asked for
  bool unavailable = false;
  Step step = Step::kIdle;
  LogOperationId operation;  ///< the open one, or 0
  LogOperationId tail_read;  ///< the last read that found the end
  Instant retry_at;
  Duration backoff{0};
  Instant next_write_at;
  std::uint64_t next_sequence = 1;
  /// Everything below was shown to be genuine by a look at the floor; what was
  /// read since counts only once the floor is seen at or below this.
  std::uint64_t verified_sequence = 1;
  std::uint64_t checkpoint_sequence = 0;
  std::uint32_t segments_since = 0;  ///< the last checkpoint
  std::size_t bytes_since = 0;
  bool last_was_own = false;
  Instant view_fresh_until;     ///< no other writer is expected until then
  bool tail_for_write = false;  ///< the open read of the tail precedes a write
  std::set<std::uint64_t> present;  ///< segments that may exist
  std::set<std::string> floors;     ///< floor objects that may exist
  Checkpoint loading;
  std::size_t loading_part = 0;
  std::map<RequestId, ClaimEntry> claims;
  std::set<RequestId> waiting;
  std::map<KeyDigest, RequestId> active_claims;
  std::deque<QueuedRecord> records;
  std::optional<Write> write;
  std::optional<Compaction> compaction;
  LogCounts counts;
};

}  // namespace limpetlink
