#include <catch2/catch.hpp>

#include "streams/streams.h"

namespace limpetlink {
namespace {

TEST_CASE("sse decoder, input split anywhere, gives the same events") {
  const std::string wire =
      "\xEF\xBB\xBF: hello\r\nid: 1\r\nevent: token\r\ndata: a\r\ndata: b\r\n"
      "\r\ndata:c\n\nid: 2\rdata\r\r: x\n\nevent: none\n\n";
  for (std::size_t cut = 0; cut <= wire.size(); ++cut) {
    SseDecoder decoder;
    auto events = decoder.Feed(wire.substr(0, cut));
    REQUIRE(events.ok());
    const auto rest = decoder.Feed(wire.substr(cut));
    REQUIRE(rest.ok());
    events->insert(events->end(), rest->begin(), rest->end());
    REQUIRE(events->size() == 3);
    CHECK((*events)[0].id == "1");
    CHECK((*events)[0].event == "token");
    CHECK((*events)[0].data == "a\nb");
    CHECK((*events)[1].event.empty());
    CHECK((*events)[1].data == "c");
    CHECK((*events)[2].id == "2");
    CHECK((*events)[2].data.empty());
    CHECK(decoder.CommentCount() == 2);
  }
}

TEST_CASE("sse decoder, line or event over its limit, fails permanently") {
  SseDecoder decoder(SseLimits{8, 12});
  SECTION("line") { CHECK_FALSE(decoder.Feed("data: abcdef").ok()); }
  SECTION("event") {
    REQUIRE(decoder.Feed("data:abc\ndata:abc\n").ok());
    CHECK_FALSE(decoder.Feed("data:abc\ndata:abc\ndata:abc\n").ok());
  }
  CHECK_FALSE(decoder.Feed("\n\n").ok());
}

TEST_CASE("sse encoder, text with line breaks, decodes to the same text") {
  SseDecoder decoder;
  const auto events = decoder.Feed(EncodeSseComment("place\n3") +
                                   EncodeSse({"i\n1", "e\r2", "a\nb\r\nc\rd"}));
  REQUIRE(events.ok());
  REQUIRE(events->size() == 1);
  CHECK(events->front().id == "i1");
  CHECK(events->front().event == "e2");
  CHECK(events->front().data == "a\nb\nc\nd");
  CHECK(decoder.CommentCount() == 1);
}

TEST_CASE("engine frame, encoded and parsed, is unchanged") {
  const EngineFrame token{{"g"}, 3, "caf\xC3\xA9\n", std::nullopt};
  const auto read = ParseEngineFrame(EncodeEngineFrame(token));
  REQUIRE(read.ok());
  CHECK(read->generation == token.generation);
  CHECK(read->offset == 3);
  CHECK(read->text == token.text);
  CHECK_FALSE(read->finish);
  const auto finish = ParseEngineFrame(
      EncodeEngineFrame({{"g"}, 4, "", FinishReason::kLength}));
  REQUIRE(finish.ok());
  CHECK(finish->finish == FinishReason::kLength);
}

TEST_CASE("engine frame, malformed, gives error upstream.104") {
  const std::vector<std::string> malformed = {
      "",
      "[]",
      R"({"generation":"","offset":0,"text":"a"})",
      R"({"generation":"g","offset":-1,"text":"a"})",
      R"({"generation":"g","offset":0})",
      R"({"generation":"g","offset":0,"text":1})",
      R"({"generation":"g","offset":0,"finish_reason":"x"})",
      R"({"generation":"g","offset":0,"text":"a","finish_reason":"stop"})"};
  for (const std::string& data : malformed) {
    const auto frame = ParseEngineFrame({"", "", data});
    CHECK(ErrorCodeOf(frame.status()) == ErrorCode::kUpstreamMalformed);
  }
  CHECK_FALSE(ParseEngineFrame(
                  {"g:1", "", R"({"generation":"g","offset":0,"text":"a"})"})
                  .ok());
}

}  // namespace
}  // namespace limpetlink
