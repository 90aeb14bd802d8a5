/// @file
/// @brief Callers' connections: requests in, replies out.
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

/// @brief What a server asks of its loop.
struct CallerServerHooks {
  std::function<void(Event)> emit;  ///< never called from within Execute
  std::function<HttpLimits()> http_limits;
  std::function<RequestId()> next_id;
};

/// @brief Serves HTTP/1.1 at one address.
class CallerServer {
 public:
  CallerServer(asio::io_context* context, bool for_operators,
               CallerServerHooks hooks);
  ~CallerServer();

  absl::Status Listen(const std::string& address);
  std::uint16_t Port() const;

  /// @return whether the request is one of this server's
  bool Execute(const ReplyHead& head);
  bool Execute(ReplyBody* body);
  bool Execute(const ReplyEnd& end);

  /// @brief Writes what was taken since the last flush.
  void Flush();

  /// @brief Closes connections that are idle for too long or have not sent a
  /// whole head in time.
  void Sweep(Instant now);

  /// @brief Closes the listener and all connections without a request.
  void StopAccepting();

  /// @return whether no reply is still being written
  bool Idle() const { return this->by_request.empty() && this->writing == 0; }

 private:
  friend class CallerConnection;
  using Connection = std::shared_ptr<CallerConnection>;

  void Accept();

  bool for_operators;
  CallerServerHooks hooks;
  Tcp::acceptor acceptor;
  std::set<Connection> connections;
  std::unordered_map<std::uint64_t, Connection> by_request;
  std::set<Connection> dirty;
  std::size_t writing = 0;
};

}  // namespace limpetlink::event_loop
