/// @file
/// @brief The host's own HTTP calls, over one libcurl multi handle in one
/// thread.
#pragma once

#include <cstdint>
#include <memory>

#include "adapters/detail/address.h"

namespace limpetlink {

/// @brief How an HttpClient is set up.
struct HttpClientSettings {
  unsigned max_idle_connections = 64;  ///< kept open for later calls
};

/// @brief Counts of an HttpClient since its start.
struct HttpClientCounts {
  std::uint64_t calls = 0;
  std::uint64_t open = 0;  ///< calls without an end now
  std::uint64_t complete = 0;
  std::uint64_t not_connected = 0;
  std::uint64_t cut = 0;
  std::uint64_t timeout = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t resends_blocked =
      0;  ///< second sends by the library that were stopped
};

/// @brief Carries HTTP calls out and reports HttpHead, HttpChunk and one
/// HttpDone for each.
///
/// A request leaves the host at most once: the library tells before each send,
/// and a second send is refused (kCut). kNotConnected is reported only when the
/// library never came to a send. Calls other than GET and HEAD open a
/// connection of their own, so that an idle connection which its server is
/// closing never leaves their outcome unknown.
/// @note Example:
/// @code
/// HttpClient client(HttpClientSettings{}, sink);
/// client.Start();
/// client.Execute(HttpCall{CallId{1}, "GET", "http://127.0.0.1:8000/v1/hosts",
/// {},
/// {}}); client.Flush();
/// @endcode
class HttpClient {
 public:
  /// @param settings bounds
  /// @param sink takes the events
  HttpClient(HttpClientSettings settings, EventSink sink);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// @brief Starts the thread.
  void Start();

  /// @brief Cuts all calls without further events and ends the thread.
  void Stop();

  /// @brief Queues an order; it is carried out after the next Flush. Any
  /// thread.
  void Execute(HttpCall call);
  void Execute(const HttpCancel& cancel);
  void Execute(const HttpPause& pause);

  /// @brief Wakes the thread for what was queued.
  void Flush();

  /// @return counts since the start
  HttpClientCounts Counts() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace limpetlink
