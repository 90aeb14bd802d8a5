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
                 "authentication, with a known key, finds the organisation") {
  const auto found =
      AuthenticateCaller(this->document, {{"authorization", "Bearer key-2"}});
  REQUIRE(found.ok());
  CHECK((*found)->id == OrganisationId{"north"});
}

TEST_CASE_METHOD(
    CallerAccessFixture,
    "authentication, without a valid key, returns the matching error code") {
  CHECK(ErrorCodeOf(AuthenticateCaller(this->document, {}).status()) ==
        ErrorCode::kRequestNoKey);
  CHECK(ErrorCodeOf(
            AuthenticateCaller(this->document, {{"Authorization", "Basic x"}})
                .status()) == ErrorCode::kRequestNoKey);
  CHECK(ErrorCodeOf(
            AuthenticateCaller(this->document, {{"Authorization", "Bearer no"}})
                .status()) == ErrorCode::kRequestWrongKey);
}

TEST_CASE(
    "operator key, compared by digest, is distinguished from other keys") {
  CHECK(IsOperator(Sha256Hex("op"), {{"Authorization", "Bearer op"}}));
  CHECK_FALSE(IsOperator(Sha256Hex("op"), {{"Authorization", "Bearer other"}}));
  CHECK_FALSE(IsOperator("", {{"Authorization", "Bearer "}}));
}

TEST_CASE("Prefer header, wait preference, is limited and validated") {
  const Duration default_wait = std::chrono::seconds(10);
  const Duration max_wait = std::chrono::seconds(60);
  CHECK(*ParsePreferredWait({}, default_wait, max_wait) == default_wait);
  CHECK(*ParsePreferredWait({{"Prefer", "respond-async, wait=2.5"}},
                            default_wait,
                            max_wait) == std::chrono::milliseconds(2500));
  CHECK(*ParsePreferredWait({{"Prefer", "wait=1e30"}}, default_wait,
                            max_wait) == max_wait);
  CHECK(ErrorCodeOf(
            ParsePreferredWait({{"Prefer", "wait=0"}}, default_wait, max_wait)
                .status()) == ErrorCode::kRequestDeadlinePast);
  CHECK(ErrorCodeOf(
            ParsePreferredWait({{"Prefer", "wait=nan"}}, default_wait, max_wait)
                .status()) == ErrorCode::kRequestDeadlinePast);
  CHECK(ErrorCodeOf(ParsePreferredWait({{"Prefer", "wait=soon"}}, default_wait,
                                       max_wait)
                        .status()) == ErrorCode::kRequestMalformed);
}

}  // namespace
}  // namespace limpetlink
