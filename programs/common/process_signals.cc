#include "programs/common/process_signals.h"

#include <chrono>
#include <ctime>

namespace limpetlink {
namespace {

constexpr timespec kTellTimeEvery{60, 0};

std::chrono::nanoseconds TimeOfDay() {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

void TellTime(CoreLoop* loop) {
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

void ProcessSignals::SendTo(CoreLoop* loop) {
  TellTime(loop);
  this->thread = std::thread([this, loop] { this->Wait(loop); });
}

void ProcessSignals::Wait(CoreLoop* loop) {
  int ends = 0;
  while (true) {
    const int number = sigtimedwait(&this->set, nullptr, &kTellTimeEvery);
    if (number == SIGUSR1) {
      return;
    }
    if (number < 0) {
      TellTime(loop);
    } else if (++ends == 1) {
      loop->RequestDrain();
    } else {
      this->ended_at_once = true;
      loop->RequestStop();
    }
  }
}

LineWriterSettings ProcessWriterSettings(const HostId& host, LogLevel level) {
  const WallClock clock{TimeOfDay() - SteadyNow().time_since_epoch()};
  return {host, level, clock};
}

}  // namespace limpetlink
