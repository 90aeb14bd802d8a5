/// @file
/// @brief One caller's request to an application service while it is in
/// progress.
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

/// @brief One copy of a request on its way to an upstream. A hedged lookup has
/// two.
struct ServiceAttempt {
  RequestId dispatch_id;  ///< what the dispatcher knows it by
  bool placed = false;
  UpstreamId worker;
  CallId call;  ///< 0: none is open
  TraceContext trace;
  Instant started;
  int status = 0;
  Headers headers;
  std::string response_body;
};

/// @brief All that the host keeps of one request to a service.
struct ServiceRequest {
  RequestId id;
  OrganisationId organisation;
  std::string service;
  std::string
      rule;  ///< path prefix of the rule that matched; empty without one
  std::string method;
  std::string
      target;  ///< path below the service and query, as sent to the upstream
  Headers headers;  ///< those that go on to the upstream
  std::string body;
  bool idempotent = false;
  std::string
      key;  ///< idempotency key of a request that is not idempotent; or empty
  bool claim_pending = false;  ///< the log has not decided yet
  bool claimed = false;  ///< the log let it through; its end must be recorded
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

/// @brief Where a path under /v1/services/ leads.
struct ServicePath {
  std::string service;
  std::string rest;  ///< begins with '/'
};

/// @brief Splits a path under /v1/services/.
/// @param path as the caller sent it, decoded
/// @return its parts; request.101 when it holds dot segments, which an upstream
/// could read as
///         another path than the rules did; request.107 without a service's
///         name
absl::StatusOr<ServicePath> ParseServicePath(std::string_view path);

/// @brief Percent-encodes a path for a URL; '/' stays.
std::string EncodePath(std::string_view path);

}  // namespace limpetlink
