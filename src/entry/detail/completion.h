/// @file
/// @brief One caller's completion request while it is in progress.
#pragma once

#include <optional>
#include <string>
#include <utility>

#include "entry/detail/completion_body.h"
#include "entry/detail/trace.h"
#include "fleet/fleet.h"
#include "streams/streams.h"

namespace limpetlink {

/// @brief The call to an engine that is open for a completion.
struct GenerationCall {
  CallId id;  ///< 0: none is open
  StreamAttempt attempt = 0;
  UpstreamId worker;
  SseDecoder decoder{SseLimits{}};
  int status = 0;  ///< of the answer; 0 until its head arrived
  TraceContext trace;
  Instant started;
};

/// @brief All that the host keeps of one completion.
struct Completion {
  Completion(RequestId request, Stream new_stream)
      : id(request), stream(std::move(new_stream)) {}

  RequestId id;
  Stream stream;
  OrganisationId organisation;
  Route route;
  CompletionBody body;
  ResponseMetadata metadata;
  std::optional<ChunkWriter> chunks;
  TraceContext trace;
  Instant arrived;
  Instant deadline;
  Instant last_token = kNever;
  Instant wakeup = kNever;  ///< when the stream wants a tick
  std::uint32_t prompt_tokens = 0;
  GenerationCall call;
  std::optional<ResumeTokenMinter> minter;  ///< of the generation in force
  GenerationId minter_generation;
  std::string url;  ///< of the worker in force
  std::int32_t priority = 0;
  std::string buffered_text;  ///< the answer so far, when it is not streamed
  std::uint32_t tokens = 0;   ///< of the generation in force
  Duration expected_wait{0};  ///< last told by the dispatcher
  bool placed = false;        ///< the dispatcher counts it at a worker
  bool head_sent = false;
  std::vector<UpstreamId> excluded;
};

}  // namespace limpetlink
