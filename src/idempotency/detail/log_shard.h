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
  bool Unavailable() const { return this->away; }
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
    kChecking,
    kCreatingPart,
    kCreatingFloor,
  };
  enum class ClaimPhase { kWaiting, kWriting, kDispatched, kClosing };
  enum class Need { kNothing, kWrite, kTail };

  struct ClaimEntry {
    RequestId request;
    KeyDigest key;
    ClaimId id;
    std::string body_digest;
    Instant deadline;
    Instant give_up_at;
    ClaimAttempt attempt = ClaimAttempt::kMaybeRepeated;
    ClaimPhase phase = ClaimPhase::kWaiting;
    std::uint64_t arrival = 0;  ///< operations from here on show a fresh view
    bool tail_confirmed = false;
    bool answered = false;  ///< must not be dispatched any more
  };
  struct QueuedRecord {
    LogRecord record;
    RequestId request;
    bool reported = false;  ///< OutcomeRecorded is due
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
  Need Decide(LogContext& context, ClaimEntry& claim);
  Need DecideByEntry(LogContext& context, ClaimEntry& claim,
                     const KeyEntry& entry);
  void DecideAgainstLive(LogContext& context, ClaimEntry& claim,
                         const ClaimEntry& live);
  const StoredOutcome* OutcomeOnItsWay(const ClaimId& id) const;
  bool Expired(const LogContext& context, const KeyEntry& entry) const;
  void Grant(LogContext& context, ClaimEntry& claim);
  void Close(LogContext& context, ClaimEntry& claim);
  void Answer(LogContext& context, ClaimEntry& claim, ErrorCode code,
              Outcome outcome, std::string_view detail);
  void RefuseUnavailable(LogContext& context, ClaimEntry& claim);
  void RefuseWaiting(LogContext& context);
  void GiveUpLate(LogContext& context);
  void Remove(RequestId request);
  void Queue(LogRecord record, RequestId request, bool reported);
  ClaimEntry* Dispatched(RequestId request);

  // Operations (log_shard_load.cc).
  void Pump(LogContext& context);
  void Create(LogContext& context, Step step, const std::string& name,
              const std::string& bytes);
  void Read(LogContext& context, Step step, const std::string& name);
  void List(LogContext& context, Step step, const std::string& prefix);
  void Delete(LogContext& context, const std::string& name);
  void Fail(LogContext& context, LogOperationStatus status);
  void BackOff(LogContext& context);
  void StartLoad(LogContext& context);
  void Unload();
  void ReadTail(LogContext& context, bool for_write = false);
  void SetFresh(const LogContext& context);
  void TakeNames(LogContext& context, const LogOperationResult& result);
  void TakeNewest(LogContext& context, const LogOperationResult& result);
  void TakeCheckpoint(LogContext& context, const LogOperationResult& result);
  void TakePart(LogContext& context, const LogOperationResult& result);
  void ReadNextPart(LogContext& context);
  void TakeTail(LogContext& context, const LogOperationResult& result);
  void TakeTailCheck(LogContext& context, const LogOperationResult& result);
  void ApplySegment(const Segment& segment, std::size_t bytes);
  std::uint64_t Floor(const std::vector<std::string>& names);

  // Writing (log_shard_write.cc).
  void StartWrite(LogContext& context, const std::vector<RequestId>& wanting);
  void CreateAgain(LogContext& context);
  void TakeCreated(LogContext& context, const LogOperationResult& result);
  void TakeReadBack(LogContext& context, const LogOperationResult& result);
  void TakeCheck(LogContext& context, const LogOperationResult& result);
  void Confirm(LogContext& context);
  void TakeBack(LogContext& context);
  void FailWrite(LogContext& context, LogOperationStatus status);
  void RefuseWriting(LogContext& context);

  // Compaction (log_shard_compact.cc).
  bool CompactionDue() const;
  void StartCompaction(LogContext& context);
  void TakePartCreated(LogContext& context);
  void DropCompaction(LogContext& context);
  void StartFloor(LogContext& context);
  void TakeFloor(LogContext& context);

  std::string SegmentName(std::uint64_t sequence) const;
  std::string SegmentPrefix() const;
  std::string FloorPrefix() const;

  std::uint32_t index;
  std::uint32_t segments_per_checkpoint;
  KeyTable table;
  bool loaded = false;
  bool wanted = false;  ///< a load was asked for
  bool away = false;
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
  Instant fresh_until;          ///< no other writer is expected until then
  bool tail_for_write = false;  ///< the open read of the tail precedes a write
  std::set<std::uint64_t> present;  ///< segments that may exist
  std::set<std::string> floors;     ///< floor objects that may exist
  Checkpoint loading;
  std::size_t loading_part = 0;
  std::map<RequestId, ClaimEntry> claims;
  std::set<RequestId> waiting;
  std::map<KeyDigest, RequestId> live;
  std::deque<QueuedRecord> records;
  std::optional<Write> write;
  std::optional<Compaction> compaction;
  LogCounts counts;
};

}  // namespace limpetlink
