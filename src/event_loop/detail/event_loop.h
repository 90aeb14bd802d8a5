/// @file
/// @brief Runs a core, its callers' connections and its calls on one thread.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "adapters/adapters.h"
#include "ports/ports.h"
#include "routes/routes.h"

namespace limpetlink {

/// @brief How an EventLoop is set up.
struct EventLoopSettings {
  std::string callers;     ///< "ip:port"; port 0 takes a free one
  std::string neighbours;  ///< "ip:port" for datagrams; empty: none
  std::string operators;   ///< "ip:port"; its requests bear `for_operators`
};

/// @brief What the loop asks of the process around it.
struct EventLoopHooks {
  std::function<HttpLimits()> http_limits;  ///< for callers' requests
  std::function<bool()> accepts_callers;    ///< false closes the listener and
                                            ///< idle connections
  std::function<void()> reload;             ///< SIGHUP, and every kReloadCheck
  std::function<void(const LogLine&, Instant)> log;
  std::function<void(const SpanRecord&)> span;
};

/// @brief The core's time on a clock that counts suspension of the host.
Instant BootNow();

/// @brief HTTP server, HTTP client, timers and signals of one core, over
/// Boost.Asio and Boost.Beast, all on the calling thread.
///
/// It keeps these promises beside those of HttpServer and HttpClient:
/// - Path, query and body go on byte for byte; framing is made anew.
/// - A request leaves the host at most once. Every method may use a kept
///   connection; such a connection is read all the while, so that its end or
///   stray bytes take it out of use before a request is written to it.
/// - kNotConnected is reported only when no byte was written.
/// - A caller that closes is noticed while its request is in progress.
/// - An answer that ends with its connection is whole only when the
///   connection ended in order.
/// @note Example:
/// @code
/// EventLoop loop(settings, HooksOf(&host), hooks);
/// if (loop.Start().ok()) { loop.Run(); }
/// @endcode
class EventLoop {
 public:
  /// @brief How often settings are looked at without a signal.
  static constexpr std::chrono::seconds kReloadCheck{5};

  EventLoop(EventLoopSettings settings, CoreHooks core, EventLoopHooks hooks);
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// @brief Listens at both addresses.
  absl::Status Start();

  /// @brief Serves until SIGTERM or SIGINT and the end of the core's shutdown.
  /// A second signal ends it at once.
  /// @return whether it ended in order
  bool Run();

  /// @brief Begins the graceful shutdown, as SIGTERM does. Any thread.
  void RequestDrain();

  /// @return the port that callers connect to
  std::uint16_t CallersPort() const;
  /// @return the port that operators connect to
  std::uint16_t OperatorsPort() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace limpetlink
