/// @file
/// @brief Stable error codes, the outcome they tell the caller, and their
/// carriage in absl::Status.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "base/detail/enum_table.h"
#include "base/detail/time.h"

namespace limpetlink {

/// @brief What a caller may conclude about the request it sent.
enum class Outcome {
  kNotRun,   ///< no byte of the request can have reached an upstream, or the
             ///< upstream said so
  kRan,      ///< the upstream ran the request
  kUnknown,  ///< the request may have run
};

template <>
struct EnumTable<Outcome> {
  static constexpr EnumName<Outcome> kRows[] = {{Outcome::kNotRun, "not_run"},
                                                {Outcome::kRan, "ran"},
                                                {Outcome::kUnknown, "unknown"}};
};

/// @brief Every error a caller or operator can meet; numbers never change
/// meaning.
enum class ErrorCode {
  kRequestMalformed,
  kRequestTooLarge,
  kRequestNoKey,
  kRequestWrongKey,
  kRequestUnknownRoute,
  kRequestUnknownModel,
  kRequestUnknownService,
  kRequestDeadlinePast,
  kRequestDeadlineReached,
  kRequestMethodNotAllowed,
  kRequestNotAllowed,
  kAdmissionQueueFull,
  kAdmissionExpectedWaitTooLong,
  kAdmissionTooLongForModel,
  kRoutingNoUpstream,
  kLimitsConcurrency,
  kLimitsRate,
  kRetriesExhausted,
  kStreamLost,
  kStreamResumeInvalid,
  kStreamResumeGone,
  kUpstreamUnreachable,
  kUpstreamCut,
  kUpstreamRefused,
  kUpstreamMalformed,
  kIdempotencyKeyReused,
  kIdempotencyOutcomeUnknown,
  kIdempotencyLogUnavailable,
  kIdempotencyInProgress,
  kFleetMalformed,
  kFleetInvalid,
  kFleetConflict,
  kFleetNotReady,
  kPlatformUnavailable,
  kPlatformBudget,
  kHostShuttingDown,
  kPeerRefused,
};

/// @brief One row of the table of error codes.
struct ErrorInfo {
  ErrorCode code;
  std::string_view name;   ///< stable text, as "admission.102"
  int http_status;         ///< status of the answer to a caller
  std::string_view title;  ///< one line for a person
};

/// @brief Looks up a code's row. Linear in the table's size.
/// @param code any code
/// @return its row; every code has one
const ErrorInfo& Describe(ErrorCode code);

/// @brief Finds a code by its stable text.
/// @param name as "admission.102"
/// @return the code, or nothing
std::optional<ErrorCode> ParseErrorCode(std::string_view name);

/// @brief A refusal or failure as a caller sees it.
struct Problem {
  ErrorCode code = ErrorCode::kRequestMalformed;
  Outcome outcome = Outcome::kNotRun;
  std::string detail;  ///< what happened, for a person; never holds a secret
  std::optional<Duration> retry_after;  ///< when to come back, where that helps
};

/// @brief Renders a problem as an application/problem+json body.
/// @param problem what to tell
/// @return JSON text with type, title, status, code, outcome, detail and
/// retry_after (seconds)
/// @note Example: `ToProblemJson({ErrorCode::kRequestNoKey, Outcome::kNotRun,
/// "no key", {}})`
std::string ToProblemJson(const Problem& problem);

/// @brief Makes a status that carries an error code.
/// @param code the stable code
/// @param detail what happened
/// @return a status whose message starts with the code's text
absl::Status MakeStatus(ErrorCode code, std::string_view detail);

/// @brief Reads the error code that a status carries.
/// @return the code, or nothing when the status carries none
std::optional<ErrorCode> ErrorCodeOf(const absl::Status& status);

/// @brief Reads what happened out of a status made by MakeStatus.
/// @return the message without the leading code
std::string DetailOf(const absl::Status& status);

/// @brief Makes the problem that refuses a request nothing of which was sent.
/// @param status made by MakeStatus; one without a code counts as request.101
Problem RefusalOf(const absl::Status& status);

}  // namespace limpetlink
