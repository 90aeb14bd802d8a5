#include "gateway/detail/final_answer.h"

namespace limpetlink {
namespace {

bool NeverRan(AttemptEnd end) {
  return end == AttemptEnd::kNotConnected || end == AttemptEnd::kRefused;
}

bool MaySendAgain(const AttemptFacts& facts) {
  const bool allowed =
      facts.idempotent || (NeverRan(facts.end) && !facts.may_have_run);
  const bool paid = facts.budget_left || facts.end == AttemptEnd::kNotConnected;
  return allowed && paid && facts.attempts_left && facts.worker_left;
}

}  // namespace

NextStep AfterAttempt(const AttemptFacts& facts) {
  if (facts.end == AttemptEnd::kAnswered) {
    return NextStep::kDeliver;
  }
  if (facts.delivering) {
    return NextStep::kBreakOff;
  }
  if (facts.other_running) {
    return NextStep::kWaitForOther;
  }
  if (MaySendAgain(facts)) {
    return NextStep::kTryAnother;
  }
  if (facts.end == AttemptEnd::kWorkerFailure) {
    return NextStep::kDeliver;
  }
  const bool surely_not_run = NeverRan(facts.end) && !facts.may_have_run;
  return surely_not_run ? NextStep::kRefuse : NextStep::kFail;
}

}  // namespace limpetlink
