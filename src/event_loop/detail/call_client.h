/// @file
/// @brief The calls of a core, over kept connections.
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

/// @brief Makes HTTP calls; one call at a time on a connection.
class CallClient {
 public:
  using Emit = std::function<void(Event)>;

  /// @param emit takes the events; never called from within Execute
  CallClient(asio::io_context* context, Emit emit);
  ~CallClient();

  void Execute(HttpCall call);
  void Execute(const HttpCancel& cancel);
  void Execute(const HttpPause& pause);
  void Execute(const HttpPreconnect& open);

  /// @brief Closes kept connections that are past their time.
  void Sweep(Instant now);

 private:
  friend class CallConnection;
  using Connection = std::shared_ptr<CallConnection>;

  void Emitted(Event event) { this->emit(std::move(event)); }
  void Keep(const Connection& connection);
  void Forget(CallConnection* connection);
  Connection TakeKept(const std::string& address);

  asio::io_context* context;
  Emit emit;
  std::unordered_map<std::uint64_t, Connection> by_call;
  std::map<std::string, std::list<Connection>> kept;  ///< newest last
};

}  // namespace limpetlink::event_loop
