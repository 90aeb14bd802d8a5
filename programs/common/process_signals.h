/// @file
/// @brief Signal handling, time of day and log settings shared by the programs
/// that run a core.
#pragma once

#include <atomic>
#include <csignal>
#include <thread>

#include "adapters/adapters.h"
#include "telemetry/telemetry.h"

namespace limpetlink {

/// @brief Handles the process's signals on its own thread. The first SIGTERM or
/// SIGINT drains the core; a second one stops it immediately. The thread also
/// sends the core the time of day once a minute.
class ProcessSignals {
 public:
  /// @brief Blocks the signals in the calling thread and in all threads that it
  /// creates afterwards.
  ProcessSignals();
  ~ProcessSignals();
  ProcessSignals(const ProcessSignals&) = delete;
  ProcessSignals& operator=(const ProcessSignals&) = delete;

  /// @brief Starts the thread that forwards signals and the time of day.
  /// @param loop receives them; must outlive this object
  void ForwardTo(CoreLoop* loop);

  /// @return whether a second signal stopped the process
  bool StoppedImmediately() const { return this->stopped_immediately; }

 private:
  void WaitForSignals(CoreLoop* loop);

  sigset_t set{};
  std::thread thread;
  std::atomic<bool> stopped_immediately{false};
};

/// @brief Returns the settings of the process's log writer. Its clock maps the
/// steady clock to the time of day.
LineWriterSettings ProcessWriterSettings(const HostId& host, LogLevel level);

}  // namespace limpetlink
