/// @file
/// @brief Child process that can be started, signalled and killed.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"

namespace limpetlink::scenario {

/// @brief A restartable child process. It is killed by the destructor, and by
/// the kernel if the parent dies.
class Process {
 public:
  /// @param command program and arguments
  /// @param log file to which standard output and error are appended
  Process(std::vector<std::string> command, std::string log);
  /// @brief Kills the process if it is running.
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// @brief Starts the process; does nothing if it is running.
  absl::Status Start();

  /// @brief Sends a signal to the process, such as SIGTERM.
  /// @return FailedPrecondition if the process is not running
  absl::Status Signal(int signal);

  /// @brief Kills the process and waits until it has terminated.
  absl::Status Kill();

  /// @return true if the process was started and has not terminated
  bool Running();

  /// @return the last exit code, or 128 plus the number of the signal that
  /// terminated the process; std::nullopt before the first exit
  std::optional<int> ExitCode() const { return this->exit_code; }

 private:
  void Reap(int options);

  std::vector<std::string> command;
  std::string log;
  pid_t pid = 0;  ///< 0: not running
  std::optional<int> exit_code;
};

}  // namespace limpetlink::scenario
