/// @file
/// @brief Virtual-time simulation of several log writers, an object API with
/// faults, callers and an upstream. The same seed gives the same run.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "idempotency/idempotency.h"
#include "idempotency/tests/order_history.h"

namespace limpetlink {

/// @brief A deliberate defect; the history checker must detect each of them.
enum class DeliberateDefect {
  kNone,
  kRetryAfterSend,           ///< resends an order whose connection was cut
  kDispatchBeforePersisted,  ///< dispatches an order together with its claim
  kEarlyNotRun,              ///< reports not_run while the claim is still open
  kLostAsCreated,            ///< treats a lost response as success
  kExistsAsCreated,          ///< treats a collision as success
  /// Listings omit the floor objects, so the check after creating a segment
  /// always passes.
  kNoFloorCheck,
  kAlwaysFirstAttempt,  ///< declares each attempt the first one
};

/// @brief A fault injected at one step.
enum class InjectedFault {
  kNone,
  kCrash,      ///< restarts the host that sends the orders
  kFreeze,     ///< freezes that host for 5 s
  kOutage,     ///< makes the platform unavailable for 5 s
  kLostAfter,  ///< the next operation takes effect, its response is lost
  kLostBefore  ///< the next operation's request is lost
};

/// @brief Probabilities and sizes of a run.
struct SimulationOptions {
  std::uint64_t seed = 1;
  DeliberateDefect defect = DeliberateDefect::kNone;
  int hosts = 3;
  int keys = 4;
  int attempts = 16;
  double lost = 0.06;  ///< per operation: no response, with or without effect
  double unavailable = 0.05;  ///< per operation: refused without effect
  double late = 0.03;         ///< per operation: takes effect much later
  double crash = 0.05;        ///< per attempt: one host restarts
  double freeze = 0.08;       ///< per attempt: one host is frozen
  double outage = 0.03;       ///< per attempt: platform outage
  InjectedFault fault = InjectedFault::kNone;
  std::uint64_t fault_at_event = 0;  ///< number of the step over the run
};

/// @brief A simulation of one seed.
class LogSimulation {
 public:
  explicit LogSimulation(SimulationOptions options);

  /// @brief Runs the simulation until no request waits any more.
  void Run();

  OrderHistory history;
  LogCounts counts;  ///< over all hosts and incarnations
  /// Objects stored by the simulated platform, by name.
  std::map<std::string, std::string> objects;
  /// Steps of all hosts, without ticks, until the faults are over.
  std::uint64_t events = 0;

 private:
  struct Host {
    std::unique_ptr<IdempotencyLog> log;
    int incarnation = 0;  ///< number of restarts
    Instant frozen_until;
    std::map<RequestId, std::size_t> attempts;
  };
  using Task = std::function<void()>;

  void Schedule(Instant when, Task task);
  void RunOnHost(std::size_t host, Task task);
  void Restart(std::size_t host);
  void SendAttempt(std::size_t host);
  void Send(std::size_t host, OrderAttempt attempt);
  void SendFinalAttempts();
  void Step(std::size_t host, const LogMessage& message);
  void ExecuteAction(std::size_t host, const LogAction& action);
  void RunOperation(std::size_t host, LogOperationId operation,
                    std::function<LogOperationResult()> effect, bool writes);
  void Reply(std::size_t host, LogOperationResult result, Duration after);
  void Dispatch(std::size_t host, RequestId request);
  void SendUpstream(std::size_t host, RequestId request, std::size_t attempt);
  void Respond(std::size_t attempt, ResponseKind kind,
               const std::string& outcome,
               const std::optional<Problem>& problem);
  void TickLoop(std::size_t host, int incarnation);
  void InjectRandomFaults();
  void InjectFault();
  bool Chance(double chance);
  Duration RandomMillis(std::uint64_t low, std::uint64_t high);

  SimulationOptions options;
  Random random;
  Instant now;
  Instant outage_until;
  bool faults_over = false;
  InjectedFault next_operation = InjectedFault::kNone;
  std::vector<Host> hosts;
  std::map<std::pair<Instant, std::uint64_t>, Task> tasks;
  std::uint64_t next_task = 0;
  std::uint64_t next_request = 0;
};

}  // namespace limpetlink
