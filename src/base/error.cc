#include <algorithm>
#include <nlohmann/json.hpp>

#include "absl/strings/cord.h"
#include "absl/strings/str_cat.h"
#include "base/base.h"

namespace limpetlink {
namespace {

constexpr absl::string_view kCodePayload = "limpetlink/error-code";

constexpr ErrorInfo kErrors[] = {
    {ErrorCode::kRequestMalformed, "request.101", 400,
     "The request is malformed"},
    {ErrorCode::kRequestTooLarge, "request.102", 413,
     "The request body is too large"},
    {ErrorCode::kRequestNoKey, "request.103", 401, "The request has no key"},
    {ErrorCode::kRequestWrongKey, "request.104", 403, "The key is not known"},
    {ErrorCode::kRequestUnknownRoute, "request.105", 404,
     "There is no such route"},
    {ErrorCode::kRequestUnknownModel, "request.106", 404,
     "There is no such model"},
    {ErrorCode::kRequestUnknownService, "request.107", 404,
     "There is no such service"},
    {ErrorCode::kRequestDeadlinePast, "request.108", 408,
     "The deadline was already past"},
    {ErrorCode::kRequestDeadlineReached, "request.109", 504,
     "The deadline was reached"},
    {ErrorCode::kRequestMethodNotAllowed, "request.110", 405,
     "The method is not allowed here"},
    {ErrorCode::kRequestNotAllowed, "request.111", 403,
     "The organisation may not use this"},
    {ErrorCode::kRequestQuarantined, "request.112", 503,
     "Workers ended when they ran this request or a part of its prompt"},
    {ErrorCode::kAdmissionQueueFull, "admission.101", 503, "The queue is full"},
    {ErrorCode::kAdmissionExpectedWaitTooLong, "admission.102", 503,
     "The expected wait is longer than the deadline"},
    {ErrorCode::kAdmissionTooLongForModel, "admission.103", 400,
     "The request cannot fit any worker of the model"},
    {ErrorCode::kRoutingNoUpstream, "routing.101", 503,
     "No upstream can take the request"},
    {ErrorCode::kRoutingOutsideRegions, "routing.102", 503,
     "No upstream in the regions that may serve the request"},
    {ErrorCode::kLimitsConcurrency, "limits.101", 429,
     "Too many requests at once"},
    {ErrorCode::kLimitsRate, "limits.102", 429,
     "Too many requests in the period"},
    {ErrorCode::kRetriesExhausted, "retries.101", 502,
     "Every allowed attempt failed"},
    {ErrorCode::kStreamLost, "streams.101", 502,
     "The stream's engine was lost"},
    {ErrorCode::kStreamResumeInvalid, "streams.102", 400,
     "The resume token is not valid"},
    {ErrorCode::kStreamResumeGone, "streams.103", 410,
     "The generation is no longer kept"},
    {ErrorCode::kUpstreamUnreachable, "upstream.101", 502,
     "The upstream cannot be reached"},
    {ErrorCode::kUpstreamCut, "upstream.102", 502,
     "The upstream's connection was cut"},
    {ErrorCode::kUpstreamRefused, "upstream.103", 503,
     "The upstream refused the request"},
    {ErrorCode::kUpstreamMalformed, "upstream.104", 502,
     "The upstream's answer is malformed"},
    {ErrorCode::kIdempotencyKeyReused, "idempotency.101", 422,
     "The idempotency key was used with another request"},
    {ErrorCode::kIdempotencyOutcomeUnknown, "idempotency.102", 409,
     "An earlier attempt with this key has an unknown outcome"},
    {ErrorCode::kIdempotencyLogUnavailable, "idempotency.103", 503,
     "The request cannot be recorded now"},
    {ErrorCode::kIdempotencyInProgress, "idempotency.104", 409,
     "A request with this key is in progress"},
    {ErrorCode::kFleetMalformed, "fleet.101", 400,
     "The fleet document is not readable"},
    {ErrorCode::kFleetInvalid, "fleet.102", 422,
     "The fleet document has faults"},
    {ErrorCode::kFleetConflict, "fleet.103", 409,
     "Another change was accepted first"},
    {ErrorCode::kFleetNotReady, "fleet.104", 503,
     "This host has no fleet document yet"},
    {ErrorCode::kPlatformUnavailable, "platform.101", 503,
     "The platform does not answer"},
    {ErrorCode::kPlatformBudget, "platform.102", 503,
     "The platform call budget is spent"},
    {ErrorCode::kHostShuttingDown, "host.101", 503,
     "This host is shutting down"},
    {ErrorCode::kPeerRefused, "peer.101", 403, "The peer is refused"},
};

absl::StatusCode StatusCodeFor(int http_status) {
  switch (http_status) {
    case 401:
      return absl::StatusCode::kUnauthenticated;
    case 403:
      return absl::StatusCode::kPermissionDenied;
    case 404:
      return absl::StatusCode::kNotFound;
    case 409:
      return absl::StatusCode::kAborted;
    case 429:
      return absl::StatusCode::kResourceExhausted;
    case 408:
    case 504:
      return absl::StatusCode::kDeadlineExceeded;
    default:
      return http_status >= 500 ? absl::StatusCode::kUnavailable
                                : absl::StatusCode::kInvalidArgument;
  }
}

}  // namespace

const ErrorInfo& Describe(ErrorCode code) {
  for (const ErrorInfo& row : kErrors) {
    if (row.code == code) {
      return row;
    }
  }
  std::abort();  // unreachable: a test checks that every code has a row
}

std::optional<ErrorCode> ParseErrorCode(std::string_view name) {
  for (const ErrorInfo& row : kErrors) {
    if (row.name == name) {
      return row.code;
    }
  }
  return std::nullopt;
}

std::string ToProblemJson(const Problem& problem) {
  const ErrorInfo& info = Describe(problem.code);
  nlohmann::json body = {
      {"type",
       absl::StrCat("urn:limpetlink:",
                    absl::string_view(info.name.data(), info.name.size()))},
      {"title", info.title},
      {"status", info.http_status},
      {"code", info.name},
      {"outcome", ToText(problem.outcome)},
      {"detail", problem.detail}};
  if (problem.retry_after) {
    body["retry_after"] = ToSeconds(*problem.retry_after);
  }
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

absl::Status MakeStatus(ErrorCode code, std::string_view detail) {
  const ErrorInfo& info = Describe(code);
  const absl::string_view name(info.name.data(), info.name.size());
  absl::Status status(
      StatusCodeFor(info.http_status),
      absl::StrCat(name, ": ",
                   absl::string_view(detail.data(), detail.size())));
  status.SetPayload(kCodePayload, absl::Cord(name));
  return status;
}

std::optional<ErrorCode> ErrorCodeOf(const absl::Status& status) {
  const auto payload = status.GetPayload(kCodePayload);
  if (!payload) {
    return std::nullopt;
  }
  const std::string name(*payload);
  return ParseErrorCode(name);
}

std::string DetailOf(const absl::Status& status) {
  absl::string_view message = status.message();
  const std::optional<ErrorCode> code = ErrorCodeOf(status);
  if (code) {
    message.remove_prefix(
        std::min(message.size(), Describe(*code).name.size() + 2));
  }
  return {message.data(), message.size()};
}

Problem RefusalOf(const absl::Status& status) {
  return {ErrorCodeOf(status).value_or(ErrorCode::kRequestMalformed),
          Outcome::kNotRun, DetailOf(status), std::nullopt};
}

}  // namespace limpetlink
