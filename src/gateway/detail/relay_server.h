/// @file
/// @brief Relays other hosts' requests to workers that they can't reach.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "discovery/discovery.h"
#include "gateway/detail/worker_paths.h"
#include "ports/ports.h"

namespace limpetlink {

/// @brief Callbacks of RelayServer.
struct RelayServerHooks {
  std::function<CallId()> next_call_id;
  /// Returns whether this host may send a request to the worker now.
  std::function<bool(Instant, const WorkerRegistration&)> may_send;
  /// Returns whether this host may send a command to the worker now.
  std::function<bool(Instant, const UpstreamId&)> may_send_command;
  /// Called when a request or command is sent to the worker.
  std::function<void(Instant, const UpstreamId&)> sent;
  /// Called with each response head of a worker to a request, and when that
  /// was sent.
  std::function<void(Instant, const UpstreamId&, Instant, const HttpHead&)>
      responded;
};

/// @brief Passes requests of other hosts on to the worker that they name, and
/// the response back. The other host decides everything else: this one sends a
/// request once, or refuses it, and never relays it to a third host.
///
/// What a worker tells binds this host as well: a request to one that requested
/// a pause, limits its requests or leaves is refused as not sent.
class RelayServer {
 public:
  /// @brief Requests in progress, at most, so that the own callers of a host
  /// which few others can stand in for are still served.
  static constexpr std::size_t kMaxInProgress = 64;

  /// @param token that requests have to carry
  /// @param directory and `paths` must outlive this
  RelayServer(std::string token, const WorkerDirectory* directory,
              WorkerPaths* paths, RelayServerHooks hooks)
      : token(std::move(token)),
        directory(directory),
        paths(paths),
        hooks(std::move(hooks)) {}

  const std::string& Token() const { return this->token; }

  /// @brief Notes that the process runs; called before each event. Requests
  /// that were received while it was paused are refused, as their time may be
  /// over.
  void OnStep(Instant now);

  void OnRequest(Instant now, const CallerRequest& request);
  /// @return whether the request is relayed here
  bool OnCallerDisconnected(const CallerDisconnected& disconnected);
  bool OnCallerBufferDrained(const CallerBufferDrained& drained);
  bool OnHead(Instant now, HttpHead head);
  bool OnChunk(const HttpChunk& chunk);
  bool OnDone(Instant now, const HttpDone& done);

  /// @brief Refuses requests from now on.
  void Drain() { this->draining = true; }
  /// @brief Ends all requests; the process is about to terminate.
  void EndAll();

  std::size_t InProgress() const { return this->relayed.size(); }
  Actions TakeActions() { return std::exchange(this->actions, {}); }

 private:
  struct RelayedRequest {
    RequestId id;
    UpstreamId worker;
    Instant sent{};
    bool responding = false;  ///< the worker's head was passed on
    std::size_t buffered = 0;
    bool paused = false;
  };

  /// @return why the request is refused, or nullptr
  const char* Check(Instant now, const CallerRequest& request) const;
  void Answer(RequestId id, int status, RelayResult result);
  RelayedRequest* Find(RequestId id, CallId* call);

  std::string token;
  const WorkerDirectory* directory;
  WorkerPaths* paths;
  RelayServerHooks hooks;
  std::unordered_map<std::uint64_t, RelayedRequest> relayed;  ///< by call
  std::unordered_map<std::uint64_t, CallId> call_of_request;
  std::optional<Instant> last_step;
  Instant resumed_at{};
  bool draining = false;
  Actions actions;
};

}  // namespace limpetlink
