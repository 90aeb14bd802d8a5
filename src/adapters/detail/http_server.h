/// @file
/// @brief Callers' HTTP requests in, the core's replies out, over
/// libmicrohttpd.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "adapters/detail/address.h"

namespace limpetlink {

/// @brief How an HttpServer is set up.
struct HttpServerSettings {
  std::string listen;  ///< "ip:port"; port 0 takes a free one
  std::size_t max_body_bytes =
      1U << 20U;  ///< a longer body is dropped and said so
  std::size_t max_buffered_bytes =
      4U << 20U;                    ///< of one reply; more cuts the caller
  unsigned max_connections = 8192;  ///< more wait in the listen queue
  unsigned threads = 1;             ///< polling threads
  std::chrono::seconds idle_timeout{
      120};  ///< for a caller that neither sends nor reads
};

/// @brief Counts of an HttpServer since its start.
struct HttpServerCounts {
  std::uint64_t requests = 0;  ///< requests handed to the core
  std::uint64_t open = 0;      ///< requests without a final answer now
  std::uint64_t disconnected =
      0;                        ///< callers that left before their final answer
  std::uint64_t too_large = 0;  ///< bodies over the bound
  std::uint64_t overflowed =
      0;  ///< callers cut since their reply's buffer was full
};

/// @brief Serves HTTP/1.1. A request is suspended until the core answers; no
/// thread waits for it.
///
/// Emits CallerRequest once a body is whole, CallerBufferDrained at the latest
/// when HttpServer::kDrainStep bytes more were taken than last told, and
/// CallerDisconnected when the caller closes or half-closes its connection
/// before its final answer.
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
  /// @brief Bytes that may be taken from a reply's buffer before the core is
  /// told.
  static constexpr std::size_t kDrainStep = 8U << 10U;

  /// @param settings where and within which bounds to serve
  /// @param sink takes the events
  HttpServer(HttpServerSettings settings, EventSink sink);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// @brief Listens and begins to serve.
  /// @return request.101 for a bad address, platform-independent unavailable
  /// when it cannot listen
  absl::Status Start();

  /// @brief Cuts all connections and ends the threads.
  void Stop();

  /// @return the port that is listened on, once started
  std::uint16_t Port() const;

  /// @brief Carries an order out; unknown requests are passed over. Any thread.
  void Execute(const ReplyHead& head);
  void Execute(ReplyBody body);
  void Execute(const ReplyEnd& end);

  /// @brief Wakes the connections that got something since the last Flush.
  void Flush();

  /// @return counts since the start
  HttpServerCounts Counts() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace limpetlink
