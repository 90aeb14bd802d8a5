/// @file
/// @brief The dispatcher's input messages and output actions.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "base/base.h"
#include "fleet/fleet.h"

namespace limpetlink {

/// @brief Requests placement on a worker. Results in Place or Refuse, possibly
/// after Waiting.
struct SubmitRequest {
  RequestId request;
  OrganisationId organisation;
  std::string target;  ///< name of the model or service
  /// The route's name; for a service, the matched rule's path prefix.
  std::string route;
  RequestClass request_class = RequestClass::kDraft;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;
  /// Hashes of the prompt's leading blocks.
  std::vector<std::uint64_t> prefix_blocks;
  Instant deadline = kNever;
  bool idempotent = true;
  bool is_retry = false;             ///< charged to the retry budget
  std::vector<UpstreamId> excluded;  ///< workers already tried
  /// Tokens produced by an earlier generation of the same request.
  std::uint32_t produced_tokens = 0;
};

/// @brief Reports the total number of tokens that a placed stream has produced.
struct ReportProduced {
  RequestId request;
  std::uint32_t tokens = 0;
};

/// @brief How a placed request ended at its worker.
enum class PlacementEnd {
  kFinished,
  kCancelled,
  kNotConnected,  ///< nothing reached the worker
  kRefused,       ///< the worker reported that it did not run the request
  /// The connection was cut, or the worker stalled or died, after the request
  /// was sent.
  kLost,
};

template <>
struct EnumTable<PlacementEnd> {
  static constexpr EnumName<PlacementEnd> kRows[] = {
      {PlacementEnd::kFinished, "finished"},
      {PlacementEnd::kCancelled, "cancelled"},
      {PlacementEnd::kNotConnected, "not_connected"},
      {PlacementEnd::kRefused, "refused"},
      {PlacementEnd::kLost, "lost"}};
};

/// @brief A placed request left its worker, or a waiting one is withdrawn
/// (kCancelled).
struct ReportEnded {
  RequestId request;
  PlacementEnd end = PlacementEnd::kFinished;
  std::uint32_t tokens = 0;
};

/// @brief A worker's own report of its load; lags behind the actual load.
struct WorkerReport {
  UpstreamId worker;
  /// Capacity of the engine's memory, in tokens.
  std::uint64_t memory_tokens = 0;
  /// Tokens of it in use when the report was made.
  std::uint64_t memory_tokens_used = 0;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint64_t preemptions = 0;  ///< since the engine started
  Duration step_time{0};          ///< duration of the last decode step
  bool draining = false;
};

/// @brief Whether a worker accepts new work, else why not.
enum class WorkerState { kLive, kLeaving, kTerminated };

template <>
struct EnumTable<WorkerState> {
  static constexpr EnumName<WorkerState> kRows[] = {
      {WorkerState::kLive, "live"},
      {WorkerState::kLeaving, "leaving"},
      {WorkerState::kTerminated, "gone"}};
};

/// @brief Indicates a worker's state, as seen in the host list, its report or a
/// refusal.
struct SetWorkerState {
  UpstreamId worker;
  WorkerState state = WorkerState::kLive;
};

/// @brief A prefix block was added to or removed from a worker's cache. A gap
/// in the sequence clears the cached blocks known for the worker.
struct CacheEvent {
  UpstreamId worker;
  std::uint64_t sequence = 0;
  std::uint64_t block = 0;
  bool present = true;
};

/// @brief Activates a new fleet document.
struct Configure {
  std::shared_ptr<const FleetDocument> document;
};

/// @brief The live entry hosts changed.
struct SetHosts {
  std::vector<HostId> live;  ///< including this host
  /// Failure domains of the live hosts, in their order; empty when unknown.
  /// Owners are chosen near their workers.
  std::vector<FailureDomainId> failure_domains;
};

/// @brief A message from a peer's dispatcher; the CBOR bytes of its
/// DispatchSend.
struct DispatchReceive {
  HostId from;
  std::string bytes;
};

/// @brief Advances time without any other event.
struct DispatchTick {};

/// @brief Any message that the dispatcher handles.
using DispatchMessage =
    std::variant<SubmitRequest, ReportProduced, ReportEnded, WorkerReport,
                 SetWorkerState, CacheEvent, Configure, SetHosts,
                 DispatchReceive, DispatchTick>;

/// @brief Sends the request to this worker now.
struct Place {
  RequestId request;
  UpstreamId worker;
  std::string url;
  /// The engine keeps streams of higher priority longer.
  std::int32_t priority = 0;
};

/// @brief Returns an error to the caller now and drops the request.
struct Refuse {
  RequestId request;
  Problem problem;
};

/// @brief Reports that the request is queued; repeated while it waits.
struct Waiting {
  RequestId request;
  std::uint32_t position = 0;  ///< 1 is next
  Duration expected_wait{0};   ///< estimated from the queue's drain rate
  std::string reason;
};

/// @brief Raises a running stream's priority at its engine.
struct SetPriority {
  RequestId request;
  UpstreamId worker;
  std::int32_t priority = 0;
};

/// @brief Sends bytes to a peer's dispatcher; may be lost.
struct DispatchSend {
  HostId to;
  std::string bytes;
};

/// @brief Any action that the dispatcher returns.
using DispatchAction =
    std::variant<Place, Refuse, Waiting, SetPriority, DispatchSend>;

}  // namespace limpetlink
