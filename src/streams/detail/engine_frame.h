/// @file
/// @brief One frame of an engine's answer: a token or the finish.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "absl/status/statusor.h"
#include "base/base.h"
#include "streams/detail/sse.h"

namespace limpetlink {

/// @brief Why an engine ended a generation.
enum class FinishReason {
  kStop,    ///< the model ended its answer
  kLength,  ///< the bound on output tokens was reached
};

template <>
struct EnumTable<FinishReason> {
  static constexpr EnumName<FinishReason> kRows[] = {
      {FinishReason::kStop, "stop"}, {FinishReason::kLength, "length"}};
};

/// @brief A token at an offset of a generation, or the generation's finish.
struct EngineFrame {
  GenerationId generation;
  std::uint64_t offset = 0;  ///< the token's index; of a finish, the number of
                             ///< tokens of the generation
  std::string text;          ///< the token's text; empty on a finish
  std::optional<FinishReason> finish;
};

/// @brief Reads an engine's event.
/// @param event id "<generation>:<offset>" or empty, and JSON data with
/// generation, offset, and either text or finish_reason
/// @return the frame, or an error with upstream.104
/// @note Example: `ParseEngineFrame({"g:0", "",
/// R"({"generation":"g","offset":0,"text":"a"})"})`
absl::StatusOr<EngineFrame> ParseEngineFrame(const SseEvent& event);

/// @brief Renders a frame as an engine does; used by stand-ins and tests.
/// @return the event that ParseEngineFrame reads back to the same frame
SseEvent EncodeEngineFrame(const EngineFrame& frame);

}  // namespace limpetlink
