#include <catch2/catch.hpp>
#include <random>

#include "decoding/decoding.h"

namespace limpetlink {
namespace {

using Json = nlohmann::json;

std::string Nested(std::size_t depth, const std::string& inner = "") {
  return std::string(depth, '[') + inner + std::string(depth, ']');
}

// Guards against a process that ends on a value from another writer (review/5):
// the library renders and destroys values recursively.
TEST_CASE("JSON decoder, nested beyond the limit, is rejected", "[decoding]") {
  CHECK(DecodeJson(Nested(64)).ok());
  CHECK_FALSE(DecodeJson(Nested(65)).ok());
  CHECK(DecodeJson(Nested(100000)).status().message() == "nested too deeply");
  CHECK_FALSE(DecodeJson(std::string(100000, '[')).ok());
  CHECK_FALSE(DecodeJson(std::string(100000, '{')).ok());
  CHECK(DecodeJson("\"" + std::string(1000, '[') + "\"").ok());
}

TEST_CASE("JSON decoder, values that can't be represented, are rejected",
          "[decoding]") {
  CHECK(DecodeJson("[1e999]").status().message() == "a number is out of range");
  CHECK_FALSE(DecodeJson("-1e999").ok());
  CHECK(DecodeJson("\"\xff\"").status().message() == "a string is not UTF-8");
  CHECK_FALSE(DecodeJson("{\"\xc0\x80\":1}").ok());
  CHECK(DecodeJson("\"\xc3\xa4\"").ok());
  CHECK(DecodeJson("18446744073709551616")->is_number_float());
  CHECK(DecodeJson("-1")->get<int>() == -1);
  CHECK_FALSE(DecodeJson("").ok());
  CHECK_FALSE(DecodeJson("{\"a\":").ok());
  CHECK_FALSE(DecodeJson("\"").ok());
  CHECK_FALSE(DecodeJson("\"\\").ok());
  CHECK_FALSE(DecodeJson("[1]", {2, 64}).ok());
  CHECK(DecodeJsonOrDiscard("[1e999]").is_discarded());
}

TEST_CASE("JSON decoder, parts of other writers, leaves the others readable",
          "[decoding]") {
  const std::string odd =
      GENERATE(Nested(100000), std::string("1e999"), std::string("\"\xff\""),
               "{\"a\":" + Nested(80, "\"]\"") + "}", std::string("-1E+400"));
  const auto value = DecodeJsonParts("[{\"a\":1}," + odd + ",{\"b\":2}]");
  REQUIRE(value.ok());
  REQUIRE(value->size() == 3);
  CHECK((*value)[0]["a"] == 1);
  CHECK((*value)[1].dump().find("unreadable") != std::string::npos);
  CHECK((*value)[2]["b"] == 2);
}

/// @brief Replaces, inserts and erases bytes of a text.
std::string Mutate(std::string text, std::mt19937_64* random) {
  const std::string pieces[] = {"[", "]",   "{",    "}",       "\"", "\\",
                                ",", "1e9", "e999", "\xff",    ":",  "\\u00",
                                "-", "0.",  "null", Nested(90)};
  const int changes = 1 + static_cast<int>((*random)() % 6);
  for (int i = 0; i < changes; ++i) {
    const std::size_t at = (*random)() % (text.size() + 1);
    switch ((*random)() % 3) {
      case 0:
        text.insert(at, pieces[(*random)() % std::size(pieces)]);
        break;
      case 1:
        text.erase(at, 1 + (*random)() % 4);
        break;
      default:
        if (at < text.size()) {
          text[at] = static_cast<char>((*random)());
        }
    }
  }
  return text;
}

TEST_CASE(
    "JSON decoder, mutated texts, agrees with the library or gives a "
    "reason",
    "[decoding]") {
  const std::string text =
      R"({"at":530,"entries":[{"metadata":{"name":"a","revision":3},)"
      R"("spec":{"x":[1,-2.5e3,"t\"\\u00e4",null,true]}}]})";
  for (const std::uint64_t seed : {1U, 20261205U, 77U}) {
    std::mt19937_64 random(seed);
    for (int i = 0; i < 20000; ++i) {
      const std::string mutated = Mutate(text, &random);
      const auto strict = DecodeJson(mutated);
      const auto parts = DecodeJsonParts(mutated);
      const Json expected = Json::parse(mutated, nullptr, false);
      INFO(mutated);
      if (strict.ok()) {
        REQUIRE(*strict == expected);
        REQUIRE(parts.ok());
        REQUIRE(*parts == expected);
      } else {
        REQUIRE_FALSE(strict.status().message().empty());
      }
    }
  }
}

}  // namespace
}  // namespace limpetlink
