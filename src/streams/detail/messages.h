/// @file
/// @brief Input messages and output actions of a stream.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/base.h"
#include "streams/detail/engine_frame.h"

namespace limpetlink {

/// @brief Sequence number of a call within one stream; each StartCall and
/// ResumeCall increments it.
using StreamAttempt = std::uint32_t;

// ---- Input messages ----

/// @brief A worker was assigned: start a new generation there at offset 0.
struct StreamBegin {
  GenerationId generation;  ///< globally unique, never reused
  UpstreamId worker;
};

/// @brief Continue a generation that another host served before.
struct StreamResume {
  GenerationId generation;
  UpstreamId worker;
  std::uint64_t offset = 0;  ///< tokens that the caller already received
};

/// @brief A call received a frame.
struct StreamFrame {
  StreamAttempt attempt = 0;
  EngineFrame frame;
};

/// @brief A call received a response head or a comment, which shows that the
/// engine is alive.
struct StreamCallActivity {
  StreamAttempt attempt = 0;
};

/// @brief Result of a call to an engine.
enum class StreamCallEnd {
  kComplete,           ///< the response body ended
  kCut,                ///< the connection broke; bytes may have been sent
  kTimeout,            ///< the time limit of the call expired
  kNotConnected,       ///< no byte of the request was sent
  kRefused,            ///< the engine reported that it did not run it
  kUnknownGeneration,  ///< the engine does not know the generation
  kMalformed,          ///< the response could not be parsed
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

/// @brief The caller read bytes from its buffer.
struct StreamBufferDrained {
  std::size_t buffered = 0;  ///< bytes that remain in the buffer
};

/// @brief The caller disconnected.
struct StreamCallerLeft {
  /// Whether to cancel the generation. False if this host was frozen: another
  /// host may serve the generation by now, and cancelling it would cut off that
  /// host's caller.
  bool cancel = true;
};

/// @brief End the stream now: deadline reached, no worker available, or forced
/// shutdown.
struct StreamAbort {
  Problem problem;  ///< the stream replaces its outcome with CurrentOutcome()
};

/// @brief Timer event; carries no other information.
struct StreamTick {};

/// @brief Any input message of a stream.
using StreamMessage =
    std::variant<StreamBegin, StreamResume, StreamFrame, StreamCallActivity,
                 StreamCallEnded, StreamBufferDrained, StreamCallerLeft,
                 StreamAbort, StreamTick>;

// ---- Output actions ----

/// @brief Send the request for a new generation to the worker.
struct StartCall {
  StreamAttempt attempt = 0;
  GenerationId generation;
  UpstreamId worker;
};

/// @brief Request the rest of a generation from its worker.
struct ResumeCall {
  StreamAttempt attempt = 0;
  GenerationId generation;
  UpstreamId worker;
  std::uint64_t offset = 0;
};

/// @brief Close a call; the stream ignores all further events of it.
struct AbandonCall {
  StreamAttempt attempt = 0;
};

/// @brief Pause or resume reading the response of a call (back-pressure).
struct PauseCall {
  StreamAttempt attempt = 0;
  bool paused = true;
};

/// @brief Send the next token to the caller.
struct DeliverToken {
  GenerationId generation;
  std::uint64_t offset = 0;  ///< the token's index in its generation
  std::string text;
};

/// @brief Finish the response, which is complete. Always the last action.
struct FinishStream {
  GenerationId generation;
  std::uint64_t tokens = 0;
  FinishReason reason = FinishReason::kStop;
};

/// @brief End the response before it is complete. Always the last action.
/// Tokens already delivered remain valid.
struct EndIncomplete {
  GenerationId generation;
  std::uint64_t tokens = 0;  ///< tokens that the caller holds
  Problem problem;
};

/// @brief Notify the caller that a new generation starts at offset 0 and that
/// it must discard the tokens received so far.
struct RestartStream {
  GenerationId dropped;
  std::uint64_t dropped_tokens = 0;
  GenerationId generation;
};

/// @brief Find another worker. The reply is StreamBegin or StreamAbort.
struct RequestNewWorker {
  std::vector<UpstreamId> excluded;  ///< workers that failed this stream
  /// Tokens that the caller holds; with 0 the caller does not notice the rerun.
  std::uint64_t delivered = 0;
  StreamCallEnd cause = StreamCallEnd::kCut;
  bool may_have_run = true;  ///< false: the lost worker did not run the request
};

/// @brief Request that the worker cancels the generation; best effort.
struct CancelGeneration {
  UpstreamId worker;
  GenerationId generation;
};

/// @brief Any output action of a stream.
using StreamAction =
    std::variant<StartCall, ResumeCall, AbandonCall, PauseCall, DeliverToken,
                 FinishStream, EndIncomplete, RestartStream, RequestNewWorker,
                 CancelGeneration>;

/// @brief Actions in the order in which they must be executed.
using StreamActions = std::vector<StreamAction>;

}  // namespace limpetlink
