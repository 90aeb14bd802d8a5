/// @file
/// @brief The state of one caller's stream.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/base.h"
#include "fleet/fleet.h"
#include "streams/detail/messages.h"

namespace limpetlink {

/// @brief How a stream behaves.
struct StreamOptions {
  OnLoss on_loss = OnLoss::kRestart;
  /// Silence that counts as a stall before the first token.
  Duration first_token_timeout{std::chrono::seconds(30)};
  /// Bounds of the learnt silence that counts as a stall between tokens.
  Duration min_stall_timeout{std::chrono::seconds(2)};
  Duration max_stall_timeout{std::chrono::seconds(60)};
  /// A stall is this many times the mean gap between tokens.
  std::uint32_t stall_factor = 40;
  /// Wait before the second resume without progress; doubles with each.
  Duration resume_backoff{std::chrono::milliseconds(100)};
  std::uint32_t max_resumes = 5;          ///< in a row without a new token
  std::uint32_t max_generations = 4;      ///< over the stream's life
  std::size_t high_buffer_bytes = 65536;  ///< reading pauses above
  std::size_t low_buffer_bytes = 16384;   ///< reading goes on at or below
};

/// @brief What a stream dropped or met.
struct StreamCounts {
  std::uint64_t delivered = 0;
  std::uint64_t duplicates = 0;  ///< frames at an offset already delivered
  std::uint64_t gaps = 0;        ///< frames beyond the next offset
  std::uint64_t stale = 0;       ///< frames of another generation
  std::uint64_t late = 0;        ///< events of a call already given up
  std::uint64_t stalls = 0;
  std::uint64_t resumes = 0;
  std::uint64_t restarts = 0;
  std::uint64_t silent_reruns = 0;
  std::uint64_t pauses = 0;
};

/// @brief Where a stream stands.
enum class StreamPhase {
  kWaitingForWorker,
  kCalling,  ///< a call is open
  kBackoff,  ///< the next resume waits for its time or for the caller to drain
  kEnded,    ///< nothing more is decided
};

template <>
struct EnumTable<StreamPhase> {
  static constexpr EnumName<StreamPhase> kRows[] = {
      {StreamPhase::kWaitingForWorker, "waiting_for_worker"},
      {StreamPhase::kCalling, "calling"},
      {StreamPhase::kBackoff, "backoff"},
      {StreamPhase::kEnded, "ended"}};
};

/// @brief One caller's stream: each token once, in order, from one generation.
/// @note A token is delivered only when its call, generation and offset are
/// exactly those awaited; everything else is dropped and counted.
/// @note Example:
/// @code
/// Stream stream(options);
/// Carry(stream.Step(now, StreamBegin{generation, worker}));   // StartCall
/// Carry(stream.Step(now, StreamFrame{attempt, frame}));       // DeliverToken
/// Carry(stream.Step(now, StreamTick{}));          // at NextWakeup()
/// @endcode
class Stream {
 public:
  /// @param options bounds and the route's choice on loss
  explicit Stream(StreamOptions options);

  /// @brief Takes one message in. Constant time but for the token's text.
  /// @param now never earlier than at the step before
  /// @param message what happened
  /// @return what to do, in sequence
  StreamActions Step(Instant now, StreamMessage message);

  /// @return when StreamTick is due at the latest; kNever when nothing is timed
  Instant NextWakeup() const;

  /// @return where the stream stands
  StreamPhase Phase() const { return this->current_phase; }
  /// @return the generation in force; empty before the first
  const GenerationId& Generation() const { return this->current_generation; }
  /// @return the worker of that generation
  const UpstreamId& Worker() const { return this->current_worker; }
  /// @return the offset of the next token
  std::uint64_t NextOffset() const { return this->offset; }
  /// @return what was dropped or met so far
  const StreamCounts& Counts() const { return this->totals; }
  /// @return what a caller may be told if the stream ended now
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

  bool IsCurrentCall(StreamAttempt attempt);
  void TakeToken(Instant now, EngineFrame& frame, StreamActions& out);
  void TakeFinish(const EngineFrame& frame, StreamActions& out);
  void LearnGap(Instant now);
  void PauseIfFull(StreamActions& out);
  void RetryCall(Instant now, StreamCallEnd cause, StreamActions& out);
  void OpenResume(Instant now, StreamActions& out);
  void LoseGeneration(StreamCallEnd cause, bool reached_worker,
                      StreamActions& out);
  void CloseCall(StreamActions& out);
  void End(Problem problem, StreamActions& out);
  Duration StallTimeout() const;

  StreamOptions options;
  StreamPhase current_phase = StreamPhase::kWaitingForWorker;
  GenerationId current_generation;
  UpstreamId current_worker;
  std::uint64_t offset = 0;    ///< of the next token
  std::uint64_t standing = 0;  ///< tokens that the caller holds
  GenerationId standing_generation;
  StreamAttempt attempt = 0;
  bool starting = false;      ///< the open call is the generation's first
  bool at_worker = false;     ///< the generation may be at its worker
  bool may_have_run = false;  ///< an earlier generation may have run
  std::uint32_t generations = 0;
  std::uint32_t resumes_in_row = 0;
  Instant resume_at = kNever;
  Instant last_sign;
  Instant last_token = kNever;
  Duration mean_gap{0};
  bool paused = false;
  std::size_t buffered = 0;
  std::vector<UpstreamId> excluded;
  StreamCounts totals;
};

}  // namespace limpetlink
