/// @file
/// @brief The life of one stream's migration, from its plan to its end.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/base.h"

namespace limpetlink {

/// @brief Outcome of a KV transfer command.
enum class KvTransferOutcome {
  kCopied,
  kNoSuchRun,   ///< not started yet, or already ended
  kBusy,        ///< another command for the stream is in progress
  kNoCapacity,  ///< destination full or unreachable
  kUnknown,     ///< no response, or a malformed one
};

template <>
struct EnumTable<KvTransferOutcome> {
  static constexpr EnumName<KvTransferOutcome> kRows[] = {
      {KvTransferOutcome::kCopied, "copied"},
      {KvTransferOutcome::kNoSuchRun, "no_such_run"},
      {KvTransferOutcome::kBusy, "busy"},
      {KvTransferOutcome::kNoCapacity, "no_room"},
      {KvTransferOutcome::kUnknown, "unknown"}};
};

/// @brief An engine's response to a KV transfer command.
struct KvTransferResult {
  KvTransferOutcome outcome = KvTransferOutcome::kUnknown;
  /// Identifies the transferred cache. If set with kNoCapacity, the source
  /// itself holds the stopped stream.
  std::string handle;
  std::uint64_t events = 0;  ///< generated so far; 0 if unknown
};

/// @brief Phase of a stream migration.
enum class MovePhase {
  kScheduled,  ///< no copy exists; the first transfer starts later
  kCopying,    ///< first transfer, while the stream runs
  kCopied,     ///< a copy exists; the source is to be stopped
  kStopping,   ///< the source stops and transfers the rest
  kStopped,    ///< transfers ended; awaits the source's last events
  kEnded,
};

template <>
struct EnumTable<MovePhase> {
  static constexpr EnumName<MovePhase> kRows[] = {
      {MovePhase::kScheduled, "scheduled"}, {MovePhase::kCopying, "copying"},
      {MovePhase::kCopied, "copied"},       {MovePhase::kStopping, "stopping"},
      {MovePhase::kStopped, "stopped"},     {MovePhase::kEnded, "ended"}};
};

/// @brief What the owner of a StreamMove has to do next.
enum class MoveStep {
  kNone,
  kWait,     ///< call OnTimer() after the delay
  kCopy,     ///< choose a destination and command the first transfer to it
  kStop,     ///< command the last transfer
  kResume,   ///< end the move and continue the stream from the copy
  kDeliver,  ///< the source sent the whole stream
  kAbort,    ///< the source closed the stream before its last event
  kLeave,    ///< the source's end stands for itself; the move can't help
  kGiveUp,   ///< too many attempts; the stream stays at its source
};

template <>
struct EnumTable<MoveStep> {
  static constexpr EnumName<MoveStep> kRows[] = {
      {MoveStep::kNone, "none"},     {MoveStep::kWait, "wait"},
      {MoveStep::kCopy, "copy"},     {MoveStep::kStop, "stop"},
      {MoveStep::kResume, "resume"}, {MoveStep::kDeliver, "deliver"},
      {MoveStep::kAbort, "abort"},   {MoveStep::kLeave, "leave"},
      {MoveStep::kGiveUp, "give_up"}};
};

/// @brief The next step of a move.
struct MoveAction {
  MoveStep step = MoveStep::kNone;
  Duration delay{0};   ///< of kWait
  std::string unused;  ///< handle of a copy to release; empty: none
};

/// @brief How the response of a stream's source ended.
enum class SourceEnd {
  kWhole,   ///< its framing says that it is complete
  kClosed,  ///< its connection was closed in order, and nothing else delimits
            ///< it
  kBroken,
};

/// @brief What is left when a move ends.
struct MoveRemains {
  CallId command;      ///< in progress, to be cancelled; 0: none
  std::string handle;  ///< of an unused copy; empty: none
};

/// @brief Decides the steps of one stream's migration. It performs no I/O: the
/// owner reports events, takes the step that each returns, and calls End() once
/// before it drops the object. Events may come in any order and after the end.
///
/// Invariants: at most one command is in progress; a handle exists only from
/// kCopied on, and belongs to Destination() unless AtSource(); the source is
/// told to stop at most once with success.
class StreamMove {
 public:
  StreamMove() = default;
  /// @param planned destination of the plan
  /// @param refused destinations that are known to have no capacity
  StreamMove(UpstreamId source, UpstreamId planned,
             std::vector<UpstreamId> refused = {});

  const UpstreamId& Source() const { return this->source; }
  const UpstreamId& Destination() const { return this->destination; }
  const std::vector<UpstreamId>& Refused() const { return this->refused; }
  MovePhase Phase() const { return this->phase; }
  const std::string& Handle() const { return this->handle; }
  /// @return whether only the source can continue the stream
  bool AtSource() const { return this->at_source; }
  CallId Command() const { return this->command; }

  MoveAction OnTimer();
  /// @brief The command that a step asked for can't be sent now.
  MoveAction OnHeld(Duration delay);
  /// @brief No destination has capacity for the first transfer.
  MoveAction OnNoDestination();
  /// @brief The destination takes no streams any more.
  MoveAction OnDestinationLost();
  /// @brief Selects where the first transfer goes.
  void SetDestination(UpstreamId chosen);
  /// @brief The command that a step asked for was sent.
  void OnCommandSent(CallId call);
  /// @brief A command ended; ignored unless it is the one in progress.
  MoveAction OnCommandEnd(CallId call, const KvTransferResult& result);
  /// @param events_relayed events that the caller has got
  MoveAction OnSourceEnd(SourceEnd end, std::uint64_t events_relayed);
  MoveRemains End();

 private:
  MoveAction Wait(Duration delay);
  MoveAction Settle();
  MoveAction AfterSourceEnd() const;
  /// @return whether the source's end was the end of the stream
  bool IsWhole() const;

  MovePhase phase = MovePhase::kScheduled;
  UpstreamId source;
  UpstreamId destination;
  std::vector<UpstreamId> refused;
  CallId command;
  std::string handle;
  bool at_source = false;
  bool run_gone = false;  ///< the source had no such run when told to stop
  bool source_ended = false;
  SourceEnd source_end = SourceEnd::kBroken;
  std::uint64_t events_generated = 0;  ///< at the source's last response
  std::uint64_t events_relayed = 0;    ///< when the source ended
  std::uint32_t attempts = 0;
};

}  // namespace limpetlink
