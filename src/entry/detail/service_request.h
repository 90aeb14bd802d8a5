/// @file
/// @brief State of a request to an application service in progress.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "entry/detail/trace.h"
#include "fleet/fleet.h"
#include "ports/ports.h"

namespace limpetlink {

/// @brief One attempt to run a request at an upstream. A hedged request has
/// two open attempts.
struct ServiceAttempt {
  RequestId dispatch_id;  ///< id of the attempt at the dispatcher
  bool placed = false;
  UpstreamId worker;
  CallId call;  ///< 0 if no call is open
  TraceContext trace;
  Instant started;
  int status = 0;
  Headers headers;
  std::string response_body;
};

/// @brief State of one request to a service.
struct ServiceRequest {
  RequestId id;
  OrganisationId organisation;
  std::string service;
  std::string
      rule;  ///< path prefix of the matching rule; empty if none matches
  std::string method;
  std::string
      target;  ///< path below the service, and query, as sent to the upstream
  Headers headers;  ///< headers that are forwarded to the upstream
  std::string body;
  bool idempotent = false;
  std::string key;  ///< idempotency key; empty for idempotent requests and
                    ///< without a key
  bool claim_pending =
      false;  ///< the idempotency log has not decided on the key yet
  bool claimed =
      false;  ///< the log granted the key; the outcome must be recorded
  bool may_have_run = false;  ///< bytes may have reached an upstream
  bool caller_left = false;
  std::uint32_t attempt_count = 0;
  std::vector<UpstreamId> excluded;
  TraceContext trace;
  Instant arrived;
  Instant deadline;
  Instant hedge_at = kNever;
  Duration expected_wait{0};
  std::vector<ServiceAttempt> open_attempts;
};

/// @brief Parts of a path below /v1/services/.
struct ServicePath {
  std::string service;
  std::string rest;  ///< begins with '/'
};

/// @brief Splits a path below /v1/services/.
/// @param path decoded path of the caller's request
/// @return the parts; request.101 if the path holds dot segments, backslashes
/// or control bytes, as an upstream could resolve it to another path than the
/// one matched against the rules; request.107 without a service name
absl::StatusOr<ServicePath> ParseServicePath(std::string_view path);

/// @brief Percent-encodes a path for a URL; '/' is not encoded.
std::string EncodePath(std::string_view path);

}  // namespace limpetlink
