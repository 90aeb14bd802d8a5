/// @file
/// @brief Virtual-time simulation of several log writers, an object API with
/// faults, callers and an upstream. Equal seeds give equal runs.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "idempotency/idempotency.h"
#include "idempotency/tests/order_history.h"

namespace limpetlink {

/// @brief A rule of the system defect on purpose.
enum class DeliberateDefect {
  kNone,
  kRetryAfterSend,         ///< a cut attempt_record is sent again
  kDispatchBeforeDurable,  ///< the attempt_record goes out with its claim
  kEarlyNotRun,            ///< not_run is told while the claim stays open
  kLostAsCreated,          ///< a lost answer counts as a success
  kExistsAsCreated,        ///< a collision counts as a success
  kNoFloorCheck,           ///< the check after a create always passes
  kAlwaysFirstAttempt,     ///< every attempt is declared the first
};

/// @brief One fault put in at one step.
enum class InjectedFault {
  kNone,
  kCrash,      ///< the host that sends the orders restarts
  kFreeze,     ///< that host is frozen for 5 s
  kOutage,     ///< the platform goes unavailable for 5 s
  kLostAfter,  ///< the next operation takes effect, its answer is lost
  kLostBefore  ///< the next operation's request is lost
};

/// @brief Chances and sizes of a run.
struct SimulationOptions {
  std::uint64_t seed = 1;
  DeliberateDefect defect = DeliberateDefect::kNone;
  int hosts = 3;
  int keys = 4;
  int attempts = 16;
  double lost = 0.06;         ///< of operations: no answer, effect or none
  double unavailable = 0.05;  ///< of operations: refused without effect
  double late = 0.03;         ///< of operations: effect long after
  double crash = 0.05;        ///< for each attempt: some host restarts
  double freeze = 0.08;       ///< for each attempt: some host is frozen
  double outage = 0.03;  ///< for each attempt: the platform goes unavailable
  InjectedFault fault = InjectedFault::kNone;
  std::uint64_t fault_at_event = 0;  ///< counted over the run
};

/// @brief The simulation; Run plays one seed.
class LogSimulation {
 public:
  explicit LogSimulation(SimulationOptions options);

  /// @brief Plays the whole run delay every wait has ended.
  void Run();

  OrderHistory history;
  LogCounts counts;                            ///< over all hosts and restarts
  std::map<std::string, std::string> objects;  ///< of the platform
  std::uint64_t events =
      0;  ///< steps of hosts but for ticks, delay faults_over

 private:
  struct Host {
    std::unique_ptr<IdempotencyLog> log;
    int incarnation = 0;  ///< counts restarts
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
