/// @file
/// @brief HTTP client with a pool of idle connections.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "event_loop/detail/framing.h"

namespace limpetlink::event_loop {

class CallConnection;

/// @brief Makes HTTP calls, at most one at a time per connection.
class CallClient {
 public:
  using Emit = std::function<void(Event)>;

  /// @param emit receives the events; never called from within Execute
  CallClient(asio::io_context* context, Emit emit);
  ~CallClient();

  /// @brief Executes an action of the core.
  void Execute(HttpCall call);
  void Execute(const HttpCancel& cancel);
  void Execute(const HttpPause& pause);
  void Execute(const HttpPreconnect& open);

  /// @brief Closes idle connections whose keep-alive time has expired.
  void Sweep(Instant now);

 private:
  friend class CallConnection;
  using Connection = std::shared_ptr<CallConnection>;

  void EmitEvent(Event event) { this->emit(std::move(event)); }
  void AddIdle(const Connection& connection);
  void RemoveIdle(CallConnection* connection);
  Connection TakeIdle(const std::string& address);

  asio::io_context* context;
  Emit emit;
  std::unordered_map<std::uint64_t, Connection> by_call;
  /// Idle connections by address; the most recently used one is last.
  std::map<std::string, std::list<Connection>> idle;
};

}  // namespace limpetlink::event_loop
