/// @file
/// @brief What the dispatcher is told and what it decides.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "base/base.h"
#include "fleet/fleet.h"

namespace limpetlink {

/// @brief A request wants a worker. The answer is Place or Refuse, perhaps
/// after Waiting.
struct SubmitRequest {
  RequestId request;
  OrganisationId organisation;
  std::string target;  ///< the model's or the service's name
  std::string route;   ///< the route's name; for a service its matched rule's
                       ///< path prefix
  RequestClass request_class = RequestClass::kDraft;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;
  std::vector<std::uint64_t>
      prefix_blocks;  ///< hashes of the prompt's leading blocks
  Instant deadline = kNever;
  bool idempotent = true;
  bool is_retry = false;             ///< taken from the retry budget
  std::vector<UpstreamId> excluded;  ///< workers already tried
  std::uint32_t produced_tokens =
      0;  ///< of an earlier generation of the same request
};

/// @brief A placed stream has produced this many tokens in all.
struct ReportProduced {
  RequestId request;
  std::uint32_t tokens = 0;
};

/// @brief How a placed request ended at its worker.
enum class PlacementEnd {
  kFinished,
  kCancelled,
  kNotConnected,  ///< nothing reached the worker
  kRefused,       ///< the worker said it did not run it
  kLost,          ///< cut, stalled or dead after the request was sent
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

/// @brief A worker's own report of its load; lags.
struct WorkerReport {
  UpstreamId worker;
  std::uint64_t memory_tokens =
      0;  ///< capacity of the engine's memory, in tokens
  std::uint64_t memory_tokens_used =
      0;  ///< of it in use when the report was made
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint64_t preemptions = 0;  ///< since the engine started
  Duration step_time{0};          ///< time of the last decode step
  bool draining = false;
};

/// @brief Why a worker gets no new work, or that it may again.
enum class WorkerState { kLive, kLeaving, kTerminated };

template <>
struct EnumTable<WorkerState> {
  static constexpr EnumName<WorkerState> kRows[] = {
      {WorkerState::kLive, "live"},
      {WorkerState::kLeaving, "leaving"},
      {WorkerState::kTerminated, "gone"}};
};

/// @brief A sign of a worker's state from the host list, its report or a
/// refusal.
struct SetWorkerState {
  UpstreamId worker;
  WorkerState state = WorkerState::kLive;
};

/// @brief A worker's cache now holds, or no longer holds, a prefix block. A gap
/// in the sequence
///        clears what is known of the worker.
struct CacheEvent {
  UpstreamId worker;
  std::uint64_t sequence = 0;
  std::uint64_t block = 0;
  bool present = true;
};

/// @brief A new fleet document is in force.
struct Configure {
  std::shared_ptr<const FleetDocument> document;
};

/// @brief The live entry hosts changed.
struct SetHosts {
  std::vector<HostId> live;  ///< with this host
  std::vector<FailureDomainId>
      failure_domains;  ///< of the live hosts, in their order; empty when
                        ///< unknown. Owners are chosen near their workers.
};

/// @brief A dispatcher's message from a peer, CBOR as made by DispatchSend.
struct DispatchReceive {
  HostId from;
  std::string bytes;
};

/// @brief Only time has passed.
struct DispatchTick {};

/// @brief What the dispatcher may be told.
using DispatchMessage =
    std::variant<SubmitRequest, ReportProduced, ReportEnded, WorkerReport,
                 SetWorkerState, CacheEvent, Configure, SetHosts,
                 DispatchReceive, DispatchTick>;

/// @brief Send the request to this worker now.
struct Place {
  RequestId request;
  UpstreamId worker;
  std::string url;
  std::int32_t priority = 0;  ///< higher is kept longer by the engine
};

/// @brief Tell the caller now that the request is given up.
struct Refuse {
  RequestId request;
  Problem problem;
};

/// @brief The request waits; told on every change that a person would care
/// about.
struct Waiting {
  RequestId request;
  std::uint32_t position = 0;  ///< 1 is next
  Duration expected_wait{0};   ///< from the queue's drain rate
  std::string reason;
};

/// @brief Raise a running stream's priority at its engine.
struct SetPriority {
  RequestId request;
  UpstreamId worker;
  std::int32_t priority = 0;
};

/// @brief Send bytes to a peer's dispatcher; may be lost.
struct DispatchSend {
  HostId to;
  std::string bytes;
};

/// @brief What the dispatcher may decide.
using DispatchAction =
    std::variant<Place, Refuse, Waiting, SetPriority, DispatchSend>;

}  // namespace limpetlink
