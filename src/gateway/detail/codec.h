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
struct CallerTerms {
  std::string request_id;            ///< chosen by the caller, never reused
  std::optional<Duration> patience;  ///< how long the caller will wait
  std::optional<std::string> key;    ///< of its organisation
  std::optional<std::uint64_t> prompt_tokens;
  std::optional<std::uint64_t> max_output_tokens;
  std::optional<std::uint64_t> expected_output_tokens;  ///< the caller's guess
};

/// @brief Where a stream that moved goes on.
struct ResumeTerms {
  std::string source;            ///< "ip:port" of the worker that ran it
  std::string handle;            ///< of the copy
  std::uint64_t last_event = 0;  ///< id of the last event that was taken
};

/// @brief What the gateway tells a worker beside the caller's own headers.
struct WorkerTerms {
  Duration time_left{0};
  UpstreamId worker;  ///< no other worker may run the request
  std::optional<OrganisationId> organisation;
  std::optional<int> priority;  ///< 0 is the highest; engines only
  std::optional<ResumeTerms> resume;
};

/// @brief What an engine says of the streams that it runs.
struct EngineReport {
  std::uint32_t active = 0;
  std::uint32_t queued = 0;
  std::uint64_t memory_in_use = 0;  ///< tokens that cannot yield
  bool draining = false;            ///< it leaves
  std::vector<RunningStream> runs;
  std::optional<Duration> leaves_in;  ///< until it is gone, if it knows
};

/// @brief Orders an engine to copy a stream's memory to another worker.
struct MoveOrder {
  std::string request_id;
  std::string to;     ///< "ip:port" of the other worker
  bool last = false;  ///< the run stops first; what is new is copied
};

/// @brief How an order to copy ended.
enum class MoveEnd {
  kCopied,
  kNoSuchRun,  ///< it has not begun, or has ended
  kBusy,       ///< an order for this stream is in progress
  kNoRoom,     ///< at the destination, or it cannot be reached
  kUnknown,    ///< no answer that can be read
};

template <>
struct EnumTable<MoveEnd> {
  static constexpr EnumName<MoveEnd> kRows[] = {
      {MoveEnd::kCopied, "copied"},
      {MoveEnd::kNoSuchRun, "no_such_run"},
      {MoveEnd::kBusy, "busy"},
      {MoveEnd::kNoRoom, "no_room"},
      {MoveEnd::kUnknown, "unknown"}};
};

/// @brief An engine's answer to an order to copy.
struct MoveAnswer {
  MoveEnd end = MoveEnd::kUnknown;
  std::string handle;  ///< names the copy; may be set with kNoRoom, then the
                       ///< source itself holds the stopped stream
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
  /// Method, path, headers and body of calls to an engine; the rest of the
  /// call is the gateway's to fill in.
  std::function<HttpCall()> report_call;
  std::function<HttpCall(const MoveOrder&)> move_call;
  std::function<HttpCall(const std::string& handle)> release_call;
  std::function<absl::StatusOr<EngineReport>(const std::string& body)> report;
  std::function<MoveAnswer(int status, const std::string& body)> move_answer;
  /// The worker's end-to-end headers that callers may see.
  std::function<Headers(const Headers&)> caller_headers;
};

}  // namespace limpetlink
