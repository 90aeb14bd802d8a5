#include "programs/common/process_signals.h"

#include <chrono>
#include <ctime>

namespace limpetlink {
namespace {

constexpr timespec kTimeOfDayInterval{60, 0};

std::chrono::nanoseconds TimeOfDay() {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

void PostTimeOfDay(CoreLoop* loop) {
  const auto time =
      std::chrono::duration_cast<std::chrono::milliseconds>(TimeOfDay());
  loop->Post(WallClockRead{time.count()});
}

}  // namespace

ProcessSignals::ProcessSignals() {
  sigemptyset(&this->set);
  sigaddset(&this->set, SIGTERM);
  sigaddset(&this->set, SIGINT);
  sigaddset(&this->set, SIGUSR1);
  pthread_sigmask(SIG_BLOCK, &this->set, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

ProcessSignals::~ProcessSignals() {
  if (this->thread.joinable()) {
    pthread_kill(this->thread.native_handle(), SIGUSR1);
    this->thread.join();
  }
}

void ProcessSignals::ForwardTo(CoreLoop* loop) {
  PostTimeOfDay(loop);
  this->thread = std::thread([this, loop] { this->WaitForSignals(loop); });
}

void ProcessSignals::WaitForSignals(CoreLoop* loop) {
  int signal_count = 0;
  while (true) {
    const int number = sigtimedwait(&this->set, nullptr, &kTimeOfDayInterval);
    if (number == SIGUSR1) {
      return;
    }
    if (number < 0) {
      PostTimeOfDay(loop);
    } else if (++signal_count == 1) {
      loop->RequestDrain();
    } else {
      this->stopped_immediately = true;
      loop->RequestStop();
    }
  }
}

LineWriterSettings ProcessWriterSettings(const HostId& host, LogLevel level) {
  const WallClock clock{TimeOfDay() - SteadyNow().time_since_epoch()};
  return {host, level, clock};
}

}  // namespace limpetlink
