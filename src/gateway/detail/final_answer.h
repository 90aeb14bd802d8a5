/// @file
/// @brief What follows from the end of an attempt: the one table that says when
/// a request may be sent again and what its caller may be told.
#pragma once

#include "base/base.h"

namespace limpetlink {

/// @brief How an attempt at a worker ended.
enum class AttemptEnd {
  kNotConnected,   ///< no byte of the request left this host
  kRefused,        ///< the worker says that it did not and will not run it
  kAnswered,       ///< a whole answer that is no failure of the worker
  kWorkerFailure,  ///< a whole answer with a status of 500 or more; it ran
  kSpoilt,         ///< bytes that are not the answer to this request
  kCut,            ///< the connection ended before the answer was whole
};

template <>
struct EnumTable<AttemptEnd> {
  static constexpr EnumName<AttemptEnd> kRows[] = {
      {AttemptEnd::kNotConnected, "not_connected"},
      {AttemptEnd::kRefused, "refused"},
      {AttemptEnd::kAnswered, "answered"},
      {AttemptEnd::kWorkerFailure, "worker_failure"},
      {AttemptEnd::kSpoilt, "spoilt"},
      {AttemptEnd::kCut, "cut"}};
};

/// @brief What is known when an attempt has ended.
struct AttemptFacts {
  AttemptEnd end = AttemptEnd::kCut;
  bool idempotent = false;
  bool delivering = false;     ///< bytes of the answer have left to the caller
  bool other_running = false;  ///< another attempt of the request goes on
  bool may_have_run = false;   ///< an earlier attempt reached a worker
  bool attempts_left = false;  ///< workers that may run it, and sends, remain
  bool budget_left = false;    ///< the retry budget has one; not spent yet
  bool worker_left = false;    ///< a worker that was not tried takes new work
};

/// @brief What to do next.
enum class NextStep {
  kDeliver,       ///< give the caller the worker's answer
  kTryAnother,    ///< send it to another worker; spends the budget unless no
                  ///< byte had left
  kWaitForOther,  ///< the other attempt decides
  kRefuse,        ///< 503: it did not run
  kFail,          ///< 502: it may have run
  kBreakOff,      ///< close the caller's connection in the middle
};

template <>
struct EnumTable<NextStep> {
  static constexpr EnumName<NextStep> kRows[] = {
      {NextStep::kDeliver, "deliver"},
      {NextStep::kTryAnother, "try_another"},
      {NextStep::kWaitForOther, "wait_for_other"},
      {NextStep::kRefuse, "refuse"},
      {NextStep::kFail, "fail"},
      {NextStep::kBreakOff, "break_off"}};
};

/// @brief Decides what follows. Constant time, no state.
NextStep AfterAttempt(const AttemptFacts& facts);

}  // namespace limpetlink
