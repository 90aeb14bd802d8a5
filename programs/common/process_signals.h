/// @file
/// @brief What the programs that run a core share: their signals, time of day
/// and log lines.
#pragma once

#include <atomic>
#include <csignal>
#include <thread>

#include "adapters/adapters.h"
#include "telemetry/telemetry.h"

namespace limpetlink {

/// @brief Takes the process's signals on a thread of its own: the first SIGTERM
/// or SIGINT drains, a
///        second ends at once. The same thread tells the core the time of day
///        each minute.
class ProcessSignals {
 public:
  /// @brief Blocks the signals for all threads begun later.
  ProcessSignals();
  ~ProcessSignals();
  ProcessSignals(const ProcessSignals&) = delete;
  ProcessSignals& operator=(const ProcessSignals&) = delete;

  /// @brief Begins to hand signals and the time of day to a loop.
  /// @param loop outlives this
  void SendTo(CoreLoop* loop);

  /// @return whether a second signal ended the process
  bool EndedAtOnce() const { return this->ended_at_once; }

 private:
  void Wait(CoreLoop* loop);

  sigset_t set{};
  std::thread thread;
  std::atomic<bool> ended_at_once{false};
};

/// @brief Settings of the process's log lines, with the time of day.
LineWriterSettings ProcessWriterSettings(const HostId& host, LogLevel level);

}  // namespace limpetlink
