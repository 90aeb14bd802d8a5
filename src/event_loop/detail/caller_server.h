/// @file
/// @brief HTTP server for callers' requests.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "absl/status/status.h"
#include "event_loop/detail/framing.h"
#include "routes/routes.h"

namespace limpetlink::event_loop {

class CallerConnection;

/// @brief Memory for requests that all servers of a process share. A request
/// counts from its first byte to the end of its reply.
struct RequestMemory {
  std::size_t limit = 0;  ///< bytes
  std::size_t used = 0;
};

/// @brief Functions that a server calls in its event loop.
struct CallerServerHooks {
  std::function<void(Event)> emit;  ///< receives events; never called from
                                    ///< within Execute
  std::function<HttpLimits()> http_limits;
  std::function<RequestId()> next_id;
  RequestMemory* memory = nullptr;  ///< must outlive the server
  /// Called when a request is rejected before the core sees it.
  std::function<void(int status, const char* reason)> rejected;
};

/// @brief Serves HTTP/1.1 at one address.
class CallerServer {
 public:
  /// @param source of the requests that arrive at this server
  CallerServer(asio::io_context* context, RequestSource source,
               CallerServerHooks hooks);
  ~CallerServer();

  absl::Status Listen(const std::string& address);
  std::uint16_t Port() const;

  /// @brief Executes an action of the core; it takes effect at the next Flush.
  /// @return whether the request belongs to this server
  bool Execute(const ReplyHead& head);
  bool Execute(ReplyBody* body);
  bool Execute(const ReplyEnd& end);

  /// @brief Writes the replies queued since the last flush.
  void Flush();

  /// @brief Closes connections that exceed the idle timeout or the timeout for
  /// a complete request head.
  void Sweep(Instant now);

  /// @brief Closes the listener and all connections without an open request.
  void StopAccepting();

  /// @return whether no request is open and no reply is being written
  bool Idle() const { return this->by_request.empty() && this->writing == 0; }

 private:
  friend class CallerConnection;
  using Connection = std::shared_ptr<CallerConnection>;

  void Accept();

  RequestSource source;
  CallerServerHooks hooks;
  Tcp::acceptor acceptor;
  std::set<Connection> connections;
  std::unordered_map<std::uint64_t, Connection> by_request;
  std::set<Connection> dirty;
  std::size_t writing = 0;
};

}  // namespace limpetlink::event_loop
