/// @file
/// @brief State of a completion request in progress.
#pragma once

#include <optional>
#include <string>
#include <utility>

#include "entry/detail/completion_body.h"
#include "entry/detail/trace.h"
#include "fleet/fleet.h"
#include "streams/streams.h"

namespace limpetlink {

/// @brief HTTP call to the engine that runs a completion.
struct GenerationCall {
  CallId id;  ///< 0 if no call is open
  StreamAttempt attempt = 0;
  UpstreamId worker;
  SseDecoder decoder{SseLimits{}};
  int status = 0;  ///< HTTP status; 0 until the response head arrives
  TraceContext trace;
  Instant started;
};

/// @brief State of one completion request.
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
  Instant wakeup = kNever;  ///< next timer of the stream
  std::uint32_t prompt_tokens = 0;
  GenerationCall call;
  std::optional<ResumeTokenMinter> minter;  ///< for minter_generation
  GenerationId minter_generation;
  std::string url;  ///< base URL of the current worker
  std::int32_t priority = 0;
  std::string buffered_text;  ///< output so far, unless streamed to the caller
  std::uint32_t tokens = 0;   ///< of the current generation
  Duration expected_wait{0};  ///< last estimate of the dispatcher
  bool placed = false;        ///< occupies a slot at a worker
  bool head_sent = false;
  std::vector<UpstreamId> excluded;  ///< workers that a retry must avoid
};

}  // namespace limpetlink
