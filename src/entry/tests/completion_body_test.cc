#include "entry/detail/completion_body.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace limpetlink {
namespace {

TEST_CASE(
    "completion body, text endpoint, has model, prompt, limit and stream") {
  const auto body = ParseCompletionBody(
      CompletionKind::kText,
      R"({"model":"m","prompt":"hello","max_tokens":5,"stream":true})");
  REQUIRE(body.ok());
  CHECK(body->model == "m");
  CHECK(body->prompt == "hello");
  CHECK(body->max_output_tokens == 5);
  CHECK(body->stream);
}

TEST_CASE("completion body, chat endpoint, joins the messages") {
  const auto body = ParseCompletionBody(
      CompletionKind::kChat,
      R"({"model":"m","messages":[{"role":"user","content":"a"},
                              {"role":"assistant","content":"b"}]})");
  REQUIRE(body.ok());
  CHECK(body->prompt == "user: a\nassistant: b\n");
  CHECK_FALSE(body->stream);
}

TEST_CASE("completion body, malformed, is rejected with request.101") {
  for (const char* malformed :
       {"", "[]", "{", R"({"prompt":"x"})", R"({"model":1,"prompt":"x"})",
        R"({"model":"m"})", R"({"model":"m","prompt":"x","max_tokens":0})",
        R"({"model":"m","prompt":"x","max_tokens":"5"})",
        R"({"model":"m","prompt":"x","max_tokens":99999999999999999999})",
        R"({"model":"m","prompt":"x","stream":"yes"})"}) {
    const auto body = ParseCompletionBody(CompletionKind::kText, malformed);
    CHECK(ErrorCodeOf(body.status()) == ErrorCode::kRequestMalformed);
  }
}

TEST_CASE(
    "prefix blocks, prompts with a common prefix, share the leading hashes "
    "only") {
  const std::string common(512, 'a');
  const auto first = HashPrefixBlocks("m", common + std::string(256, 'b'));
  const auto second = HashPrefixBlocks("m", common + std::string(256, 'c'));
  REQUIRE(first.size() == 3);
  CHECK(first[1] == second[1]);
  CHECK(first[2] != second[2]);
  CHECK(HashPrefixBlocks("other", common)[0] != first[0]);
}

TEST_CASE(
    "response bodies, chunk and complete, have the OpenAI-compatible shape") {
  const ResponseMetadata metadata{CompletionKind::kChat, "c1", "m"};
  const auto chunk =
      nlohmann::json::parse(ChunkWriter(metadata).TokenChunk("a\"b"));
  CHECK(chunk["choices"][0]["delta"]["content"] == "a\"b");
  CHECK(chunk["choices"][0]["finish_reason"].is_null());
  CHECK(chunk["id"] == "c1");
  const auto last =
      nlohmann::json::parse(ChunkWriter(metadata).FinalChunk("stop"));
  CHECK(last["choices"][0]["finish_reason"] == "stop");
  CHECK(last["choices"][0]["delta"].empty());
  const auto response = nlohmann::json::parse(
      RenderCompletionResponse(metadata, "all", "stop", 3, 4));
  CHECK(response["choices"][0]["message"]["content"] == "all");
  CHECK(response["usage"]["total_tokens"] == 7);
}

}  // namespace
}  // namespace limpetlink
