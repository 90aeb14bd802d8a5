/// @file
/// @brief One caller's request on its way to a worker and back.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/detail/codec.h"
#include "gateway/detail/event_splitter.h"
#include "gateway/detail/final_answer.h"

namespace limpetlink {

/// @brief One send of a request to a worker, until it has ended.
struct Attempt {
  CallId call;
  UpstreamId worker;
  Instant sent{};
  int status = 0;  ///< 0 until the answer's head has come
  Headers headers;
  WorkerResponse said;
  std::string body;
  bool relaying = false;  ///< its events go to the caller as they come
  bool paused = false;    ///< the caller is behind
};

/// @brief What is being done to move a stream off its worker.
enum class MovePhase {
  kScheduled,  ///< its copy begins later
  kCopying,    ///< the run goes on meanwhile
  kFinishing,  ///< the run was told to stop
  kStopped,    ///< the last part is copied; the source's stream is to end
};

/// @brief A stream's move from one worker to another.
struct StreamMove {
  MovePhase phase = MovePhase::kScheduled;
  UpstreamId source;
  std::string source_address;
  FailureDomainId source_domain;
  UpstreamId destination;
  bool reserved = false;            ///< counted at the destination
  std::vector<UpstreamId> refused;  ///< had no room
  CallId call;                      ///< the order in progress
  int status = 0;
  std::string body;
  std::string handle;      ///< of the newest copy
  bool at_source = false;  ///< the handle is good at the source only
  bool source_ended = false;
  Instant noticed{};
  Instant stopped{};
  std::uint32_t tries = 0;
};

/// @brief A request without its final answer.
struct Forwarded {
  CallerRequest request;
  CallerMetadata terms;
  std::shared_ptr<const RouteTable> table;  ///< in force when it arrived
  const ForwardingRoute* route = nullptr;   ///< of that table
  const KeyHolder* holder = nullptr;        ///< of that table; may be missing
  std::string service;
  bool on_engine = false;
  RequestSize size;
  Instant arrived{};
  Instant deadline{};  ///< of the caller or the route, whichever is earlier
  std::optional<Instant> hedge_at;
  std::vector<Attempt> running;
  std::vector<UpstreamId> tried;
  std::uint32_t sends = 0;
  std::uint32_t connect_failures = 0;
  std::uint32_t runs = 0;  ///< attempts that a worker may have run
  bool delivering = false;
  EventSplitter events;
  std::size_t buffered = 0;  ///< bytes of the answer that the caller lacks
  std::optional<Instant> first_event;  ///< passed on to the caller
  Instant last_event{};
  Duration longest_pause{0};  ///< between events, moves included
  std::uint32_t moves = 0;    ///< workers it went on at
  std::optional<StreamMove> move;

  bool Idempotent() const {
    return this->route->kind == RouteKind::kIdempotent;
  }
  bool Streaming() const { return this->route->kind == RouteKind::kStreaming; }
};

}  // namespace limpetlink
