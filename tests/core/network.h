/// @file
/// @brief Simulated network that connects entry host cores to fake servers in
/// virtual time.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "base/base.h"
#include "ports/ports.h"

namespace limpetlink::testing {

/// @brief Identifies one HTTP exchange.
using ExchangeId = NumberId<struct ExchangeTag>;

/// @brief Virtual clock with a task queue; tasks run in order of their due time
/// and, if equal, in the order they were scheduled.
class Timeline {
 public:
  /// @return the current virtual time
  Instant Now() const { return this->now; }

  /// @brief Schedules a task.
  /// @param delay virtual time until the task is due
  /// @param task task to run
  void Schedule(Duration delay, std::function<void()> task);

  /// @brief Advances the clock to the next task and runs it.
  /// @param limit latest due time of a task to run
  /// @return false if no task is due by the limit; the clock is then advanced
  /// to the limit
  bool RunNext(Instant limit);

 private:
  Instant now{std::chrono::seconds(1)};
  std::uint64_t sequence = 0;
  std::map<std::pair<Instant, std::uint64_t>, std::function<void()>> tasks;
};

/// @brief Callbacks of a fake server.
struct FakeServer {
  std::function<void(ExchangeId, const HttpCall&)> on_request;
  std::function<void(ExchangeId)> on_closed;  ///< the client closed
};

/// @brief State of the link to a server.
enum class LinkState {
  kUp,
  kRefused,  ///< connections are refused immediately
  kStalled,  ///< requests and responses are deferred until kUp
};

/// @brief One numbered step of an exchange, at which a fault can be injected.
struct TraceStep {
  std::uint64_t number = 0;
  std::string kind;  ///< "request", "head", "chunk", "done",
                     ///< "executed" or "caller"
  std::string server;
};

/// @brief Transfers requests and responses with seeded random delays.
class Network {
 public:
  /// @brief Delivers an event to a host's core.
  using EventSink = std::function<void(std::size_t host, const Event&)>;

  /// @param timeline virtual clock
  /// @param seed seed of the delays
  /// @param event_sink receives the events for the hosts
  Network(Timeline& timeline, std::uint64_t seed, EventSink event_sink);

  /// @brief Registers a server under the name used in "http://NAME/..." URLs.
  void AddServer(const std::string& name, FakeServer server);

  /// @brief Sets the state of the link to a server; kRefused also disconnects
  /// its open exchanges.
  void SetLink(const std::string& name, LinkState state);

  /// @brief Sets an additional delay for every response of a server.
  void SetDelay(const std::string& name, Duration delay);

  // ---- Client side ----
  void StartCall(std::size_t host, const HttpCall& call);
  void Cancel(std::size_t host, CallId call);
  /// @brief Closes all exchanges of a terminated host, without events to it.
  void CloseHostExchanges(std::size_t host);

  // ---- Server side ----
  void SendHead(ExchangeId id, int status, Headers headers);
  void SendChunk(ExchangeId id, std::string bytes);
  void SendEnd(ExchangeId id);
  /// @brief Breaks the connection; the host receives HttpEnd::kCut.
  void Disconnect(ExchangeId id);
  /// @brief Sends a complete response.
  void Respond(ExchangeId id, int status, Headers headers, std::string body);

  /// @brief Numbers a step and reports it to `on_step` before it takes effect.
  /// @param kind kind of the step, as in TraceStep
  /// @param server name of the server
  void RecordStep(const std::string& kind, const std::string& server);

  /// @brief Called for each step; may be empty.
  std::function<void(const TraceStep&)> on_step;

 private:
  struct Exchange {
    std::size_t host = 0;
    HttpCall call;
    std::string server;
    bool paused = false;
    Instant last_delivery;  ///< keeps the events of an exchange in order
  };
  struct Server {
    FakeServer fake;
    LinkState link = LinkState::kUp;
    Duration delay{0};
    std::vector<std::function<void()>> deferred;  ///< while the link is stalled
  };

  void DeliverRequest(ExchangeId id);
  void QueueEvent(ExchangeId id, const std::string& kind, Event event,
                  bool is_final);
  void DeliverEvent(ExchangeId id, std::string kind, Event event,
                    bool is_final);
  void EndExchange(ExchangeId id, HttpEnd end);
  void HandleTimeout(ExchangeId id);
  Duration RandomDelay();

  Timeline& timeline;
  Random random;
  EventSink event_sink;
  std::uint64_t last_exchange = 0;
  std::uint64_t steps = 0;
  std::map<std::string, Server> servers;
  std::map<ExchangeId, Exchange> exchanges;
};

/// @return the part of a URL between "http://" and the next '/'
std::string ServerName(const std::string& url);

/// @return the path and query of a URL
std::string PathAndQuery(const std::string& url);

}  // namespace limpetlink::testing
