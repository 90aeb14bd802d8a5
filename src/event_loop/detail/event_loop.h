/// @file
/// @brief Runs a core together with its network I/O on one thread.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "adapters/adapters.h"
#include "ports/ports.h"
#include "routes/routes.h"

namespace limpetlink {

/// @brief Settings of an EventLoop.
struct EventLoopSettings {
  std::string callers;     ///< "ip:port"; port 0 selects a free port
  std::string neighbours;  ///< "ip:port" for datagrams; empty disables them
  std::string operators;   ///< "ip:port"
  std::string relays{};  ///< "ip:port" for requests of other hosts; empty: none
  /// Bytes of all requests that are held; beyond them requests are rejected.
  std::size_t max_request_bytes = kDefaultRequestBytes;

  static constexpr std::size_t kDefaultRequestBytes = 64U << 20U;
};

/// @brief Functions that the loop calls in the surrounding process.
struct EventLoopHooks {
  std::function<HttpLimits()> http_limits;  ///< limits of callers' requests
  std::function<bool()> accepts_callers;    ///< if false, the loop closes the
                                            ///< listener and idle connections
  std::function<void()> reload;             ///< called on SIGHUP and every
                                            ///< kReloadInterval
  std::function<void(const LogLine&, Instant)> log;
  std::function<void(const SpanRecord&)> span;
};

/// @brief Returns the core's time from a clock that includes the time during
/// which the host is suspended.
Instant BootNow();

/// @brief Runs a core with its HTTP server, HTTP client, timers and signals on
/// the calling thread, using Boost.Asio and Boost.Beast.
///
/// It gives these guarantees in addition to those of HttpServer and HttpClient:
/// - Path, query and body are passed on byte for byte; the message framing is
///   regenerated.
/// - A request leaves the host at most once. Any method may use an idle
///   connection. Idle connections are read continuously, so that one that ends
///   or receives unexpected bytes is removed before a request is written to it.
/// - kNotConnected is reported only when no byte was written.
/// - A caller that closes its connection is detected while its request is in
///   progress.
/// - A response delimited by the end of its connection is complete only if the
///   connection was closed in order.
/// @note Example:
/// @code
/// EventLoop loop(settings, HooksOf(&host), hooks);
/// if (loop.Start().ok()) { loop.Run(); }
/// @endcode
class EventLoop {
 public:
  /// @brief Interval of the reload hook without a signal.
  static constexpr std::chrono::seconds kReloadInterval{5};

  EventLoop(EventLoopSettings settings, CoreHooks core, EventLoopHooks hooks);
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// @brief Listens at the configured addresses.
  /// @return an error when an address is invalid or cannot be bound
  absl::Status Start();

  /// @brief Runs until SIGTERM or SIGINT and the end of the core's graceful
  /// shutdown. Further SIGTERMs are ignored; a second SIGINT, as a person sends
  /// it, stops the loop at once.
  /// @return whether the graceful shutdown finished
  bool Run();

  /// @brief Starts the graceful shutdown, as SIGTERM does. Thread-safe.
  void RequestDrain();

  /// @return the port on which the loop listens for callers
  std::uint16_t CallersPort() const;
  /// @return the port on which the loop listens for operators
  std::uint16_t OperatorsPort() const;
  /// @return the port on which the loop listens for other hosts
  std::uint16_t RelaysPort() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace limpetlink
