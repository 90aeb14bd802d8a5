/// @file
/// @brief Virtual-time world of entry hosts, engines and one caller. Equal
/// seeds give equal runs.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "streams/tests/stream_history.h"

namespace limpetlink {

/// @brief A rule of the system broken on purpose.
enum class BrokenStreamRule {
  kNone,
  kSplice,         ///< a new generation goes on where the lost one ended
  kNoOffsetCheck,  ///< frames of another offset are relabelled as awaited
  kNoIdCheck,      ///< frames of another generation are relabelled as awaited
  kEarlyNotRun,    ///< a refusal is passed on as it came, with not_run
  kEndIsFinish,    ///< an answer that ends early counts as finished
  kAlwaysCancel,   ///< a host that was frozen cancels what it served
};

/// @brief Chances and sizes of a run.
struct StreamWorldOptions {
  std::uint64_t seed = 1;
  BrokenStreamRule broken = BrokenStreamRule::kNone;
  OnLoss on_loss = OnLoss::kRestart;
  int engines = 3;
  std::uint64_t tokens = 12;  ///< most of a generation
  double drop = 0.03;         ///< of frames
  double duplicate = 0.05;    ///< of frames
  double reorder = 0.05;      ///< of frames
  double crossed = 0.05;  ///< of frames: one of another generation comes too
  double cut = 0.05;      ///< of frames: the connection breaks after it
  double stall = 0.03;    ///< of frames: the link goes silent after it
  double engine_dies = 0.02;   ///< of frames
  double host_dies = 0.02;     ///< of frames; the caller takes the stream up
  double host_freezes = 0.02;  ///< of frames; so does the caller
  double refused = 0.15;       ///< of starts
  double not_connected = 0.1;  ///< of calls
  double no_worker = 0.2;      ///< of searches for another worker
};

/// @brief The world; Run plays one seed.
class StreamWorld {
 public:
  explicit StreamWorld(StreamWorldOptions options);

  /// @brief Plays the whole run until every wait has ended.
  void Run();

  StreamHistory history;
  StreamCounts counts;         ///< over all hosts
  std::uint64_t take_ups = 0;  ///< by another host

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
    std::uint64_t shift = 0;  ///< of relabelled offsets, when broken
    GenerationId shown_as;    ///< of relabelled generations, when broken
  };

  void At(Instant when, Task task);
  bool Chance(double chance);
  Duration Millis(std::uint64_t low, std::uint64_t high);
  void Step(std::size_t host, const StreamMessage& message);
  void Carry(std::size_t host, const StreamAction& action);
  void Open(std::size_t host, StreamAttempt attempt, const GenerationId& id,
            const UpstreamId& worker, std::uint64_t offset, bool start);
  void Produce(std::size_t call, std::uint64_t offset);
  void SendFrame(std::size_t call, const EngineFrame& frame, Duration after);
  void EndCall(std::size_t call, StreamCallEnd end, Duration after);
  void FindWorker(std::size_t host, const RequestNewWorker& wanted);
  void TroubleHost(std::size_t host);
  void TakeUp();
  void Wake(std::size_t host);
  void AddHost();
  void Cancel(std::size_t host, const GenerationId& generation);
  void Deliver(std::size_t host, DeliverToken token);
  void End(std::size_t host, EndIncomplete end);
  EngineFrame Relabelled(std::size_t host, EngineFrame frame) const;

  StreamWorldOptions options;
  Random random;
  Instant now;
  std::vector<Host> hosts;
  std::vector<Call> calls;
  std::map<UpstreamId, bool> engine_dead;
  std::map<GenerationId, bool> cancelled;
  std::map<std::pair<Instant, std::uint64_t>, Task> tasks;
  std::uint64_t next_task = 0;
  std::uint64_t next_generation = 0;
  int host_troubles = 0;
  UpstreamId last_worker;
};

}  // namespace limpetlink
