/// @file
/// @brief Measures the cost per token at an entry host: identity checks, resume
/// token and SSE.
#include "streams/streams.h"

#include <chrono>
#include <cstdio>
#include <string>

namespace limpetlink {
namespace {

constexpr std::uint64_t kTokens = 400000;
constexpr std::uint64_t kSlowTokens = 40000;
constexpr double kTokensPerSecond = 12200;  // per host at the target size

double SecondsSince(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
      .count();
}

void Print(const char* label, double seconds, std::uint64_t tokens) {
  const double seconds_per_token = seconds / static_cast<double>(tokens);
  std::printf("%-44s %8.3f us a token, %6.3f %% of a core at %.0f tokens/s\n",
              label, seconds_per_token * 1e6,
              seconds_per_token * kTokensPerSecond * 100, kTokensPerSecond);
}

void MeasureMinting(const ResumeToken& token) {
  const OrganisationId organisation{"swan-coast"};
  std::size_t bytes = 0;
  auto start = std::chrono::steady_clock::now();
  const ResumeTokenMinter minter("secret", organisation, token);
  for (std::uint64_t i = 0; i < kTokens; ++i) {
    bytes += minter.At(i).size();
  }
  Print("resume token, one MAC a generation", SecondsSince(start), kTokens);
  start = std::chrono::steady_clock::now();
  for (std::uint64_t i = 0; i < kSlowTokens; ++i) {
    ResumeToken token_at_offset = token;
    token_at_offset.offset = i;
    bytes += MintResumeToken("secret", organisation, token_at_offset).size();
  }
  Print("resume token, one MAC a token (not used)", SecondsSince(start),
        kSlowTokens);
  std::printf("resume token, length %zu bytes\n",
              bytes / (kTokens + kSlowTokens));
}

void MeasureStream(const GenerationId& generation) {
  Stream stream{StreamOptions()};
  Instant now{};
  stream.Step(now, StreamBegin{generation, {"perth-a-7"}});
  std::size_t actions = 0;
  const auto start = std::chrono::steady_clock::now();
  for (std::uint64_t i = 0; i < kTokens; ++i) {
    now += std::chrono::milliseconds(20);
    actions +=
        stream.Step(now, StreamFrame{1, {generation, i, " word", std::nullopt}})
            .size();
    actions += stream.Step(now, StreamBufferDrained{0}).size();
  }
  Print("stream, frame to delivery", SecondsSince(start), kTokens);
  if (actions != kTokens) {
    std::printf("unexpected actions: %zu\n", actions);
  }
}

void MeasureDecoding(const GenerationId& generation) {
  std::string wire;
  for (std::uint64_t i = 0; i < kSlowTokens; ++i) {
    wire +=
        EncodeSse(EncodeEngineFrame({generation, i, " word", std::nullopt}));
  }
  SseDecoder decoder;
  std::uint64_t frames = 0;
  const auto start = std::chrono::steady_clock::now();
  constexpr std::size_t kChunk = 512;
  for (std::size_t offset = 0; offset < wire.size(); offset += kChunk) {
    const auto events = decoder.Feed(wire.substr(offset, kChunk));
    for (const SseEvent& event : *events) {
      frames += ParseEngineFrame(event).ok() ? 1 : 0;
    }
  }
  Print("engine's bytes to frames", SecondsSince(start), frames);
}

void MeasureEncoding(const ResumeToken& token) {
  const ResumeTokenMinter minter("secret", {"swan-coast"}, token);
  std::size_t bytes = 0;
  const auto start = std::chrono::steady_clock::now();
  for (std::uint64_t i = 0; i < kTokens; ++i) {
    bytes += EncodeSse({minter.At(i), "", R"({"choices":[{"text":" word"}]})"})
                 .size();
  }
  Print("event to the caller's bytes", SecondsSince(start), kTokens);
  std::printf("event to the caller, length %zu bytes; a Stream is %zu bytes\n",
              bytes / kTokens, sizeof(Stream));
}

}  // namespace
}  // namespace limpetlink

int main() {
  const limpetlink::GenerationId generation{"perth-1-8f3a2c-000123"};
  const limpetlink::ResumeToken token{
      {"perth-a-7"}, generation, 0, 4711, "drafts"};
  limpetlink::MeasureMinting(token);
  limpetlink::MeasureStream(generation);
  limpetlink::MeasureDecoding(generation);
  limpetlink::MeasureEncoding(token);
  return 0;
}
