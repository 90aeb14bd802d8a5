/// @file
/// @brief Fake of a model engine: streams, resumes and cancels generations,
/// schedules them by priority, reports its load and executes commands.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "fakes/fake_host.h"

namespace limpetlink {

/// @brief Settings of a fake engine.
struct EngineSettings {
  std::string model = "tasting-model";
  std::string version = "1";
  std::uint64_t memory_tokens = 60'000;
  std::uint64_t max_running = 64;
  std::uint64_t step_ms = 20;  ///< duration of a decode step, in milliseconds
  /// Output length if the prompt does not set one.
  std::uint64_t natural_tokens = 64;
  /// Rejects commands with an outdated fencing number.
  bool check_fencing = true;
};

/// @brief Faults injected into the engine.
struct EngineFaults {
  bool stall = false;           ///< steps produce no tokens
  bool refuse = false;          ///< rejects new requests with 503 and not_run
  bool draining = false;        ///< reported; new requests get 503 and not_run
  std::uint64_t die_after = 0;  ///< tokens until the process exits; 0: never
  std::uint64_t cut_after =
      0;  ///< tokens until all streams are aborted; 0: never
  std::uint64_t command_ms = 50;  ///< duration of a command, in milliseconds
};

/// @brief Implements the engine protocol described in docs/fakes.md.
class FakeEngine {
 public:
  /// @param host HTTP host, which must outlive the engine
  /// @param settings model, version and capacity of the engine
  FakeEngine(FakeHost* host, EngineSettings settings);

 private:
  enum class State { kWaiting, kRunning, kDone, kCancelled };
  struct Reader {
    RequestId request;
    std::uint64_t next = 0;  ///< offset of the next token to send
  };
  struct Generation {
    std::string id;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t target_tokens = 0;
    std::string finish_reason;
    std::int64_t priority = 0;
    std::uint64_t arrival = 0;
    std::uint64_t produced = 0;
    State state = State::kWaiting;
    std::vector<Reader> readers;
  };

  void Handle(const CallerRequest& request);
  void Control(const CallerRequest& request);
  void SetFaults(const OrderedJson& update);
  void StartGeneration(const CallerRequest& request);
  void HandleGeneration(const CallerRequest& request, const std::string& rest);
  void Resume(const CallerRequest& request, Generation* generation);
  void SetPriority(const CallerRequest& request, Generation* generation);
  void Cancel(Generation* generation);
  void RemoveReader(RequestId id);
  void ReportLoad(RequestId id);
  void ReportRecord(RequestId id);
  void HandleCommand(const CallerRequest& request);
  void ExecuteCommand(const OrderedJson& desired);
  void ReportCacheEvents(const CallerRequest& request);
  void RecordCacheEvent(std::string_view prompt);

  void Step();
  void ScheduleStep();
  void Admit();
  void PreemptUntilFitting();
  void ProduceToken(Generation* generation);
  void SendTokens(Generation* generation);
  void ApplyTokenFaults();
  void AbortStreams();
  std::vector<Generation*> GenerationsIn(State state);
  std::uint64_t UsedTokens();

  FakeHost* host;
  EngineSettings settings;
  EngineFaults faults;
  std::map<std::string, Generation> generations;
  std::uint64_t arrivals = 0;
  std::uint64_t preemptions = 0;
  bool step_scheduled = false;
  std::uint64_t fence = 0;
  std::string command_id;
  std::string command_state = "none";
  std::string role = "mixed";
  OrderedJson adapters = OrderedJson::array();
  OrderedJson commands = OrderedJson::array();
  OrderedJson started = OrderedJson::array();
  std::deque<OrderedJson> cache_events;
  std::uint64_t cache_sequence = 0;
};

}  // namespace limpetlink
