#include "entry/detail/completion_body.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "decoding/decoding.h"
#include "entry/detail/reply.h"

namespace limpetlink {
namespace {

using nlohmann::json;

constexpr std::size_t kBytesPerToken = 4;
constexpr std::size_t kBlockBytes = 256;
constexpr std::size_t kMaxBlocks = 16;
constexpr std::int64_t kMaxOutputTokens = 1'000'000;

absl::Status MalformedError(std::string_view detail) {
  return MakeStatus(ErrorCode::kRequestMalformed, detail);
}

absl::StatusOr<std::string> ParseMessages(const json& body) {
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty()) {
    return MalformedError("/messages must be a non-empty array");
  }
  std::string prompt;
  for (const json& message : *messages) {
    const bool valid = message.is_object() && message.contains("role") &&
                       message["role"].is_string() &&
                       message.contains("content") &&
                       message["content"].is_string();
    if (!valid) {
      return MalformedError(
          "/messages: each needs role and content as strings");
    }
    prompt += message["role"].get<std::string>();
    prompt += ": ";
    prompt += message["content"].get<std::string>();
    prompt += '\n';
  }
  return prompt;
}

absl::StatusOr<std::string> ParsePrompt(CompletionKind kind, const json& body) {
  if (kind == CompletionKind::kChat) {
    return ParseMessages(body);
  }
  const auto prompt = body.find("prompt");
  if (prompt == body.end() || !prompt->is_string()) {
    return MalformedError("/prompt must be a string");
  }
  return prompt->get<std::string>();
}

absl::Status ParseOptions(const json& body, CompletionBody& request) {
  const auto max_tokens = body.find("max_tokens");
  if (max_tokens != body.end()) {
    const bool valid = max_tokens->is_number_integer() &&
                       max_tokens->get<std::int64_t>() > 0 &&
                       max_tokens->get<std::int64_t>() <= kMaxOutputTokens;
    if (!valid) {
      return MalformedError("/max_tokens must be an integer from 1 to 1000000");
    }
    request.max_output_tokens = max_tokens->get<std::uint32_t>();
  }
  const auto stream = body.find("stream");
  if (stream != body.end()) {
    if (!stream->is_boolean()) {
      return MalformedError("/stream must be true or false");
    }
    request.stream = stream->get<bool>();
  }
  return absl::OkStatus();
}

json FinishReasonOrNull(std::string_view finish_reason) {
  return finish_reason.empty() ? json() : json(finish_reason);
}

json ChunkChoice(CompletionKind kind, std::string_view text,
                 std::string_view finish_reason) {
  json choice = {{"index", 0},
                 {"finish_reason", FinishReasonOrNull(finish_reason)}};
  if (kind == CompletionKind::kChat) {
    choice["delta"] = text.empty() ? json::object() : json{{"content", text}};
  } else {
    choice["text"] = text;
  }
  return choice;
}

std::string RenderChunk(const ResponseMetadata& metadata, std::string_view text,
                        std::string_view finish_reason) {
  const bool chat = metadata.kind == CompletionKind::kChat;
  const json chunk = {
      {"id", metadata.id},
      {"object", chat ? "chat.completion.chunk" : "text_completion"},
      {"model", metadata.model},
      {"choices",
       json::array({ChunkChoice(metadata.kind, text, finish_reason)})}};
  return DumpJson(chunk);
}

}  // namespace

absl::StatusOr<CompletionBody> ParseCompletionBody(CompletionKind kind,
                                                   std::string_view body) {
  const json json_body = DecodeJsonOrDiscard(body);
  if (!json_body.is_object()) {
    return MalformedError("the body must be a JSON object");
  }
  const auto model = json_body.find("model");
  if (model == json_body.end() || !model->is_string()) {
    return MalformedError("/model must be a string");
  }
  CompletionBody request;
  request.model = model->get<std::string>();
  absl::StatusOr<std::string> prompt = ParsePrompt(kind, json_body);
  if (!prompt.ok()) {
    return prompt.status();
  }
  request.prompt = *std::move(prompt);
  const absl::Status options = ParseOptions(json_body, request);
  if (!options.ok()) {
    return options;
  }
  return request;
}

std::uint32_t EstimatePromptTokens(std::string_view prompt) {
  return static_cast<std::uint32_t>(
      std::max<std::size_t>(1, prompt.size() / kBytesPerToken));
}

std::vector<std::uint64_t> HashPrefixBlocks(std::string_view model,
                                            std::string_view prompt) {
  std::vector<std::uint64_t> blocks;
  std::uint64_t previous = StableHash(model);
  for (std::size_t offset = 0;
       offset + kBlockBytes <= prompt.size() && blocks.size() < kMaxBlocks;
       offset += kBlockBytes) {
    previous = StableHash(prompt.substr(offset, kBlockBytes), previous);
    blocks.push_back(previous);
  }
  return blocks;
}

ChunkWriter::ChunkWriter(const ResponseMetadata& metadata)
    : metadata(metadata) {
  // Placeholder with a fixed JSON form that no id or model name can contain.
  const std::string placeholder = "\\u0001text\\u0001";
  const std::string chunk = RenderChunk(this->metadata, "\x01text\x01", "");
  const std::string quoted = "\"" + placeholder + "\"";
  const std::size_t offset = chunk.find(quoted);
  this->chunk_prefix = chunk.substr(0, offset);
  this->chunk_suffix = chunk.substr(offset + quoted.size());
}

std::string ChunkWriter::TokenChunk(std::string_view text) const {
  std::string chunk = this->chunk_prefix;
  chunk += DumpJson(json(text));
  chunk += this->chunk_suffix;
  return chunk;
}

std::string ChunkWriter::FinalChunk(std::string_view finish_reason) const {
  return RenderChunk(this->metadata, "", finish_reason);
}

std::string RenderCompletionResponse(const ResponseMetadata& metadata,
                                     std::string_view text,
                                     std::string_view finish_reason,
                                     std::uint32_t prompt_tokens,
                                     std::uint32_t output_tokens) {
  const bool chat = metadata.kind == CompletionKind::kChat;
  json choice = {{"index", 0},
                 {"finish_reason", FinishReasonOrNull(finish_reason)}};
  if (chat) {
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  const json response = {
      {"id", metadata.id},
      {"object", chat ? "chat.completion" : "text_completion"},
      {"model", metadata.model},
      {"choices", json::array({choice})},
      {"usage",
       {{"prompt_tokens", prompt_tokens},
        {"completion_tokens", output_tokens},
        {"total_tokens", prompt_tokens + output_tokens}}}};
  return DumpJson(response);
}

}  // namespace limpetlink
