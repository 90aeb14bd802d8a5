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
#include "migration/migration.h"
#include "ports/ports.h"
#include "routes/routes.h"
#include "routing/routing.h"

namespace limpetlink {

/// @brief What a caller says of its request in headers.
struct CallerMetadata {
  std::string request_id;           ///< chosen by the caller, never reused
  std::optional<Duration> timeout;  ///< how long the caller will wait
  std::optional<std::string> key;   ///< of its organisation
  std::optional<std::uint64_t> prompt_tokens;
  std::optional<std::uint64_t> max_output_tokens;
  std::optional<std::uint64_t> expected_output_tokens;  ///< the caller's guess
};

/// @brief Where a stream that moved goes on.
struct ResumePoint {
  std::string source;            ///< "ip:port" of the worker that ran it
  std::string handle;            ///< of the copy
  std::uint64_t last_event = 0;  ///< id of the last event that was taken
};

/// @brief What the gateway tells a worker beside the caller's own headers.
struct WorkerMetadata {
  Duration time_left{0};
  UpstreamId worker;  ///< no other worker may run the request
  std::optional<OrganisationId> organisation;
  std::optional<int> priority;  ///< 0 is the highest; engines only
  std::optional<ResumePoint> resume;
};

/// @brief What an engine says of the streams that it runs.
struct EngineReport {
  std::uint32_t active = 0;
  std::uint32_t queued = 0;
  std::uint64_t memory_in_use = 0;  ///< tokens that cannot yield
  bool draining = false;            ///< it leaves
  std::vector<RunningStream> streams;
  std::optional<Duration> terminates_in;  ///< until it is gone, if it knows
};

/// @brief Orders an engine to copy a stream's memory to another worker.
struct KvTransferCommand {
  std::string request_id;
  std::string destination;  ///< "ip:port" of the other worker
  bool final_part = false;  ///< the run stops first; what is new is copied
};

/// @brief How an order to copy ended.
enum class KvTransferOutcome {
  kCopied,
  kNoSuchRun,   ///< it has not begun, or has ended
  kBusy,        ///< an order for this stream is in progress
  kNoCapacity,  ///< at the destination, or it cannot be reached
  kUnknown,     ///< no answer that can be read
};

template <>
struct EnumTable<KvTransferOutcome> {
  static constexpr EnumName<KvTransferOutcome> kRows[] = {
      {KvTransferOutcome::kCopied, "copied"},
      {KvTransferOutcome::kNoSuchRun, "no_such_run"},
      {KvTransferOutcome::kBusy, "busy"},
      {KvTransferOutcome::kNoCapacity, "no_room"},
      {KvTransferOutcome::kUnknown, "unknown"}};
};

/// @brief An engine's answer to an order to copy.
struct KvTransferResult {
  KvTransferOutcome outcome = KvTransferOutcome::kUnknown;
  std::string handle;  ///< names the copy; may be set with kNoCapacity, then
                       ///< the source itself holds the stopped stream
};

/// @brief What a worker's answer says beside its status.
struct WorkerResponse {
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
  std::function<absl::StatusOr<CallerMetadata>(const Headers&)> caller_metadata;
  /// The caller's end-to-end headers without those that are the gateway's to
  /// set, and with those that the terms ask for.
  std::function<Headers(const Headers&, const WorkerMetadata&)> worker_headers;
  std::function<WorkerResponse(const Headers&)> worker_response;
  /// Method, path, headers and body of calls to an engine; the rest of the
  /// call is the gateway's to fill in.
  std::function<HttpCall()> report_call;
  std::function<HttpCall(const KvTransferCommand&)> kv_transfer_call;
  std::function<HttpCall(const std::string& handle)> kv_release_call;
  std::function<absl::StatusOr<EngineReport>(const std::string& body)> report;
  std::function<KvTransferResult(int status, const std::string& body)>
      kv_transfer_result;
  /// The worker's end-to-end headers that callers may see.
  std::function<Headers(const Headers&)> caller_headers;
};

}  // namespace limpetlink
