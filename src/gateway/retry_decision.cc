#include "gateway/detail/retry_decision.h"

namespace limpetlink {
namespace {

bool NeverRan(AttemptEnd end) {
  return end == AttemptEnd::kNotConnected || end == AttemptEnd::kRefused;
}

bool MayRetry(const AttemptContext& context) {
  const bool allowed =
      context.idempotent || (NeverRan(context.end) && !context.may_have_run);
  const bool in_budget =
      context.budget_available || context.end == AttemptEnd::kNotConnected;
  return allowed && in_budget && context.attempts_left &&
         context.worker_available;
}

}  // namespace

NextStep DecideNextStep(const AttemptContext& context) {
  if (context.end == AttemptEnd::kAnswered) {
    return NextStep::kDeliver;
  }
  if (context.delivering) {
    return NextStep::kAbort;
  }
  if (context.other_running) {
    return NextStep::kWaitForOther;
  }
  if (MayRetry(context)) {
    return NextStep::kRetry;
  }
  if (context.end == AttemptEnd::kWorkerFailure) {
    return NextStep::kDeliver;
  }
  const bool not_run = NeverRan(context.end) && !context.may_have_run;
  return not_run ? NextStep::kRefuse : NextStep::kFail;
}

}  // namespace limpetlink
