#include <catch2/catch.hpp>

#include "gateway/gateway.h"

namespace limpetlink {
namespace {

/// @brief A context in which a retry is possible.
AttemptContext RetryableContext(AttemptEnd end, bool idempotent) {
  AttemptContext context;
  context.end = end;
  context.idempotent = idempotent;
  context.attempts_left = true;
  context.budget_available = true;
  context.worker_available = true;
  return context;
}

TEST_CASE("retry decision, not idempotent and sent, is never retried",
          "[gateway]") {
  for (const AttemptEnd end :
       {AttemptEnd::kCut, AttemptEnd::kMalformed, AttemptEnd::kWorkerFailure}) {
    CHECK(DecideNextStep(RetryableContext(end, false)) != NextStep::kRetry);
  }
  CHECK(DecideNextStep(RetryableContext(AttemptEnd::kCut, false)) ==
        NextStep::kFail);
  CHECK(DecideNextStep(RetryableContext(AttemptEnd::kMalformed, false)) ==
        NextStep::kFail);
  CHECK(DecideNextStep(RetryableContext(AttemptEnd::kWorkerFailure, false)) ==
        NextStep::kDeliver);
}

TEST_CASE("retry decision, certainly not run, is retried or refused",
          "[gateway]") {
  for (const AttemptEnd end :
       {AttemptEnd::kNotConnected, AttemptEnd::kRefused}) {
    for (const bool idempotent : {false, true}) {
      AttemptContext context = RetryableContext(end, idempotent);
      CHECK(DecideNextStep(context) == NextStep::kRetry);
      context.worker_available = false;
      CHECK(DecideNextStep(context) == NextStep::kRefuse);
    }
  }
}

TEST_CASE(
    "retry decision, earlier attempt may have run, is not reported as not run",
    "[gateway]") {
  for (const AttemptEnd end :
       {AttemptEnd::kNotConnected, AttemptEnd::kRefused}) {
    AttemptContext context = RetryableContext(end, true);
    context.may_have_run = true;
    context.worker_available = false;
    CHECK(DecideNextStep(context) == NextStep::kFail);
    context.idempotent = false;
    context.worker_available = true;
    CHECK(DecideNextStep(context) == NextStep::kFail);
  }
}

TEST_CASE("retry decision, budget exhausted, retries only if no byte was sent",
          "[gateway]") {
  AttemptContext context = RetryableContext(AttemptEnd::kRefused, true);
  context.budget_available = false;
  CHECK(DecideNextStep(context) == NextStep::kRefuse);
  context.end = AttemptEnd::kNotConnected;
  CHECK(DecideNextStep(context) == NextStep::kRetry);
  context.end = AttemptEnd::kWorkerFailure;
  CHECK(DecideNextStep(context) == NextStep::kDeliver);
}

TEST_CASE("retry decision, bytes were delivered, aborts the connection",
          "[gateway]") {
  for (const AttemptEnd end : {AttemptEnd::kCut, AttemptEnd::kMalformed}) {
    AttemptContext context = RetryableContext(end, false);
    context.delivering = true;
    CHECK(DecideNextStep(context) == NextStep::kAbort);
  }
}

TEST_CASE("retry decision, another attempt in progress, waits for it",
          "[gateway]") {
  AttemptContext context = RetryableContext(AttemptEnd::kCut, true);
  context.other_running = true;
  CHECK(DecideNextStep(context) == NextStep::kWaitForOther);
  context.end = AttemptEnd::kAnswered;
  CHECK(DecideNextStep(context) == NextStep::kDeliver);
}

TEST_CASE("retry decision, every combination, keeps the guarantees",
          "[gateway]") {
  for (const auto& row : EnumTable<AttemptEnd>::kRows) {
    for (unsigned bits = 0; bits < 128; ++bits) {
      AttemptContext context;
      context.end = row.value;
      context.idempotent = (bits & 1U) != 0;
      context.delivering = (bits & 2U) != 0;
      context.other_running = (bits & 4U) != 0;
      context.may_have_run = (bits & 8U) != 0;
      context.attempts_left = (bits & 16U) != 0;
      context.budget_available = (bits & 32U) != 0;
      context.worker_available = (bits & 64U) != 0;
      const NextStep step = DecideNextStep(context);
      const bool never_ran =
          !context.may_have_run && (context.end == AttemptEnd::kNotConnected ||
                                    context.end == AttemptEnd::kRefused);
      if (step == NextStep::kRefuse) {
        CHECK(never_ran);
      }
      if (step == NextStep::kRetry) {
        CHECK((context.idempotent || never_ran));
        CHECK(context.attempts_left);
        CHECK_FALSE(context.delivering);
      }
    }
  }
}

}  // namespace
}  // namespace limpetlink
