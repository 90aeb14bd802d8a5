/// @file
/// @brief HTTP host shared by the fakes of external systems, built on the
/// adapters.
#pragma once

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "ports/ports.h"

namespace limpetlink {

/// @brief JSON value that preserves the insertion order of members.
using OrderedJson = nlohmann::ordered_json;

/// @brief A single-threaded HTTP host with timers, run by a CoreLoop.
class FakeHost {
 public:
  using Handler = std::function<void(const CallerRequest&)>;
  using Timer = std::function<void()>;

  /// @brief Called for each request.
  Handler on_request;

  /// @brief Called when a caller disconnects; may be empty.
  std::function<void(RequestId)> on_disconnect;

  Actions Start(Instant at);
  Actions Step(Instant at, const Event& event);
  Actions Tick(Instant at);
  Actions Drain(Instant at);
  Instant NextWakeup() const;
  bool Drained() const { return this->draining; }

  /// @return the time of the current step
  Instant Now() const { return this->now; }

  /// @brief Schedules a function to run after a delay.
  void RunAfter(Duration delay, Timer timer);

  /// @brief Sends a complete response.
  void Reply(RequestId id, int status, std::string body, Headers headers = {});

  /// @brief Sends a complete JSON response.
  void ReplyJson(RequestId id, int status, const OrderedJson& body,
                 Headers headers = {});

  /// @brief Starts a response with status 200 that streams server-sent events.
  void BeginStream(RequestId id);

  /// @brief Sends bytes of a stream.
  void Send(RequestId id, std::string bytes);

  /// @brief Ends a stream.
  void End(RequestId id);

  /// @brief Closes the caller's connection without completing the response.
  void Abort(RequestId id);

 private:
  Actions TakeActions();

  Instant now{};
  Actions actions;
  std::multimap<Instant, Timer> timers;
  bool draining = false;
};

/// @brief Parses a JSON object without throwing.
/// @return the object, or an empty object if the text is not a JSON object
OrderedJson ParseObject(std::string_view text);

/// @brief Returns a parameter of a URL query.
/// @return the percent-decoded value, or `default_value` if it is missing
std::string QueryValue(std::string_view query, std::string_view name,
                       std::string default_value);

/// @brief Returns an unsigned number from a URL query.
/// @return the number, or `default_value` if it is missing or not a number
std::uint64_t QueryNumber(std::string_view query, std::string_view name,
                          std::uint64_t default_value);

/// @brief Decodes percent escapes.
std::string PercentDecode(std::string_view text);

/// @brief Serves a fake until SIGTERM or SIGINT.
/// @param fake host with the handlers of the fake
/// @param listen "ip:port"
/// @return the exit code of the program
int RunFake(FakeHost* fake, const std::string& listen);

}  // namespace limpetlink
