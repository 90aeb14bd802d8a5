#include <algorithm>
#include <utility>

#include "adapters/adapters.h"

namespace limpetlink {
namespace {

// Interval of the checks whether the last replies of a drained core have been
// sent.
constexpr std::chrono::milliseconds kIdleCheck{5};
constexpr std::chrono::seconds kMaxWait{3600};

std::chrono::steady_clock::time_point ToSteady(Instant when) {
  const Instant limit = SteadyNow() + kMaxWait;
  return std::chrono::steady_clock::time_point(
      std::min(when, limit).time_since_epoch());
}

}  // namespace

Instant SteadyNow() {
  const auto since = std::chrono::steady_clock::now().time_since_epoch();
  return Instant(std::chrono::duration_cast<Duration>(since));
}

CoreLoop::CoreLoop(CoreHooks hooks) : core(std::move(hooks)) {}

void CoreLoop::Post(Event event) {
  std::unique_lock<std::mutex> lock(this->mutex);
  this->space_available.wait(lock, [this] {
    return this->queue.size() < kMaxQueuedEvents || this->stop_requested;
  });
  const bool was_empty = this->queue.empty();
  this->queue.push_back(std::move(event));
  if (was_empty) {
    this->work_available.notify_one();
  }
}

EventSink CoreLoop::Sink() {
  return [this](Event event) { this->Post(std::move(event)); };
}

void CoreLoop::RequestDrain() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->drain_requested = true;
  this->work_available.notify_one();
}

void CoreLoop::RequestStop() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->stop_requested = true;
  this->work_available.notify_one();
  this->space_available.notify_all();
}

// Returns whether a drain was requested and has not been started yet.
bool CoreLoop::WaitForWork(std::deque<Event>* batch, bool draining) {
  auto deadline = ToSteady(this->core.next_wakeup());
  if (draining && this->core.drained()) {
    deadline =
        std::min(deadline, std::chrono::steady_clock::now() + kIdleCheck);
  }
  std::unique_lock<std::mutex> lock(this->mutex);
  this->work_available.wait_until(lock, deadline, [this, draining] {
    return !this->queue.empty() || this->stop_requested ||
           (this->drain_requested && !draining);
  });
  batch->swap(this->queue);
  this->counts.events += batch->size();
  this->counts.batches += 1;
  this->counts.longest_queue =
      std::max(this->counts.longest_queue, std::uint64_t{batch->size()});
  if (batch->size() >= kMaxQueuedEvents) {
    this->space_available.notify_all();
  }
  return this->drain_requested && !draining;
}

void CoreLoop::Execute(Actions actions, const ActionHooks& hooks) {
  for (Action& action : actions) {
    hooks.execute(std::move(action));
  }
}

void CoreLoop::Run(const ActionHooks& actions) {
  this->Execute(this->core.start(SteadyNow()), actions);
  actions.flush();
  bool draining = false;
  while (true) {
    std::deque<Event> batch;
    const bool drain_now = this->WaitForWork(&batch, draining);
    const Instant batch_start = SteadyNow();
    for (const Event& event : batch) {
      this->Execute(this->core.step(SteadyNow(), event), actions);
    }
    if (drain_now) {
      draining = true;
      this->Execute(this->core.drain(SteadyNow()), actions);
    }
    if (this->core.next_wakeup() <= SteadyNow()) {
      this->Execute(this->core.tick(SteadyNow()), actions);
    }
    actions.flush();
    const bool ended = draining && this->core.drained() && actions.idle();
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->counts.busy += SteadyNow() - batch_start;
    if (this->stop_requested || (ended && this->queue.empty())) {
      return;
    }
  }
}

CoreLoopCounts CoreLoop::Counts() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->counts;
}

}  // namespace limpetlink
