/// @file
/// @brief Frames of an engine's response stream: a token or the finish.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "absl/status/statusor.h"
#include "base/base.h"
#include "streams/detail/sse.h"

namespace limpetlink {

/// @brief Reason why an engine finished a generation.
enum class FinishReason {
  kStop,    ///< the model ended its output
  kLength,  ///< the limit on output tokens was reached
};

template <>
struct EnumTable<FinishReason> {
  static constexpr EnumName<FinishReason> kRows[] = {
      {FinishReason::kStop, "stop"}, {FinishReason::kLength, "length"}};
};

/// @brief A token at an offset of a generation, or the end of the generation.
struct EngineFrame {
  GenerationId generation;
  /// Index of the token; in a finish frame, the number of tokens generated.
  std::uint64_t offset = 0;
  std::string text;  ///< text of the token; empty in a finish frame
  std::optional<FinishReason> finish;
};

/// @brief Parses an event sent by an engine.
/// @param event its id is "<generation>:<offset>" or empty; its data is a JSON
/// object with generation, offset, and either text or finish_reason
/// @return the frame, or error upstream.104 if the event is malformed
/// @note Example:
/// @code
/// ParseEngineFrame(
///     {"g:0", "", R"({"generation":"g","offset":0,"text":"a"})"});
/// @endcode
absl::StatusOr<EngineFrame> ParseEngineFrame(const SseEvent& event);

/// @brief Encodes a frame as an engine does; used by fake engines and tests.
/// @return an event that ParseEngineFrame parses to the same frame
SseEvent EncodeEngineFrame(const EngineFrame& frame);

}  // namespace limpetlink
