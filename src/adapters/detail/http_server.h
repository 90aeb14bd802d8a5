/// @file
/// @brief HTTP server for callers' requests that uses libmicrohttpd.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "adapters/detail/address.h"

namespace limpetlink {

/// @brief Settings of an HttpServer.
struct HttpServerSettings {
  std::string listen;  ///< "ip:port"; port 0 selects a free port
  /// Maximum size of a body; a longer one is dropped and reported as
  /// CallerRequest::body_too_large.
  std::size_t max_body_bytes = 1U << 20U;
  /// Maximum number of unsent bytes of one reply; beyond it the server closes
  /// the connection.
  std::size_t max_buffered_bytes = 4U << 20U;
  unsigned max_connections = 8192;  ///< further ones wait in the backlog
  unsigned threads = 1;             ///< polling threads
  /// Timeout of a connection on which the caller neither sends nor receives.
  std::chrono::seconds idle_timeout{120};
};

/// @brief Counters of an HttpServer since its start.
struct HttpServerCounts {
  std::uint64_t requests = 0;  ///< requests passed to the core
  std::uint64_t open = 0;      ///< requests without a complete reply now
  /// Callers that disconnected before the end of their reply.
  std::uint64_t disconnected = 0;
  std::uint64_t too_large = 0;  ///< bodies over the limit
  /// Connections closed because the reply's buffer was full.
  std::uint64_t overflowed = 0;
};

/// @brief Serves HTTP/1.1. A request is suspended until the core replies,
/// without blocking a thread.
///
/// Emits CallerRequest once a body is complete, CallerBufferDrained at the
/// latest when HttpServer::kDrainStep more bytes were sent since the previous
/// one, and CallerDisconnected when the caller closes or half-closes its
/// connection before the end of its reply.
/// @note Example:
/// @code
/// HttpServer server(settings, sink);
/// absl::Status status = server.Start();
/// server.Execute(ReplyHead{id, 200, {}});
/// server.Execute(ReplyEnd{id});
/// server.Flush();
/// @endcode
class HttpServer {
 public:
  /// @brief Number of bytes sent from a reply's buffer after which the core is
  /// notified.
  static constexpr std::size_t kDrainStep = 8U << 10U;

  /// @param settings address and limits of the server
  /// @param sink receives the events
  HttpServer(HttpServerSettings settings, EventSink sink);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// @brief Listens and starts to serve.
  /// @return request.101 for an invalid address, or absl::UnavailableError
  /// without an error code when the address cannot be listened on
  absl::Status Start();

  /// @brief Closes all connections and joins the threads.
  void Stop();

  /// @return the port on which the server listens; 0 unless started
  std::uint16_t Port() const;

  /// @brief Executes an action of the core; actions for unknown requests are
  /// ignored. Thread-safe.
  void Execute(const ReplyHead& head);
  void Execute(ReplyBody body);
  void Execute(const ReplyEnd& end);

  /// @brief Resumes the connections that received actions since the last Flush.
  void Flush();

  /// @return the counters since the start
  HttpServerCounts Counts() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace limpetlink
