/// @file
/// @brief HTTP client that uses one libcurl multi handle on one thread.
#pragma once

#include <cstdint>
#include <memory>

#include "adapters/detail/address.h"

namespace limpetlink {

/// @brief Settings of an HttpClient.
struct HttpClientSettings {
  unsigned max_idle_connections = 64;  ///< idle connections that stay open
};

/// @brief Counters of an HttpClient since its start.
struct HttpClientCounts {
  std::uint64_t calls = 0;
  std::uint64_t open = 0;  ///< calls in progress now
  std::uint64_t complete = 0;
  std::uint64_t not_connected = 0;
  std::uint64_t cut = 0;
  std::uint64_t timeout = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t resends_blocked = 0;  ///< resends by libcurl that were blocked
};

/// @brief Executes HTTP calls and emits HttpHead, HttpChunk and one HttpDone
/// for each.
///
/// A request leaves the host at most once: libcurl calls back before each send,
/// and a second send is blocked (kCut). kNotConnected is reported only if
/// libcurl never started to send. Calls other than GET and HEAD open a new
/// connection, so that an idle connection that its server is closing never
/// leaves their outcome unknown.
/// @note Example:
/// @code
/// HttpClient client(HttpClientSettings{}, sink);
/// client.Start();
/// client.Execute(
///     HttpCall{CallId{1}, "GET", "http://127.0.0.1:8000/v1/hosts", {}, {}});
/// client.Flush();
/// @endcode
class HttpClient {
 public:
  /// @param settings limits of the client
  /// @param sink receives the events
  HttpClient(HttpClientSettings settings, EventSink sink);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// @brief Starts the thread.
  void Start();

  /// @brief Aborts all calls without further events and joins the thread.
  void Stop();

  /// @brief Queues an action, which takes effect after the next Flush.
  /// Thread-safe.
  void Execute(HttpCall call);
  void Execute(const HttpCancel& cancel);
  void Execute(const HttpPause& pause);

  /// @brief Wakes the thread to execute the queued actions.
  void Flush();

  /// @return the counters since the start
  HttpClientCounts Counts() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace limpetlink
