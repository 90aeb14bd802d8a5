/// @file
/// @brief What a stream is told and what it decides.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/base.h"
#include "streams/detail/engine_frame.h"

namespace limpetlink {

/// @brief Number of a call within one stream; each StartCall and ResumeCall has
/// the next one.
using StreamAttempt = std::uint32_t;

// ---- What a stream is told ----

/// @brief A worker was found: run this new generation there from offset 0.
struct StreamBegin {
  GenerationId generation;  ///< unique for all time
  UpstreamId worker;
};

/// @brief Another host served this generation before: go on at an offset.
struct StreamResume {
  GenerationId generation;
  UpstreamId worker;
  std::uint64_t offset = 0;  ///< tokens that the caller has
};

/// @brief A frame arrived on a call.
struct StreamFrame {
  StreamAttempt attempt = 0;
  EngineFrame frame;
};

/// @brief The head of an answer or a comment arrived: the engine is alive.
struct StreamCallActivity {
  StreamAttempt attempt = 0;
};

/// @brief How a call to an engine ended.
enum class StreamCallEnd {
  kComplete,           ///< the answer's body ended
  kCut,                ///< the connection broke after bytes may have been sent
  kTimeout,            ///< the call's own time limit passed
  kNotConnected,       ///< no byte of the request left the host
  kRefused,            ///< the engine said it did not run it
  kUnknownGeneration,  ///< the engine does not know the generation
  kMalformed,          ///< the answer could not be read
};

template <>
struct EnumTable<StreamCallEnd> {
  static constexpr EnumName<StreamCallEnd> kRows[] = {
      {StreamCallEnd::kComplete, "complete"},
      {StreamCallEnd::kCut, "cut"},
      {StreamCallEnd::kTimeout, "timeout"},
      {StreamCallEnd::kNotConnected, "not_connected"},
      {StreamCallEnd::kRefused, "refused"},
      {StreamCallEnd::kUnknownGeneration, "gone"},
      {StreamCallEnd::kMalformed, "malformed"}};
};

/// @brief A call ended.
struct StreamCallEnded {
  StreamAttempt attempt = 0;
  StreamCallEnd end = StreamCallEnd::kComplete;
};

/// @brief The caller took bytes.
struct StreamBufferDrained {
  std::size_t buffered = 0;  ///< bytes still waiting for the caller
};

/// @brief The caller left.
struct StreamCallerLeft {
  /// False when this host was frozen: another host may serve the generation by
  /// now, so that cancelling it would cut a caller off.
  bool cancel = true;
};

/// @brief End the stream now: deadline, no worker to be had, or shutdown by
/// force.
struct StreamAbort {
  Problem problem;  ///< its outcome is corrected by what the stream knows
};

/// @brief Only time has passed.
struct StreamTick {};

/// @brief What a stream may be told.
using StreamMessage =
    std::variant<StreamBegin, StreamResume, StreamFrame, StreamCallActivity,
                 StreamCallEnded, StreamBufferDrained, StreamCallerLeft,
                 StreamAbort, StreamTick>;

// ---- What a stream decides ----

/// @brief Send the generation's request to the worker.
struct StartCall {
  StreamAttempt attempt = 0;
  GenerationId generation;
  UpstreamId worker;
};

/// @brief Ask the worker for the same generation from an offset on.
struct ResumeCall {
  StreamAttempt attempt = 0;
  GenerationId generation;
  UpstreamId worker;
  std::uint64_t offset = 0;
};

/// @brief Close a call; events of it are ignored from now on.
struct AbandonCall {
  StreamAttempt attempt = 0;
};

/// @brief Stop or go on reading a call's answer (back-pressure).
struct PauseCall {
  StreamAttempt attempt = 0;
  bool paused = true;
};

/// @brief Give the caller the next token.
struct DeliverToken {
  GenerationId generation;
  std::uint64_t offset = 0;  ///< the token's index in its generation
  std::string text;
};

/// @brief The answer is whole; the last thing decided.
struct FinishStream {
  GenerationId generation;
  std::uint64_t tokens = 0;
  FinishReason reason = FinishReason::kStop;
};

/// @brief The answer ends unfinished; the last thing decided. What was
/// delivered stands.
struct EndIncomplete {
  GenerationId generation;
  std::uint64_t tokens = 0;  ///< delivered and standing
  Problem problem;
};

/// @brief Tell the caller to drop what it has: a new generation starts at
/// offset 0.
struct RestartStream {
  GenerationId dropped;
  std::uint64_t dropped_tokens = 0;
  GenerationId generation;
};

/// @brief Find another worker; answered by StreamBegin or StreamAbort.
struct RequestNewWorker {
  std::vector<UpstreamId> excluded;  ///< workers that failed this stream
  std::uint64_t delivered = 0;       ///< tokens that the caller holds; 0: the
                                     ///< rerun is silent
  StreamCallEnd cause = StreamCallEnd::kCut;
  bool may_have_run = true;  ///< false: nothing reached the lost worker
};

/// @brief Tell the worker to drop the generation; best effort.
struct CancelGeneration {
  UpstreamId worker;
  GenerationId generation;
};

/// @brief What a stream may decide.
using StreamAction =
    std::variant<StartCall, ResumeCall, AbandonCall, PauseCall, DeliverToken,
                 FinishStream, EndIncomplete, RestartStream, RequestNewWorker,
                 CancelGeneration>;

/// @brief Decisions in the sequence in which they are to be carried out.
using StreamActions = std::vector<StreamAction>;

}  // namespace limpetlink
