/// @file
/// @brief State of one forwarded request.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gateway/detail/codec.h"
#include "gateway/detail/event_splitter.h"
#include "gateway/detail/retry_decision.h"

namespace limpetlink {

/// @brief One transmission of a request to a worker, while in progress.
struct Attempt {
  CallId call;
  UpstreamId worker;
  std::optional<HostId> relay;  ///< host through which it is sent
  bool refused_by_relay = false;
  Instant sent{};
  std::uint32_t prior_crashes = 0;  ///< under this request, known when sent
  int status = 0;                   ///< 0 until the response head has arrived
  Headers headers;
  WorkerResponse response;
  std::string body;
  std::optional<Instant> head_at;  ///< when the response head arrived
  bool resumed = false;            ///< continues a stream of another worker
  bool has_events = false;         ///< at least one event was relayed
  bool relaying = false;           ///< events are streamed to the caller
  bool paused = false;             ///< reading is paused: the caller is slow
  bool until_close = false;  ///< only its connection's end delimits the body
};

/// @brief The migration of a stream from one worker to another.
struct StreamMigration {
  StreamMove move;
  std::string source_address;
  FailureDomainId source_domain;
  bool reserved = false;  ///< counted in the destination's load
  std::optional<Instant> timer;
  /// The source's attempt, once it has ended.
  std::optional<Attempt> source_attempt;
  Instant noticed_at{};       ///< first notice that the source is leaving
  Instant command_sent_at{};  ///< of the latest transfer command
};

/// @brief A request whose caller has no complete response yet.
struct ForwardedRequest {
  CallerRequest request;
  CallerMetadata metadata;
  std::shared_ptr<const RouteTable> table;  ///< active on arrival
  const ForwardingRoute* route = nullptr;   ///< of that table
  const KeyHolder* holder = nullptr;        ///< of that table; may be null
  std::string service;
  bool on_engine = false;
  RequestSize size;
  Instant arrived{};
  Instant deadline{};  ///< the earlier of caller's and route's
  std::optional<Instant> hedge_at;
  std::vector<Attempt> running;
  std::vector<UpstreamId> tried;
  std::set<HostId> refused_by;  ///< hosts that did not relay it
  std::uint32_t attempts = 0;   ///< those without a connection included
  std::uint32_t connect_failures = 0;
  std::uint32_t possible_runs = 0;  ///< attempts that may have run
  bool delivering = false;  ///< the response head was sent to the caller
  EventSplitter events;
  std::uint64_t events_relayed = 0;
  std::size_t buffered = 0;  ///< response bytes not yet sent to the caller
  std::optional<Instant> first_event;  ///< when it was relayed to the caller
  Instant last_event{};
  Duration longest_pause{0};     ///< between events, migrations included
  std::uint32_t migrations = 0;  ///< times the stream was resumed
  std::optional<StreamMigration> migration;
  /// Incarnations of workers that cut an attempt.
  std::vector<std::pair<UpstreamId, std::int64_t>> cut_by;
  /// Set by RequestIdentity().
  mutable std::string identity;

  bool Idempotent() const {
    return this->route->kind == RouteKind::kIdempotent;
  }
  bool Streaming() const { return this->route->kind == RouteKind::kStreaming; }
};

/// @brief Returns what a request has in common with its repeats: a digest of
/// method, target, caller, prompt parts and body, computed at the first call.
const std::string& RequestIdentity(const ForwardedRequest& flow);

/// @return whether a status says to callers that the request did not run
inline bool PromisesNotRun(int status) {
  return status == 503 || status == 429 || status == 408 || status == 421;
}

}  // namespace limpetlink
