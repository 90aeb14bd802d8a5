/// @file
/// @brief State machine of one caller's token stream.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/base.h"
#include "fleet/fleet.h"
#include "streams/detail/messages.h"

namespace limpetlink {

/// @brief Options of a stream.
struct StreamOptions {
  OnLoss on_loss = OnLoss::kRestart;
  /// Time without data before the first token that counts as a stall.
  Duration first_token_timeout{std::chrono::seconds(30)};
  /// Limits of the adaptive stall timeout between tokens.
  Duration min_stall_timeout{std::chrono::seconds(2)};
  Duration max_stall_timeout{std::chrono::seconds(60)};
  /// Stall timeout as a multiple of the mean gap between tokens.
  std::uint32_t stall_factor = 40;
  /// Delay before the second resume without progress; doubles with each one.
  Duration resume_backoff{std::chrono::milliseconds(100)};
  std::uint32_t max_resumes = 5;      ///< consecutive, without a new token
  std::uint32_t max_generations = 4;  ///< over the lifetime of the stream
  /// Generations lost before `first_output_tokens`. The request itself may end
  /// the engines that answer it.
  std::uint32_t max_early_losses = 2;
  std::uint64_t first_output_tokens = 8;
  std::size_t high_buffer_bytes = 65536;  ///< reading pauses above this size
  std::size_t low_buffer_bytes = 16384;   ///< reading resumes at or below it
};

/// @brief Counters of a stream.
struct StreamCounts {
  std::uint64_t delivered = 0;
  std::uint64_t duplicates = 0;  ///< frames at an offset already delivered
  std::uint64_t gaps = 0;        ///< frames beyond the next offset
  std::uint64_t stale = 0;       ///< frames of another generation
  std::uint64_t late = 0;        ///< events of a call that was abandoned
  std::uint64_t stalls = 0;
  std::uint64_t resumes = 0;
  std::uint64_t restarts = 0;
  std::uint64_t silent_reruns = 0;
  std::uint64_t pauses = 0;
};

/// @brief Phase of a stream.
enum class StreamPhase {
  kWaitingForWorker,
  kCalling,  ///< a call is open
  kBackoff,  ///< waits to resume: for a delay, or for the caller to read
  kEnded,    ///< final; returns no more actions
};

template <>
struct EnumTable<StreamPhase> {
  static constexpr EnumName<StreamPhase> kRows[] = {
      {StreamPhase::kWaitingForWorker, "waiting_for_worker"},
      {StreamPhase::kCalling, "calling"},
      {StreamPhase::kBackoff, "backoff"},
      {StreamPhase::kEnded, "ended"}};
};

/// @brief Delivers each token of one generation to a caller once and in order.
/// @note A token is delivered only if its call, generation and offset are
/// exactly those expected; all other frames are dropped and counted.
/// @note Example:
/// @code
/// Stream stream(options);
/// Execute(stream.Step(now, StreamBegin{generation, worker}));  // StartCall
/// Execute(stream.Step(now, StreamFrame{attempt, frame}));  // DeliverToken
/// Execute(stream.Step(now, StreamTick{}));  // at NextWakeup()
/// @endcode
class Stream {
 public:
  /// @param options timeouts, limits and the route's behaviour on loss
  explicit Stream(StreamOptions options);

  /// @brief Processes one message.
  /// @param now not earlier than in the previous step
  /// @param message the input message
  /// @return the actions to execute, in order
  /// @note Complexity: constant, apart from moving the token text.
  StreamActions Step(Instant now, StreamMessage message);

  /// @return latest time of the next StreamTick; kNever if no timer is active
  Instant NextWakeup() const;

  /// @return the current phase
  StreamPhase Phase() const { return this->current_phase; }
  /// @return the current generation; empty before the first one
  const GenerationId& Generation() const { return this->current_generation; }
  /// @return the worker of the current generation
  const UpstreamId& Worker() const { return this->current_worker; }
  /// @return the offset of the next token
  std::uint64_t NextOffset() const { return this->offset; }
  /// @return the counters so far
  const StreamCounts& Counts() const { return this->totals; }
  /// @return the outcome to report to the caller if the stream ended now
  Outcome CurrentOutcome() const;

 private:
  void Handle(Instant now, StreamBegin& message, StreamActions& out);
  void Handle(Instant now, StreamResume& message, StreamActions& out);
  void Handle(Instant now, StreamFrame& message, StreamActions& out);
  void Handle(Instant now, StreamCallActivity& message, StreamActions& out);
  void Handle(Instant now, StreamCallEnded& message, StreamActions& out);
  void Handle(Instant now, StreamBufferDrained& message, StreamActions& out);
  void Handle(Instant now, StreamCallerLeft& message, StreamActions& out);
  void Handle(Instant now, StreamAbort& message, StreamActions& out);
  void Handle(Instant now, StreamTick& message, StreamActions& out);

  /// Returns whether events of the call are valid; counts others as late.
  bool IsCurrentCall(StreamAttempt attempt);
  void HandleToken(Instant now, EngineFrame& frame, StreamActions& out);
  void HandleFinish(const EngineFrame& frame, StreamActions& out);
  void UpdateMeanGap(Instant now);
  void PauseIfFull(StreamActions& out);
  void RetryCall(Instant now, StreamCallEnd cause, StreamActions& out);
  void OpenResumeCall(Instant now, StreamActions& out);
  void HandleGenerationLost(StreamCallEnd cause, bool reached_worker,
                            StreamActions& out);
  void AbandonAndCancel(StreamActions& out);
  void End(Problem problem, StreamActions& out);
  Duration StallTimeout() const;

  StreamOptions options;
  StreamPhase current_phase = StreamPhase::kWaitingForWorker;
  GenerationId current_generation;
  UpstreamId current_worker;
  std::uint64_t offset = 0;        ///< offset of the next token
  std::uint64_t held_tokens = 0;   ///< tokens that the caller holds
  GenerationId caller_generation;  ///< generation of these tokens
  StreamAttempt attempt = 0;
  bool first_call = false;        ///< the open call started its generation
  bool may_be_at_worker = false;  ///< the worker may be running it
  bool may_have_run = false;      ///< an earlier generation may have run
  std::uint32_t generations = 0;
  std::uint32_t early_losses = 0;
  std::uint32_t consecutive_resumes = 0;
  Instant next_resume = kNever;
  Instant last_activity;
  Instant last_token = kNever;
  Duration mean_gap{0};
  bool paused = false;
  std::size_t buffered = 0;
  std::vector<UpstreamId> excluded;
  StreamCounts totals;
};

}  // namespace limpetlink
