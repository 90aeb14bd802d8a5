/// @file
/// @brief Values that the gateway exchanges with callers, workers and the
/// metadata store, and the hooks that encode and decode them.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "base/base.h"
#include "discovery/discovery.h"
#include "migration/migration.h"
#include "ports/ports.h"
#include "routes/routes.h"
#include "routing/routing.h"

namespace limpetlink {

/// @brief Request metadata from the caller's headers.
struct CallerMetadata {
  std::string request_id;           ///< chosen by the caller, never reused
  std::optional<Duration> timeout;  ///< maximum wait of the caller
  std::optional<std::string> key;   ///< API key of an organisation
  std::optional<std::uint64_t> prompt_tokens;
  std::optional<std::uint64_t> max_output_tokens;
  std::optional<std::uint64_t> expected_output_tokens;  ///< length hint
  /// Ids of the prompt's parts in order, without the last one, which belongs to
  /// this request or its session only.
  std::vector<std::string> shared_parts;
};

/// @brief The point at which a migrated stream resumes.
struct ResumePoint {
  std::string source;            ///< "ip:port" of the worker that ran it
  std::string handle;            ///< of the transferred KV cache
  std::uint64_t last_event = 0;  ///< id of the last complete event
};

/// @brief Metadata that the gateway adds to the caller's headers for a worker.
struct WorkerMetadata {
  Duration time_left{0};
  UpstreamId worker;  ///< the only worker that may run it
  std::optional<OrganisationId> organisation;
  std::optional<int> priority;  ///< 0 is the highest; engines only
  std::optional<ResumePoint> resume;
};

/// @brief An engine's report of its load and its running streams.
struct EngineReport {
  std::uint32_t active = 0;
  std::uint32_t queued = 0;
  std::uint64_t memory_in_use = 0;  ///< tokens that can't be evicted
  bool draining = false;            ///< accepts no new work, will terminate
  std::vector<RunningStream> streams;
  std::optional<Duration> terminates_in;  ///< unset if unknown
  /// Unix milliseconds; identifies the incarnation.
  std::optional<std::int64_t> started_at;
};

/// @brief Command to an engine: transfer a stream's KV cache to another worker.
struct KvTransferCommand {
  std::string request_id;
  std::string destination;  ///< "ip:port" of the other worker
  bool final_part = false;  ///< stop the stream, transfer the rest
};

/// @brief Metadata from the headers of a worker's response.
struct WorkerResponse {
  std::string request_id;  ///< of the answered request; may be empty
  bool is_signed = false;  ///< carries a worker's signature
  bool not_run = false;    ///< the request didn't run and never will
  bool encoded = false;    ///< the body has a content encoding
  bool leaving = false;    ///< the worker accepts no new work
  std::optional<LoadReport> load;
  /// Time for which the worker wants no requests from this host.
  std::optional<Duration> retry_after;
  /// Requests per second that the worker takes from all hosts together.
  std::optional<double> request_limit;
  /// Requests that it may turn away in a second before it ends; unset: any.
  std::optional<double> max_rejections;
  bool limit_unreadable = false;  ///< it names a limit that is no number
};

/// @brief Encoders and decoders for everything that enters or leaves the
/// gateway. Decoders accept any input: malformed input results in an error
/// status, never in a crash or a partly filled value.
struct GatewayCodec {
  std::string deployment_kind;  ///< object kind of the Deployment
  std::string deployment_name;
  std::string worker_kind;  ///< object kind of worker registrations
  /// Object kind of evacuations, named by failure domain.
  std::string evacuation_kind{};
  std::string quarantine_kind{};  ///< object kind of quarantined inputs;
                                  ///< empty: they aren't stored
  std::string ready_path;         ///< readiness check of the load balancer
  std::function<absl::StatusOr<Deployment>(const ObjectRecord&)> deployment;
  std::function<absl::StatusOr<WorkerRegistration>(const ObjectRecord&)> worker;
  std::function<absl::StatusOr<CallerMetadata>(const Headers&)> caller_metadata;
  /// Headers for the worker: the caller's end-to-end headers, with those that
  /// are reserved to the gateway replaced by the given metadata.
  std::function<Headers(const Headers&, const WorkerMetadata&)> worker_headers;
  std::function<WorkerResponse(const Headers&)> worker_response;
  /// Calls to an engine with method, path, headers and body; the gateway fills
  /// in the id, the address and the timeouts.
  std::function<HttpCall()> report_call;
  std::function<HttpCall(const KvTransferCommand&)> kv_transfer_call;
  std::function<HttpCall(const std::string& handle)> kv_release_call;
  std::function<absl::StatusOr<EngineReport>(const std::string& body)> report;
  std::function<KvTransferResult(int status, const std::string& body)>
      kv_transfer_result;
  /// The worker's end-to-end headers that are passed on to callers.
  std::function<Headers(const Headers&)> caller_headers;
};

}  // namespace limpetlink
