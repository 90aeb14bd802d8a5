/// @file
/// @brief Entry host cores, their callers and the fakes behind them, joined in
/// virtual time.
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

/// @brief What a caller saw of one request.
struct CallerLog {
  std::size_t host = 0;
  CallerRequest request;
  Instant sent;
  Instant deadline;
  int status = 0;  ///< 0: no answer began
  Headers headers;
  std::string body;
  bool ended = false;    ///< the answer came to its end
  bool aborted = false;  ///< the connection broke
  Instant ended_at;
};

/// @brief How large a world is.
struct FleetSimulationOptions {
  std::uint64_t seed = 1;
  std::size_t hosts = 2;
  std::size_t engines = 2;
  std::size_t services = 2;
  std::uint64_t tokens = 12;  ///< length of every generation
  std::string on_loss = "restart";
};

/// @brief A small fleet in virtual time.
class FleetSimulation {
 public:
  explicit FleetSimulation(FleetSimulationOptions options);
  ~FleetSimulation();
  FleetSimulation(const FleetSimulation&) = delete;
  FleetSimulation& operator=(const FleetSimulation&) = delete;

  /// @brief Runs until something holds.
  /// @return false when it does not hold within the limit
  bool RunUntil(const std::function<bool()>& holds, Duration limit);

  /// @brief Runs for a time.
  void RunFor(Duration time);

  /// @brief Runs until every living host serves.
  bool RunUntilReady();

  // ---- Callers ----

  /// @brief Sends a request to a host.
  /// @return the caller's number
  std::size_t Send(std::size_t host, CallerRequest request, Duration wait);

  /// @brief The caller closes its connection.
  void Disconnect(std::size_t caller);

  /// @return whether the caller's exchange is over, one way or the other
  bool IsFinished(std::size_t caller) const;

  // ---- Faults of hosts ----
  void KillHost(std::size_t host);
  void StartHost(std::size_t host);
  void FreezeHost(std::size_t host);
  void ThawHost(std::size_t host);
  void DrainHost(std::size_t host);
  bool IsHostRunning(std::size_t host) const;

  /// @brief Applies a fleet document that differs from the last by its change
  /// id.
  /// @return the version that it has at the platform
  std::uint64_t ApplyDocument();

  /// @brief Asks a host for one of its pages, outside of the callers' record.
  std::string FetchPage(std::size_t host, const std::string& path);

  /// @return the fleet version that a host has in force
  std::uint64_t ActiveFleetVersion(std::size_t host);

  Timeline timeline;
  Network network;
  PlatformFake platform;
  std::vector<std::unique_ptr<EngineFake>> engines;
  std::vector<std::unique_ptr<ServiceFake>> services;
  std::vector<Execution> executions;
  std::vector<CallerLog> callers;
  std::uint64_t peer_frames = 0;  ///< sent between hosts
  std::uint64_t peer_bytes = 0;
  std::map<PeerKind, std::uint64_t> peer_bytes_by_kind;
  std::uint64_t platform_calls = 0;
  std::uint64_t report_calls = 0;  ///< for load reports
  std::vector<std::string>
      violations;  ///< found while running, as a version that went down

 private:
  struct Host {
    std::unique_ptr<EntryHost> core;
    std::string id;
    std::uint64_t incarnation = 0;
    std::uint64_t tick = 0;  ///< number of the tick that counts
    bool frozen = false;
    std::vector<std::function<void()>> deferred;
    std::uint64_t next_request = 0;
    std::map<std::uint64_t, std::size_t> callers;  ///< by request id
    std::uint64_t version = 0;  ///< highest document version seen in force
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
  std::string page;  ///< body of the answer to the last Page
};

}  // namespace limpetlink::testing
