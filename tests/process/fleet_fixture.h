/// @file
/// @brief A small fleet of real processes on loopback for the process tests.
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

/// @brief Longest time that a condition is waited for before a test fails.
inline constexpr std::chrono::seconds kWaitTimeout{60};

/// @brief What came of one HTTP call.
struct TestResponse {
  HttpEnd end = HttpEnd::kComplete;
  int status = 0;
  Headers headers;
  std::string body;

  /// @return the body as JSON; an empty object when it is none
  nlohmann::json Json() const;
};

/// @brief One server-sent event.
struct ServerSentEvent {
  std::string id;
  std::string event;
  std::string data;
};

/// @brief Splits a stream's body into its events; comments are left out.
std::vector<ServerSentEvent> ParseEvents(const std::string& body);

/// @brief Joins the texts of a completion stream's events.
std::string JoinTexts(const std::vector<ServerSentEvent>& events);

/// @brief Makes HTTP calls and keeps what comes of each while it comes.
class TestCaller {
 public:
  TestCaller();

  /// @brief Begins a call.
  CallId StartCall(const std::string& method, const std::string& url,
                   const std::string& body = "", Headers headers = {});

  /// @brief Waits for a call's end.
  TestResponse WaitForEnd(CallId id);

  /// @brief Waits until the answer so far holds a text.
  bool WaitForBody(CallId id, const std::string& text);

  /// @brief Makes a whole call.
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

/// @brief Platform, three engines, a service and entry hosts; each its own
/// process.
class FleetFixture {
 public:
  static constexpr int kEngines = 3;

  FleetFixture();

  /// @brief Starts an entry host and waits until it is ready.
  /// @param number 1 or 2
  void StartEntry(int number);

  /// @brief Starts a placement host.
  /// @param number names it
  void StartPlacement(int number);

  /// @brief Starts a stand-in again on its old port.
  void StartPlatform();
  void StartEngine(int number);
  void StartService();

  /// @brief Puts the fleet document as it stands in `document`.
  void WriteFleet();

  /// @return URLs of the processes
  std::string EntryUrl(int number, const std::string& path) const;
  std::string EngineUrl(int number, const std::string& path) const;
  std::string ServiceUrl(const std::string& path) const;
  std::string PlatformUrl(const std::string& path) const;

  /// @brief Begins a streamed completion at an entry host.
  CallId StartStream(int entry, int tokens, Headers extra = {});

  /// @return headers with the organisation's key
  static Headers WithApiKey(Headers extra = {});

  /// @brief Waits until a condition holds; a test fails otherwise.
  static bool WaitUntil(const std::function<bool()>& condition);

  /// @return all tokens that any engine was told to make, by generation
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
