/// @file
/// @brief What the gateway reads from and writes to callers, workers and the
/// metadata store, and the hooks that know how it is spelled there.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "base/base.h"
#include "discovery/discovery.h"
#include "ports/ports.h"
#include "routes/routes.h"
#include "routing/routing.h"

namespace limpetlink {

/// @brief What a caller says of its request in headers.
struct CallerTerms {
  std::string request_id;            ///< chosen by the caller, never reused
  std::optional<Duration> patience;  ///< how long the caller will wait
  std::optional<std::string> key;    ///< of its organisation
  std::optional<std::uint64_t> prompt_tokens;
  std::optional<std::uint64_t> max_output_tokens;
  std::optional<std::uint64_t> expected_output_tokens;  ///< the caller's guess
};

/// @brief What the gateway tells a worker beside the caller's own headers.
struct WorkerTerms {
  Duration time_left{0};
  UpstreamId worker;  ///< no other worker may run the request
  std::optional<OrganisationId> organisation;
  std::optional<int> priority;  ///< 0 is the highest; engines only
};

/// @brief What a worker's answer says beside its status.
struct WorkerAnswer {
  std::string request_id;  ///< of the request that it answers; may be empty
  bool is_signed = false;  ///< it stems from a worker
  bool not_run = false;    ///< the request did not run and never will
  bool encoded = false;    ///< its body is not the worker's bytes
  std::optional<LoadReport> load;
};

/// @brief Spelling of all that leaves and enters the gateway. Readers are
/// total: bad input gives a status, never a crash or a half-filled value.
struct GatewayCodec {
  std::string deployment_kind;  ///< of the object that holds the Deployment
  std::string deployment_name;
  std::string worker_kind;  ///< of the workers' registrations
  std::string ready_path;   ///< asked by the balancer
  std::function<absl::StatusOr<Deployment>(const ObjectRecord&)> deployment;
  std::function<absl::StatusOr<WorkerRegistration>(const ObjectRecord&)> worker;
  std::function<absl::StatusOr<CallerTerms>(const Headers&)> caller_terms;
  /// The caller's end-to-end headers without those that are the gateway's to
  /// set, and with those that the terms ask for.
  std::function<Headers(const Headers&, const WorkerTerms&)> worker_headers;
  std::function<WorkerAnswer(const Headers&)> worker_answer;
  /// The worker's end-to-end headers that callers may see.
  std::function<Headers(const Headers&)> caller_headers;
};

}  // namespace limpetlink
