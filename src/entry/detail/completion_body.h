/// @file
/// @brief Request and response bodies of the OpenAI-compatible completion
/// endpoints.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "base/base.h"

namespace limpetlink {

/// @brief Completion endpoint that a caller used.
enum class CompletionKind { kText, kChat };

/// @brief Parsed body of a completion request.
struct CompletionBody {
  std::string model;
  std::string prompt;  ///< chat messages are joined, one per line
  std::uint32_t max_output_tokens = 0;  ///< 0: the model's maximum
  bool stream = false;
};

/// @brief Parses the body of a completion request.
/// @param kind the endpoint
/// @param body JSON text
/// @return the request, or request.101 with the name of the invalid member
absl::StatusOr<CompletionBody> ParseCompletionBody(CompletionKind kind,
                                                   std::string_view body);

/// @brief Estimates the number of tokens of a prompt.
/// @param prompt the prompt
/// @return the number of tokens at four bytes per token, at least 1
std::uint32_t EstimatePromptTokens(std::string_view prompt);

/// @brief Hashes the leading blocks of a prompt, so that prompts with a common
/// prefix have equal leading hashes.
/// @param model the model; part of the hash, as models do not share caches
/// @param prompt the prompt
/// @return one hash per complete block of 256 bytes, at most 16
std::vector<std::uint64_t> HashPrefixBlocks(std::string_view model,
                                            std::string_view prompt);

/// @brief Values that all chunks of a response share.
struct ResponseMetadata {
  CompletionKind kind = CompletionKind::kText;
  std::string id;
  std::string model;
};

/// @brief Renders the chunks of a streamed response. The parts that all token
/// chunks share are rendered once.
class ChunkWriter {
 public:
  /// @param metadata values shared by all chunks
  explicit ChunkWriter(const ResponseMetadata& metadata);

  /// @brief Renders the chunk of a token.
  /// @param text text of the token
  /// @return JSON on one line; linear in the length of the text
  std::string TokenChunk(std::string_view text) const;

  /// @brief Renders the last chunk.
  /// @param finish_reason why the generation ended
  /// @return JSON on one line
  std::string FinalChunk(std::string_view finish_reason) const;

 private:
  ResponseMetadata metadata;
  std::string chunk_prefix;
  std::string chunk_suffix;
};

/// @brief Renders the body of a response that is not streamed.
/// @param metadata id, model and kind of the response
/// @param text text of all tokens
/// @param finish_reason why the generation ended
/// @param prompt_tokens estimated length of the prompt
/// @param output_tokens number of generated tokens
/// @return JSON on one line
std::string RenderCompletionResponse(const ResponseMetadata& metadata,
                                     std::string_view text,
                                     std::string_view finish_reason,
                                     std::uint32_t prompt_tokens,
                                     std::uint32_t output_tokens);

}  // namespace limpetlink
