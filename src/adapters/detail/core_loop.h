/// @file
/// @brief The one thread that owns the core and feeds it events and time.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>

#include "adapters/detail/address.h"

namespace limpetlink {

/// @brief The core as the loop drives it; all hooks are called from the loop's
/// thread only.
struct CoreHooks {
  std::function<Actions(Instant)> start;
  std::function<Actions(Instant, const Event&)> step;
  std::function<Actions(Instant)> tick;
  std::function<Actions(Instant)> drain;
  std::function<Instant()> next_wakeup;
  std::function<bool()> drained;
};

/// @brief Where the core's orders go.
struct ActionHooks {
  std::function<void(Action)> execute;  ///< one order
  std::function<void()> flush;          ///< after a batch of orders
  std::function<bool()> idle;  ///< whether no reply is still being sent
};

/// @brief Makes hooks that drive a core with EntryHost's interface.
/// @param core outlives the loop
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

/// @brief The core's time now: the machine's monotonic clock.
Instant SteadyNow();

/// @brief Counts of a CoreLoop since its start.
struct CoreLoopCounts {
  std::uint64_t events = 0;
  std::uint64_t batches = 0;
  std::uint64_t longest_queue = 0;
  Duration busy{0};  ///< time spent in the core and in handing its orders on
};

/// @brief Runs a core: events in sequence, ticks when they are due, orders to
/// the adapters.
/// @note Example:
/// @code
/// CoreLoop loop(HooksOf(&host));
/// HttpServer server(settings, loop.Sink());
/// loop.Run(actions);  // returns once RequestDrain or RequestStop was called
/// and carried out
/// @endcode
class CoreLoop {
 public:
  /// @brief Events that may wait before adapters are held back.
  static constexpr std::size_t kMaxQueuedEvents = 65536;

  /// @param hooks the core
  explicit CoreLoop(CoreHooks hooks);

  /// @brief Queues an event; blocks while the queue is full. Any thread but the
  /// loop's.
  void Post(Event event);

  /// @return a sink that posts to this loop
  EventSink Sink();

  /// @brief Begins the graceful shutdown; Run returns once all is finished. Any
  /// thread.
  void RequestDrain();

  /// @brief Makes Run return at once; what is in progress is cut. Any thread.
  void RequestStop();

  /// @brief Drives the core on the calling thread.
  /// @param actions where its orders go
  void Run(const ActionHooks& actions);

  /// @return counts since the start
  CoreLoopCounts Counts() const;

 private:
  bool WaitForWork(std::deque<Event>* batch, bool draining);
  void Execute(Actions actions, const ActionHooks& hooks);

  CoreHooks core;
  mutable std::mutex mutex;  ///< guards all below
  std::condition_variable work;
  std::condition_variable room;
  std::deque<Event> queue;
  bool drain_requested = false;
  bool stop_requested = false;
  CoreLoopCounts counts;
};

}  // namespace limpetlink
