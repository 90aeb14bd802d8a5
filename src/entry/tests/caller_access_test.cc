#include "entry/detail/caller_access.h"

#include <catch2/catch.hpp>

namespace limpetlink {
namespace {

class CallerAccessFixture {
 protected:
  CallerAccessFixture() {
    Organisation organisation;
    organisation.id = {"north"};
    organisation.key_digests = {Sha256Hex("key-1"), Sha256Hex("key-2")};
    this->document.organisations.push_back(organisation);
  }

  FleetDocument document;
};

TEST_CASE_METHOD(CallerAccessFixture,
                 "caller, with a known key, is its organisation") {
  const auto found =
      AuthenticateCaller(this->document, {{"authorization", "Bearer key-2"}});
  REQUIRE(found.ok());
  CHECK((*found)->id == OrganisationId{"north"});
}

TEST_CASE_METHOD(CallerAccessFixture,
                 "caller, without a usable key, gets the fitting code") {
  CHECK(ErrorCodeOf(AuthenticateCaller(this->document, {}).status()) ==
        ErrorCode::kRequestNoKey);
  CHECK(ErrorCodeOf(
            AuthenticateCaller(this->document, {{"Authorization", "Basic x"}})
                .status()) == ErrorCode::kRequestNoKey);
  CHECK(ErrorCodeOf(
            AuthenticateCaller(this->document, {{"Authorization", "Bearer no"}})
                .status()) == ErrorCode::kRequestWrongKey);
}

TEST_CASE("operator, key by digest, is told from others") {
  CHECK(IsOperator(Sha256Hex("op"), {{"Authorization", "Bearer op"}}));
  CHECK_FALSE(IsOperator(Sha256Hex("op"), {{"Authorization", "Bearer other"}}));
  CHECK_FALSE(IsOperator("", {{"Authorization", "Bearer "}}));
}

TEST_CASE("caller wait, by Prefer header, is bounded and checked") {
  const Duration normal = std::chrono::seconds(10);
  const Duration longest = std::chrono::seconds(60);
  CHECK(*ParsePreferredWait({}, normal, longest) == normal);
  CHECK(*ParsePreferredWait({{"Prefer", "respond-async, wait=2.5"}}, normal,
                            longest) == std::chrono::milliseconds(2500));
  CHECK(*ParsePreferredWait({{"Prefer", "wait=1e30"}}, normal, longest) ==
        longest);
  CHECK(ErrorCodeOf(ParsePreferredWait({{"Prefer", "wait=0"}}, normal, longest)
                        .status()) == ErrorCode::kRequestDeadlinePast);
  CHECK(
      ErrorCodeOf(ParsePreferredWait({{"Prefer", "wait=nan"}}, normal, longest)
                      .status()) == ErrorCode::kRequestDeadlinePast);
  CHECK(
      ErrorCodeOf(ParsePreferredWait({{"Prefer", "wait=soon"}}, normal, longest)
                      .status()) == ErrorCode::kRequestMalformed);
}

}  // namespace
}  // namespace limpetlink
