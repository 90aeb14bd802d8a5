/// @file
/// @brief Bodies of completion requests and answers in the OpenAI-compatible
/// shape.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "base/base.h"

namespace limpetlink {

/// @brief Which of the two completion endpoints a caller used.
enum class CompletionKind { kText, kChat };

/// @brief What a caller asks of a model.
struct CompletionBody {
  std::string model;
  std::string prompt;  ///< messages of a chat are joined, a line each
  std::uint32_t max_output_tokens = 0;  ///< 0: the model's own bound
  bool stream = false;
};

/// @brief Parses the body of a completion request.
/// @param kind the endpoint
/// @param body JSON text
/// @return the request, or request.101 naming the member at fault
absl::StatusOr<CompletionBody> ParseCompletionBody(CompletionKind kind,
                                                   std::string_view body);

/// @brief Estimates a prompt's length.
/// @param prompt the prompt
/// @return tokens, at four bytes a token, at least 1
std::uint32_t EstimatePromptTokens(std::string_view prompt);

/// @brief Hashes of a prompt's leading blocks; equal prefixes give equal
/// leading hashes.
/// @param model the model, since caches are apart
/// @param prompt the prompt
/// @return a hash for each whole block, at most 16
std::vector<std::uint64_t> HashPrefixBlocks(std::string_view model,
                                            std::string_view prompt);

/// @brief What stays equal in every chunk of one answer.
struct ResponseMetadata {
  CompletionKind kind = CompletionKind::kText;
  std::string id;
  std::string model;
};

/// @brief Writes the chunks of one streamed answer; what they share is rendered
/// once.
class ChunkWriter {
 public:
  /// @param header the answer's own values
  explicit ChunkWriter(const ResponseMetadata& metadata);

  /// @brief Writes a token's chunk.
  /// @param text the token's text
  /// @return JSON text on one line. Linear in the text's length.
  std::string TokenChunk(std::string_view text) const;

  /// @brief Writes the last chunk.
  /// @param finish_reason why the generation ended
  /// @return JSON text on one line
  std::string FinalChunk(std::string_view finish_reason) const;

 private:
  ResponseMetadata metadata;
  std::string chunk_prefix;
  std::string chunk_suffix;
};

/// @brief Writes a whole answer.
/// @param header the answer's own values
/// @param text all of the tokens' text
/// @param finish_reason why the generation ended
/// @param prompt_tokens estimated
/// @param output_tokens counted
/// @return JSON text
std::string RenderCompletionResponse(const ResponseMetadata& metadata,
                                     std::string_view text,
                                     std::string_view finish_reason,
                                     std::uint32_t prompt_tokens,
                                     std::uint32_t output_tokens);

}  // namespace limpetlink
