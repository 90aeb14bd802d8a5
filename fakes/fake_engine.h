/// @file
/// @brief Stand-in for a model engine: streams, resumes and cancels
/// generations, honours
///        priorities, reports its load and takes orders.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "fakes/fake_host.h"

namespace limpetlink {

/// @brief How an engine is set up.
struct EngineSettings {
  std::string model = "tasting-model";
  std::string version = "1";
  std::uint64_t memory_tokens = 60'000;
  std::uint64_t max_running = 64;
  std::uint64_t step_ms = 20;  ///< time of one decode step
  std::uint64_t natural_tokens =
      64;                     ///< length of an answer whose prompt names none
  bool check_fencing = true;  ///< refuses orders with an old fencing number
};

/// @brief What the engine does wrong now.
struct EngineFaults {
  bool stall = false;     ///< steps make no tokens
  bool refuse = false;    ///< new work gets 503 and not_run
  bool draining = false;  ///< reported, and new work gets 503 and not_run
  std::uint64_t die_after =
      0;  ///< process exits after this many more tokens; 0: never
  std::uint64_t cut_after =
      0;  ///< all streams are cut after this many more tokens; 0: never
  std::uint64_t order_ms = 50;  ///< time that an order takes
};

/// @brief Serves the engine's protocol (docs/fakes.md).
class FakeEngine {
 public:
  /// @param host carries requests and answers; outlives the engine
  /// @param settings its model and size
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
    std::uint64_t wanted_tokens = 0;
    std::string finish_reason;
    std::int64_t priority = 0;
    std::uint64_t arrival = 0;
    std::uint64_t produced = 0;
    State state = State::kWaiting;
    std::vector<Reader> readers;
  };

  void Handle(const CallerRequest& request);
  void Control(const CallerRequest& request);
  void SetFaults(const OrderedJson& wanted);
  void Begin(const CallerRequest& request);
  void HandleGeneration(const CallerRequest& request, const std::string& rest);
  void Resume(const CallerRequest& request, Generation* generation);
  void SetPriority(const CallerRequest& request, Generation* generation);
  void Cancel(Generation* generation);
  void RemoveReader(RequestId id);
  void ReportLoad(RequestId id);
  void ReportRecord(RequestId id);
  void TakeOrder(const CallerRequest& request);
  void CarryOutOrder(const OrderedJson& wanted);
  void ReportCacheEvents(const CallerRequest& request);
  void NoteCacheEvent(std::string_view prompt);

  void Step();
  void ScheduleStep();
  void Admit();
  void PreemptUntilFitting();
  void MakeToken(Generation* generation);
  void Deliver(Generation* generation);
  void CountToken();
  void CutReaders();
  std::vector<Generation*> In(State state);
  std::uint64_t UsedTokens();

  FakeHost* host;
  EngineSettings settings;
  EngineFaults faults;
  std::map<std::string, Generation> generations;
  std::uint64_t arrivals = 0;
  std::uint64_t preemptions = 0;
  bool step_scheduled = false;
  std::uint64_t fence = 0;
  std::string order_id;
  std::string order_state = "none";
  std::string role = "mixed";
  OrderedJson adapters = OrderedJson::array();
  OrderedJson orders = OrderedJson::array();
  OrderedJson started = OrderedJson::array();
  std::deque<OrderedJson> cache_events;
  std::uint64_t cache_sequence = 0;
};

}  // namespace limpetlink
