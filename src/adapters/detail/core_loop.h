/// @file
/// @brief The loop that runs the core on a single thread.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>

#include "adapters/detail/address.h"

namespace limpetlink {

/// @brief The functions of a core; the loop calls them only from its own
/// thread.
struct CoreHooks {
  std::function<Actions(Instant)> start;
  std::function<Actions(Instant, const Event&)> step;
  std::function<Actions(Instant)> tick;
  std::function<Actions(Instant)> drain;
  std::function<Instant()> next_wakeup;
  std::function<bool()> drained;
};

/// @brief Functions that receive the core's actions.
struct ActionHooks {
  std::function<void(Action)> execute;  ///< executes one action
  std::function<void()> flush;          ///< called after a batch of actions
  std::function<bool()> idle;           ///< whether all replies have been sent
};

/// @brief Creates hooks for a core that has the interface of EntryHost.
/// @param core the core, which must outlive the loop
template <typename Core>
CoreHooks HooksOf(Core* core) {
  CoreHooks hooks;
  hooks.start = [core](Instant now) { return core->Start(now); };
  hooks.step = [core](Instant now, const Event& event) {
    return core->Step(now, event);
  };
  hooks.tick = [core](Instant now) { return core->Tick(now); };
  hooks.drain = [core](Instant now) { return core->Drain(now); };
  hooks.next_wakeup = [core] { return core->NextWakeup(); };
  hooks.drained = [core] { return core->Drained(); };
  return hooks;
}

/// @brief Returns the current time of the core, from the monotonic clock.
Instant SteadyNow();

/// @brief Counters of a CoreLoop since its start.
struct CoreLoopCounts {
  std::uint64_t events = 0;
  std::uint64_t batches = 0;
  std::uint64_t longest_queue = 0;
  Duration busy{0};  ///< time spent in the core and in executing its
                     ///< actions
};

/// @brief Runs a core: passes it events in order and ticks when they are due,
/// and passes its actions to the adapters.
/// @note Example:
/// @code
/// CoreLoop loop(HooksOf(&host));
/// HttpServer server(settings, loop.Sink());
/// loop.Run(actions);  // returns after RequestDrain or RequestStop
/// @endcode
class CoreLoop {
 public:
  /// @brief Maximum number of queued events; when it is reached, Post blocks.
  static constexpr std::size_t kMaxQueuedEvents = 65536;

  /// @param hooks the core
  explicit CoreLoop(CoreHooks hooks);

  /// @brief Queues an event; blocks while the queue is full. May be called from
  /// any thread except the loop's.
  void Post(Event event);

  /// @return a sink that posts to this loop
  EventSink Sink();

  /// @brief Starts the graceful shutdown; Run returns once all requests have
  /// finished. Thread-safe.
  void RequestDrain();

  /// @brief Makes Run return at once and aborts open requests. Thread-safe.
  void RequestStop();

  /// @brief Runs the core on the calling thread.
  /// @param actions receive the core's actions
  void Run(const ActionHooks& actions);

  /// @return the counters since the start
  CoreLoopCounts Counts() const;

 private:
  bool WaitForWork(std::deque<Event>* batch, bool draining);
  void Execute(Actions actions, const ActionHooks& hooks);

  CoreHooks core;
  mutable std::mutex mutex;  ///< guards all members below
  std::condition_variable work_available;
  std::condition_variable space_available;
  std::deque<Event> queue;
  bool drain_requested = false;
  bool stop_requested = false;
  CoreLoopCounts counts;
};

}  // namespace limpetlink
