/// @file
/// @brief Runs a small fleet of processes on the loopback interface.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "adapters/adapters.h"
#include "tests/process/child_process.h"

namespace limpetlink::testing {

/// @brief Maximum time to wait for a condition before a test fails.
inline constexpr std::chrono::seconds kWaitTimeout{60};

/// @brief Response to an HTTP call.
struct TestResponse {
  HttpEnd end = HttpEnd::kComplete;
  int status = 0;
  Headers headers;
  std::string body;

  /// @return the body as JSON; an empty object if it is not a JSON object
  nlohmann::json Json() const;
};

/// @brief One server-sent event.
struct ServerSentEvent {
  std::string id;
  std::string event;
  std::string data;
};

/// @brief Parses the server-sent events of a body; comments are skipped.
std::vector<ServerSentEvent> ParseEvents(const std::string& body);

/// @brief Concatenates the texts of a completion stream's events.
std::string JoinTexts(const std::vector<ServerSentEvent>& events);

/// @brief Sends HTTP calls and collects their responses as they arrive.
class TestCaller {
 public:
  TestCaller();

  /// @brief Starts a call without waiting for its response.
  CallId StartCall(const std::string& method, const std::string& url,
                   const std::string& body = "", Headers headers = {});

  /// @brief Waits until a call has ended; fails the test after kWaitTimeout.
  TestResponse WaitForEnd(CallId id);

  /// @brief Waits until the received part of the body contains a text.
  /// @return false after kWaitTimeout
  bool WaitForBody(CallId id, const std::string& text);

  /// @brief Sends a call and waits until it has ended.
  TestResponse Call(const std::string& method, const std::string& url,
                    const std::string& body = "", Headers headers = {});

  /// @brief Cancels a call.
  void Cancel(CallId id);

 private:
  struct Progress {
    TestResponse response;
    bool ended = false;
  };

  void HandleEvent(const Event& event);

  std::mutex mutex;
  std::condition_variable changed;
  std::map<CallId, Progress> calls;
  std::uint64_t last_id = 0;
  HttpClient client;
};

/// @brief Fleet of a fake platform, three fake engines, a fake service, entry
/// hosts and placement hosts, each in its own process.
class FleetFixture {
 public:
  static constexpr int kEngines = 3;

  FleetFixture();

  /// @brief Starts an entry host and waits until it is ready.
  /// @param number 1 or 2
  void StartEntry(int number);

  /// @brief Starts a placement host.
  /// @param number number in the host id "placement-NUMBER"
  void StartPlacement(int number);

  /// @brief Starts a fake, or restarts it on its previous port.
  void StartPlatform();
  void StartEngine(int number);
  void StartService();

  /// @brief Writes the fleet document in `document` to the platform.
  void WriteFleet();

  /// @return URL of a path at a process
  std::string EntryUrl(int number, const std::string& path) const;
  std::string EngineUrl(int number, const std::string& path) const;
  std::string ServiceUrl(const std::string& path) const;
  std::string PlatformUrl(const std::string& path) const;

  /// @brief Starts a streamed completion at an entry host.
  CallId StartStream(int entry, int tokens, Headers extra = {});

  /// @return the headers with the organisation's API key added
  static Headers WithApiKey(Headers extra = {});

  /// @brief Waits until a condition holds.
  /// @return false if it does not hold within kWaitTimeout
  static bool WaitUntil(const std::function<bool()>& condition);

  /// @return the records of all engines by generation id
  std::map<std::string, nlohmann::json> CollectGenerations();

  TestCaller caller;
  nlohmann::json document;
  std::unique_ptr<ChildProcess> platform;
  std::map<int, std::unique_ptr<ChildProcess>> engines;
  std::unique_ptr<ChildProcess> service;
  std::map<int, std::unique_ptr<ChildProcess>> entries;
  std::map<int, std::unique_ptr<ChildProcess>> placements;

 private:
  std::unique_ptr<ChildProcess> Start(const std::string& program,
                                      const std::string& name,
                                      std::vector<std::string> arguments) const;
  void WaitForOk(const std::string& url);
  std::uint16_t PortOf(const std::string& name) const;

  mutable std::map<std::string, std::uint16_t> ports;
};

}  // namespace limpetlink::testing
