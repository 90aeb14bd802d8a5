/// @file
/// @brief What the stand-ins for outside systems share: a small HTTP host on
/// the adapters.
#pragma once

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "ports/ports.h"

namespace limpetlink {

/// @brief JSON whose members keep their order.
using OrderedJson = nlohmann::ordered_json;

/// @brief A single-threaded HTTP host with timers; driven by a CoreLoop.
class FakeHost {
 public:
  using Handler = std::function<void(const CallerRequest&)>;
  using Timer = std::function<void()>;

  /// @brief Called for each request.
  Handler on_request;

  /// @brief Called when a caller left.
  std::function<void(RequestId)> on_gone;

  Actions Start(Instant at);
  Actions Step(Instant at, const Event& event);
  Actions Tick(Instant at);
  Actions Drain(Instant at);
  Instant NextWakeup() const;
  bool Drained() const { return this->draining; }

  /// @return the time of the current step
  Instant Now() const { return this->now; }

  /// @brief Runs a function later.
  void After(Duration delay, Timer timer);

  /// @brief Answers with a whole body.
  void Reply(RequestId id, int status, std::string body, Headers headers = {});

  /// @brief Answers with JSON.
  void ReplyJson(RequestId id, int status, const OrderedJson& body,
                 Headers headers = {});

  /// @brief Starts a stream of server-sent events.
  void BeginStream(RequestId id);

  /// @brief Sends bytes of a stream.
  void Send(RequestId id, std::string bytes);

  /// @brief Ends a stream.
  void End(RequestId id);

  /// @brief Cuts the caller's connection.
  void Cut(RequestId id);

 private:
  Actions Taken();

  Instant now{};
  Actions actions;
  std::multimap<Instant, Timer> timers;
  bool draining = false;
};

/// @brief Reads JSON without throwing.
/// @return the value, or an empty object for text that is no JSON object
OrderedJson ParseObject(std::string_view text);

/// @brief Finds a parameter of a query.
/// @return its text with percent escapes decoded, or `otherwise`
std::string QueryValue(std::string_view query, std::string_view name,
                       std::string otherwise);

/// @brief Finds a whole number in a query.
std::uint64_t QueryNumber(std::string_view query, std::string_view name,
                          std::uint64_t otherwise);

/// @brief Decodes percent escapes.
std::string PercentDecode(std::string_view text);

/// @brief Serves a fake until SIGTERM or SIGINT.
/// @param fake its behaviour
/// @param listen "ip:port"
/// @return the exit code
int RunFake(FakeHost* fake, const std::string& listen);

}  // namespace limpetlink
