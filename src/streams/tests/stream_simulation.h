/// @file
/// @brief Deterministic simulation of entry hosts, engines and one caller in
/// virtual time. Equal seeds give equal runs.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "streams/tests/stream_history.h"

namespace limpetlink {

/// @brief Deliberate defect, used to test that StreamHistory detects it.
enum class StreamDefect {
  kNone,
  kSplice,  ///< a new generation continues where the lost one ended
  /// Each frame's offset is replaced with the expected one, which disables the
  /// check.
  kNoOffsetCheck,
  /// Each frame's generation ID is replaced with the expected one, which
  /// disables the check.
  kNoIdCheck,
  kEarlyNotRun,   ///< every incomplete end is reported as not_run
  kEndAsFinish,   ///< a response that ends early counts as finished
  kAlwaysCancel,  ///< a frozen host cancels its generation when it wakes
};

/// @brief Sizes and fault probabilities of a run.
struct StreamSimulationOptions {
  std::uint64_t seed = 1;
  StreamDefect defect = StreamDefect::kNone;
  OnLoss on_loss = OnLoss::kRestart;
  int engines = 3;
  std::uint64_t tokens = 12;   ///< maximum per generation
  double drop = 0.03;          ///< per frame
  double duplicate = 0.05;     ///< per frame
  double reorder = 0.05;       ///< per frame
  double foreign = 0.05;       ///< per frame: adds one of another generation
  double cut = 0.05;           ///< per frame: the connection breaks after it
  double stall = 0.03;         ///< per frame: no data arrives after it
  double engine_dies = 0.02;   ///< per frame
  double host_dies = 0.02;     ///< per frame; the caller resumes elsewhere
  double host_freezes = 0.02;  ///< per frame; the caller resumes elsewhere
  double refused = 0.15;       ///< per start
  double not_connected = 0.1;  ///< per call
  double no_worker = 0.2;      ///< per search for another worker
};

/// @brief Simulates one request with the faults of one seed.
class StreamSimulation {
 public:
  explicit StreamSimulation(StreamSimulationOptions options);

  /// @brief Runs the simulation until no task is pending.
  void Run();

  StreamHistory history;
  StreamCounts counts;          ///< sum over all hosts
  std::uint64_t handovers = 0;  ///< resumptions at another host

 private:
  using Task = std::function<void()>;
  struct Call {
    StreamAttempt attempt = 0;
    std::size_t host = 0;
    GenerationId generation;
    UpstreamId worker;
    bool open = true;
    bool silent = false;
  };
  struct Host {
    std::unique_ptr<Stream> stream;
    bool serves_caller = true;
    bool dead = false;
    Instant frozen_until;
    std::uint64_t relabel_offset = 0;    ///< added to offsets by kSplice
    GenerationId relabelled_generation;  ///< set by kSplice
  };

  void Schedule(Instant when, Task task);
  bool Chance(double chance);
  Duration RandomMilliseconds(std::uint64_t low, std::uint64_t high);
  void Step(std::size_t host, const StreamMessage& message);
  void Execute(std::size_t host, const StreamAction& action);
  void OpenCall(std::size_t host, StreamAttempt attempt, const GenerationId& id,
                const UpstreamId& worker, std::uint64_t offset, bool start);
  void ProduceToken(std::size_t call, std::uint64_t offset);
  void SendFrame(std::size_t call, const EngineFrame& frame, Duration after);
  void EndCall(std::size_t call, StreamCallEnd end, Duration after);
  void FindWorker(std::size_t host, const RequestNewWorker& request);
  void FailHost(std::size_t host);
  void ResumeOnNewHost();
  void ScheduleWakeup(std::size_t host);
  void AddHost();
  void Cancel(std::size_t host, const GenerationId& generation);
  void Deliver(std::size_t host, DeliverToken token);
  void End(std::size_t host, EndIncomplete end);
  EngineFrame Relabel(std::size_t host, EngineFrame frame) const;

  StreamSimulationOptions options;
  Random random;
  Instant now;
  std::vector<Host> hosts;
  std::vector<Call> calls;
  std::map<UpstreamId, bool> engine_dead;
  std::map<GenerationId, bool> cancelled;
  std::map<std::pair<Instant, std::uint64_t>, Task> tasks;
  std::uint64_t next_task = 0;
  std::uint64_t next_generation = 0;
  int host_failures = 0;
  UpstreamId last_worker;
};

}  // namespace limpetlink
