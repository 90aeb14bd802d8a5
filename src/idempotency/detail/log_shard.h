/// @file
/// @brief One shard of the idempotency log, as seen by one writer.
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

/// @brief Counters of a shard.
struct LogCounts {
  std::uint64_t creates = 0;  ///< attempts to create an object
  std::uint64_t reads = 0;
  std::uint64_t lists = 0;
  std::uint64_t deletes = 0;
  std::uint64_t segments = 0;  ///< written and confirmed by this writer
  std::uint64_t records = 0;   ///< in those segments
  std::uint64_t collisions = 0;
  std::uint64_t lost_responses = 0;
  /// Views found outdated: numbers that were read had been freed by deletions.
  std::uint64_t stale_views = 0;
  std::uint64_t checkpoints = 0;
  std::uint64_t dispatched = 0;
  std::uint64_t replayed = 0;
  std::uint64_t refused = 0;
};

/// @brief One shard of the log.
/// At most one operation on the object API is open at a time, not counting
/// deletes. After a create whose result is unknown, the writer uses no other
/// segment name until it knows who wrote the object.
class LogShard {
 public:
  /// @param index number of the shard
  /// @param segments_per_checkpoint number of segments after which a checkpoint
  /// is due
  LogShard(std::uint32_t index, std::uint32_t segments_per_checkpoint);

  /// @brief Adds a claim for a key.
  void Claim(LogContext& context, const ClaimKey& claim, const KeyDigest& key);
  /// @brief Cancels a claim that is not yet dispatched.
  void Abandon(LogContext& context, RequestId request);
  /// @brief Queues the outcome of a dispatched claim for storage.
  void StoreOutcome(LogContext& context, RequestId request,
                    StoredOutcome outcome);
  /// @brief Withdraws a dispatched claim that did not run, which frees its key.
  void Withdraw(LogContext& context, RequestId request);
  /// @brief Closes a dispatched claim whose outcome will stay unknown.
  void MarkUnknown(LogContext& context, RequestId request);
  /// @brief Processes the result of an object API operation.
  void HandleResult(LogContext& context, const LogOperationResult& result);
  /// @brief Loads the shard unless it is already loaded.
  void Load(LogContext& context);
  /// @brief Refuses claims that timed out and starts due operations.
  void Tick(LogContext& context);

  /// @return the latest time at which Tick is due
  Instant NextWakeup() const;
  /// @return whether no claim and no record is open
  bool Idle() const { return this->claims.empty() && this->records.empty(); }
  /// @return whether all segments of the shard were read
  bool Loaded() const { return this->loaded; }
  /// @return whether the last object API operation failed
  bool Unavailable() const { return this->unavailable; }
  /// @return the counters
  const LogCounts& Counts() const { return this->counts; }
  /// @return the keys of all segments read so far
  const KeyTable& Keys() const { return this->table; }

 private:
  enum class Step {
    kIdle,
    kListing,
    kReadingNewest,
    kReadingCheckpoint,
    kReadingCheckpointPart,
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
    /// Counter value at arrival; operations with a higher number started later.
    std::uint64_t arrival = 0;
    bool tail_confirmed = false;
    bool cancelled = false;  ///< must not be dispatched
  };
  struct QueuedRecord {
    LogRecord record;
    RequestId request;
    bool notify = false;  ///< report OutcomeRecorded once stored
  };
  struct Write {
    std::uint64_t sequence = 0;
    std::string bytes;
    Segment segment;
    std::vector<RequestId> claims;
    std::vector<QueuedRecord> records;
    bool uncertain = false;  ///< a response was lost; the object may exist
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
  void HandleWriteFailure(LogContext& context, LogOperationStatus status);
  void RefuseWriting(LogContext& context);

  // Compaction (log_shard_compact.cc).
  bool IsCompactionDue() const;
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
  bool load_requested = false;
  bool unavailable = false;
  Step step = Step::kIdle;
  LogOperationId operation;       ///< the open operation, or 0
  LogOperationId last_tail_read;  ///< last read that found the end of the log
  Instant retry_at;
  Duration backoff{0};
  Instant next_write_at;
  std::uint64_t next_sequence = 1;
  /// All segments below this number are verified: the floor showed that their
  /// numbers had not been freed and reused. Segments read since then are
  /// verified once a later check finds the floor at or below this number.
  std::uint64_t verified_sequence = 1;
  std::uint64_t checkpoint_sequence = 0;
  std::uint32_t segments_since_checkpoint = 0;
  std::size_t bytes_since_checkpoint = 0;
  bool last_segment_owned = false;
  Instant view_fresh_until;  ///< no other writer is expected before
  /// The open read of the log's end precedes a write.
  bool tail_for_write = false;
  std::set<std::uint64_t> present_segments;  ///< segments that may exist
  std::set<std::string> floors;              ///< floor objects that may exist
  Checkpoint loading_checkpoint;
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
