/// @file
/// @brief Simulates a small fleet in virtual time: entry host cores, their
/// callers and the fake servers behind them.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "entry/entry.h"
#include "peers/peers.h"
#include "tests/core/engine_fake.h"
#include "tests/core/network.h"
#include "tests/core/platform_fake.h"
#include "tests/core/service_fake.h"

namespace limpetlink::testing {

/// @brief Request of a caller and the response it received.
struct CallerLog {
  std::size_t host = 0;
  CallerRequest request;
  Instant sent;
  Instant deadline;
  int status = 0;  ///< 0: no response received
  Headers headers;
  std::string body;
  bool ended = false;    ///< the response ended
  bool aborted = false;  ///< the connection was broken
  Instant ended_at;
};

/// @brief Size and seed of a simulated fleet.
struct FleetSimulationOptions {
  std::uint64_t seed = 1;
  std::size_t hosts = 2;
  std::size_t engines = 2;
  std::size_t services = 2;
  std::uint64_t tokens = 12;  ///< number of tokens of every generation
  std::string on_loss = "restart";
};

/// @brief Simulates a small fleet in virtual time.
class FleetSimulation {
 public:
  explicit FleetSimulation(FleetSimulationOptions options);
  ~FleetSimulation();
  FleetSimulation(const FleetSimulation&) = delete;
  FleetSimulation& operator=(const FleetSimulation&) = delete;

  /// @brief Runs until a condition holds.
  /// @param holds condition, evaluated after each task
  /// @param limit longest virtual time to run
  /// @return whether the condition held within the limit
  bool RunUntil(const std::function<bool()>& holds, Duration limit);

  /// @brief Runs for a span of virtual time.
  void RunFor(Duration time);

  /// @brief Runs until every running host is ready.
  /// @return false if that takes more than 60 s
  bool RunUntilReady();

  // ---- Callers ----

  /// @brief Sends a request to a host.
  /// @param host index of the host
  /// @param request request without its id and its Authorization and Prefer
  /// headers
  /// @param wait time until the caller's deadline
  /// @return index of the caller in `callers`
  std::size_t Send(std::size_t host, CallerRequest request, Duration wait);

  /// @brief Closes a caller's connection.
  void Disconnect(std::size_t caller);

  /// @return whether the caller's request has ended or was aborted
  bool IsFinished(std::size_t caller) const;

  // ---- Host faults ----
  void KillHost(std::size_t host);
  void StartHost(std::size_t host);
  void FreezeHost(std::size_t host);
  void ThawHost(std::size_t host);
  void DrainHost(std::size_t host);
  bool IsHostRunning(std::size_t host) const;

  /// @brief Writes a fleet document that differs from the last one only in its
  /// change id.
  /// @return its version at the platform
  std::uint64_t ApplyDocument();

  /// @brief Requests an operator page of a host; the request is not recorded in
  /// `callers`.
  /// @return the body of the response
  std::string FetchPage(std::size_t host, const std::string& path);

  /// @return the version of the fleet document that a host has applied
  std::uint64_t ActiveFleetVersion(std::size_t host);

  Timeline timeline;
  Network network;
  PlatformFake platform;
  std::vector<std::unique_ptr<EngineFake>> engines;
  std::vector<std::unique_ptr<ServiceFake>> services;
  std::vector<Execution> executions;
  std::vector<CallerLog> callers;
  std::uint64_t peer_frames = 0;  ///< frames sent between hosts
  std::uint64_t peer_bytes = 0;
  std::map<PeerKind, std::uint64_t> peer_bytes_by_kind;
  std::uint64_t platform_calls = 0;
  std::uint64_t report_calls = 0;  ///< requests for load reports
  std::vector<std::string>
      violations;  ///< found during the run, e.g. a version that decreased

 private:
  struct Host {
    std::unique_ptr<EntryHost> core;
    std::string id;
    std::uint64_t incarnation = 0;
    std::uint64_t tick =
        0;  ///< number of the current tick; older ones are ignored
    bool frozen = false;
    std::vector<std::function<void()>> deferred;
    std::uint64_t next_request = 0;
    std::map<std::uint64_t, std::size_t> callers;  ///< by request id
    std::uint64_t version = 0;  ///< version of the last applied document
  };

  void Deliver(std::size_t host, const Event& event);
  void RunHost(std::size_t host,
               const std::function<Actions(EntryHost&, Instant)>& step);
  void Execute(std::size_t host, const Actions& actions);
  void Execute(std::size_t host, const Action& action);
  void ScheduleTick(std::size_t host);
  void SendFrame(std::size_t host, const PeerSend& send);
  std::string DocumentText(std::uint64_t change) const;

  FleetSimulationOptions options;
  Random random;
  std::vector<Host> hosts;
  std::uint64_t changes = 0;
  std::string page;  ///< body of the response to the last FetchPage
};

}  // namespace limpetlink::testing
