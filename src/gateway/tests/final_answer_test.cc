#include <catch2/catch.hpp>

#include "gateway/gateway.h"

namespace limpetlink {
namespace {

/// @brief Facts under which a further send would be possible.
AttemptFacts Open(AttemptEnd end, bool idempotent) {
  AttemptFacts facts;
  facts.end = end;
  facts.idempotent = idempotent;
  facts.attempts_left = true;
  facts.budget_left = true;
  facts.worker_left = true;
  return facts;
}

TEST_CASE("final answer, not idempotent and sent, is never sent again",
          "[gateway]") {
  for (const AttemptEnd end :
       {AttemptEnd::kCut, AttemptEnd::kSpoilt, AttemptEnd::kWorkerFailure}) {
    CHECK(AfterAttempt(Open(end, false)) != NextStep::kTryAnother);
  }
  CHECK(AfterAttempt(Open(AttemptEnd::kCut, false)) == NextStep::kFail);
  CHECK(AfterAttempt(Open(AttemptEnd::kSpoilt, false)) == NextStep::kFail);
  CHECK(AfterAttempt(Open(AttemptEnd::kWorkerFailure, false)) ==
        NextStep::kDeliver);
}

TEST_CASE("final answer, surely not run, goes to another worker or is refused",
          "[gateway]") {
  for (const AttemptEnd end :
       {AttemptEnd::kNotConnected, AttemptEnd::kRefused}) {
    for (const bool idempotent : {false, true}) {
      AttemptFacts facts = Open(end, idempotent);
      CHECK(AfterAttempt(facts) == NextStep::kTryAnother);
      facts.worker_left = false;
      CHECK(AfterAttempt(facts) == NextStep::kRefuse);
    }
  }
}

TEST_CASE(
    "final answer, an earlier attempt may have run, is never called not "
    "run",
    "[gateway]") {
  for (const AttemptEnd end :
       {AttemptEnd::kNotConnected, AttemptEnd::kRefused}) {
    AttemptFacts facts = Open(end, true);
    facts.may_have_run = true;
    facts.worker_left = false;
    CHECK(AfterAttempt(facts) == NextStep::kFail);
    facts.idempotent = false;
    facts.worker_left = true;
    CHECK(AfterAttempt(facts) == NextStep::kFail);
  }
}

TEST_CASE("final answer, budget spent, only a send without a byte goes on",
          "[gateway]") {
  AttemptFacts facts = Open(AttemptEnd::kRefused, true);
  facts.budget_left = false;
  CHECK(AfterAttempt(facts) == NextStep::kRefuse);
  facts.end = AttemptEnd::kNotConnected;
  CHECK(AfterAttempt(facts) == NextStep::kTryAnother);
  facts.end = AttemptEnd::kWorkerFailure;
  CHECK(AfterAttempt(facts) == NextStep::kDeliver);
}

TEST_CASE("final answer, bytes were delivered, breaks off visibly",
          "[gateway]") {
  for (const AttemptEnd end : {AttemptEnd::kCut, AttemptEnd::kSpoilt}) {
    AttemptFacts facts = Open(end, false);
    facts.delivering = true;
    CHECK(AfterAttempt(facts) == NextStep::kBreakOff);
  }
}

TEST_CASE("final answer, a copy is still running, waits for it", "[gateway]") {
  AttemptFacts facts = Open(AttemptEnd::kCut, true);
  facts.other_running = true;
  CHECK(AfterAttempt(facts) == NextStep::kWaitForOther);
  facts.end = AttemptEnd::kAnswered;
  CHECK(AfterAttempt(facts) == NextStep::kDeliver);
}

TEST_CASE("final answer, every combination, keeps the promises", "[gateway]") {
  for (const auto& row : EnumTable<AttemptEnd>::kRows) {
    for (unsigned bits = 0; bits < 128; ++bits) {
      AttemptFacts facts;
      facts.end = row.value;
      facts.idempotent = (bits & 1U) != 0;
      facts.delivering = (bits & 2U) != 0;
      facts.other_running = (bits & 4U) != 0;
      facts.may_have_run = (bits & 8U) != 0;
      facts.attempts_left = (bits & 16U) != 0;
      facts.budget_left = (bits & 32U) != 0;
      facts.worker_left = (bits & 64U) != 0;
      const NextStep step = AfterAttempt(facts);
      const bool never_ran =
          !facts.may_have_run && (facts.end == AttemptEnd::kNotConnected ||
                                  facts.end == AttemptEnd::kRefused);
      if (step == NextStep::kRefuse) {
        CHECK(never_ran);
      }
      if (step == NextStep::kTryAnother) {
        CHECK((facts.idempotent || never_ran));
        CHECK(facts.attempts_left);
        CHECK_FALSE(facts.delivering);
      }
    }
  }
}

}  // namespace
}  // namespace limpetlink
