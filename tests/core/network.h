/// @file
/// @brief HTTP exchanges in virtual time between entry host cores and the fakes
/// behind them.
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

/// @brief One HTTP exchange.
using ExchangeId = NumberId<struct ExchangeTag>;

/// @brief Virtual time: runs what is due, in order of time and then of its
/// making.
class Timeline {
 public:
  /// @return the present
  Instant Now() const { return this->now; }

  /// @brief Runs something later.
  void Schedule(Duration delay, std::function<void()> task);

  /// @brief Runs the next thing that is due.
  /// @param limit nothing later than this is run
  /// @return false when there is none by then; the present is then the limit
  bool RunNext(Instant limit);

 private:
  Instant now{std::chrono::seconds(1)};
  std::uint64_t sequence = 0;
  std::map<std::pair<Instant, std::uint64_t>, std::function<void()>> tasks;
};

/// @brief A side of an exchange that the network tells about it.
struct FakeServer {
  std::function<void(ExchangeId, const HttpCall&)> on_request;
  std::function<void(ExchangeId)> on_closed;  ///< the caller's side went away
};

/// @brief What becomes of connections to a server.
enum class LinkState {
  kUp,
  kRefused,  ///< connections are refused at once
  kStalled,  ///< bytes wait on the way until the link is up again
};

/// @brief A moment of an exchange, numbered by the network; faults strike at
/// these.
struct TraceStep {
  std::uint64_t number = 0;
  std::string kind;  ///< "request", "head", "chunk", "done" or "caller"
  std::string server;
};

/// @brief Carries exchanges with seeded delays.
class Network {
 public:
  /// @brief Tells a host's core of an event.
  using EventSink = std::function<void(std::size_t host, const Event&)>;

  /// @param timeline virtual time
  /// @param seed of the delays
  /// @param deliver hands an event to a host
  Network(Timeline& timeline, std::uint64_t seed, EventSink event_sink);

  /// @brief Names a server; URLs are "http://NAME/...".
  void AddServer(const std::string& name, FakeServer server);

  /// @brief Sets what becomes of connections to a server. kRefused also cuts
  /// those that are open.
  void SetLink(const std::string& name, LinkState state);

  /// @brief Adds a delay to everything that a server answers.
  void SetDelay(const std::string& name, Duration delay);

  // ---- The calling side ----
  void StartCall(std::size_t host, const HttpCall& call);
  void Cancel(std::size_t host, CallId call);
  /// @brief A host died: its exchanges go away on the servers' side.
  void CloseHostExchanges(std::size_t host);

  // ---- The answering side ----
  void SendHead(ExchangeId id, int status, Headers headers);
  void SendChunk(ExchangeId id, std::string bytes);
  void SendEnd(ExchangeId id);
  /// @brief Breaks the connection.
  void Disconnect(ExchangeId id);
  /// @brief Answers at once with a whole body.
  void Respond(ExchangeId id, int status, Headers headers, std::string body);

  /// @brief Numbers a moment and tells the hook, before it has an effect.
  void RecordStep(const std::string& kind, const std::string& server);

  /// @brief Told of every numbered moment.
  std::function<void(const TraceStep&)> on_step;

 private:
  struct Exchange {
    std::size_t host = 0;
    HttpCall call;
    std::string server;
    bool paused = false;
    Instant last_delivery;  ///< keeps the order of what is on the way
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

/// @return the part of a URL from its path on
std::string PathAndQuery(const std::string& url);

}  // namespace limpetlink::testing
