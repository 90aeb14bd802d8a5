/// @file
/// @brief Stable error codes, the outcome reported to the caller, and their
/// encoding in absl::Status.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "base/detail/enum_table.h"
#include "base/detail/time.h"

namespace limpetlink {

/// @brief Whether an upstream executed a request, as reported to the caller.
enum class Outcome {
  kNotRun,   ///< no byte of the request can have reached an upstream, or the
             ///< upstream reported that it did not run the request
  kRan,      ///< the upstream ran the request
  kUnknown,  ///< the request may have run
};

template <>
struct EnumTable<Outcome> {
  static constexpr EnumName<Outcome> kRows[] = {{Outcome::kNotRun, "not_run"},
                                                {Outcome::kRan, "ran"},
                                                {Outcome::kUnknown, "unknown"}};
};

/// @brief Every error reported to callers and operators. The number of a code
/// never changes its meaning.
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
  kRequestQuarantined,
  kAdmissionQueueFull,
  kAdmissionExpectedWaitTooLong,
  kAdmissionTooLongForModel,
  kRoutingNoUpstream,
  kRoutingOutsideRegions,
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

/// @brief The stable text, HTTP status and title of an error code.
struct ErrorInfo {
  ErrorCode code;
  std::string_view name;   ///< stable text, such as "admission.102"
  int http_status;         ///< status of the response to the caller
  std::string_view title;  ///< one line for human readers
};

/// @brief Returns the table entry of an error code.
/// @param code any code; every code has an entry
/// @note Complexity: linear in the number of codes.
const ErrorInfo& Describe(ErrorCode code);

/// @brief Returns the error code with a given stable text.
/// @param name the text, such as "admission.102"
/// @return the code, or std::nullopt when the text is unknown
std::optional<ErrorCode> ParseErrorCode(std::string_view name);

/// @brief A rejection or failure as reported to a caller.
struct Problem {
  ErrorCode code = ErrorCode::kRequestMalformed;
  Outcome outcome = Outcome::kNotRun;
  std::string detail;  ///< explanation for human readers; contains no secret
  std::optional<Duration>
      retry_after;  ///< when to retry, if a retry can succeed
};

/// @brief Renders a problem as an application/problem+json body.
/// @param problem the problem to render
/// @return JSON text with type, title, status, code, outcome, detail and
/// retry_after (seconds)
/// @note Example:
/// @code
/// ToProblemJson({ErrorCode::kRequestNoKey, Outcome::kNotRun, "no key", {}});
/// @endcode
std::string ToProblemJson(const Problem& problem);

/// @brief Creates a status that carries an error code.
/// @param code the error code
/// @param detail explanation for human readers
/// @return a status whose message starts with the code's text
absl::Status MakeStatus(ErrorCode code, std::string_view detail);

/// @brief Returns the error code that a status carries.
/// @return the code, or std::nullopt when the status carries none
std::optional<ErrorCode> ErrorCodeOf(const absl::Status& status);

/// @brief Returns the detail that was passed to MakeStatus.
/// @return the status message without the leading error code
std::string DetailOf(const absl::Status& status);

/// @brief Converts a status to the problem that rejects a request of which
/// nothing was sent to an upstream.
/// @param status a status made by MakeStatus; a status without an error code
/// is treated as request.101
Problem RefusalOf(const absl::Status& status);

}  // namespace limpetlink
