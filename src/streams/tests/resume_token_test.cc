#include <catch2/catch.hpp>

#include "streams/streams.h"

namespace limpetlink {
namespace {

const OrganisationId kOwner{"swan coast"};
const ResumeToken kToken{{"perth-a.7"}, {"gen/1.2"}, 12, 41, "draft"};

TEST_CASE("resume token, minted and parsed, gives the same fields") {
  const std::string text = MintResumeToken("secret", kOwner, kToken);
  const auto token = ParseResumeToken("secret", kOwner, text);
  REQUIRE(token.ok());
  CHECK(token->worker == kToken.worker);
  CHECK(token->generation == kToken.generation);
  CHECK(token->offset == 12);
  CHECK(token->fleet_version == 41);
  CHECK(token->route == "draft");
}

TEST_CASE("resume token, not this caller's, is refused") {
  const std::string text = MintResumeToken("secret", kOwner, kToken);
  const auto refused = [](const absl::StatusOr<ResumeToken>& token) {
    return ErrorCodeOf(token.status()) == ErrorCode::kStreamResumeInvalid;
  };
  SECTION("another organisation") {
    CHECK(refused(ParseResumeToken("secret", {"syrtos"}, text)));
  }
  SECTION("another secret") {
    CHECK(refused(ParseResumeToken("other", kOwner, text)));
  }
  SECTION("any byte before the offset changed") {
    const std::size_t offset_at = text.rfind('.');
    for (std::size_t i = 0; i < offset_at; ++i) {
      std::string forged = text;
      forged[i] = forged[i] == 'a' ? 'b' : 'a';
      CHECK(refused(ParseResumeToken("secret", kOwner, forged)));
    }
  }
  SECTION("truncated at any byte") {
    for (std::size_t size = 0; size <= text.rfind('.') + 1; ++size) {
      CHECK(refused(ParseResumeToken("secret", kOwner, text.substr(0, size))));
    }
  }
  SECTION("too long or with a signed offset") {
    CHECK(refused(
        ParseResumeToken("secret", kOwner, text + std::string(2000, '1'))));
    CHECK(refused(ParseResumeToken("secret", kOwner,
                                   text.substr(0, text.rfind('.')) + ".-1")));
  }
}

}  // namespace
}  // namespace limpetlink
