/// @file
/// @brief One child process of a scenario.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"

namespace limpetlink::scenario {

/// @brief A program that can be started again after it ended. It is killed
/// with its owner.
class Process {
 public:
  /// @param command program and arguments
  /// @param log file that gets what the program prints
  Process(std::vector<std::string> command, std::string log);
  /// @brief Kills the program if it runs.
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// @brief Starts the program; does nothing while it runs.
  absl::Status Start();

  /// @brief Sends a signal to the program, as SIGTERM.
  absl::Status Signal(int signal);

  /// @brief Kills the program and waits for its end.
  absl::Status Kill();

  /// @return whether it was started and has not ended
  bool Running();

  /// @return how it ended last: its exit code, or 128 and the signal's number
  std::optional<int> ExitCode() const { return this->exit_code; }

 private:
  void Reap(int options);

  std::vector<std::string> command;
  std::string log;
  pid_t pid = 0;  ///< 0: not running
  std::optional<int> exit_code;
};

}  // namespace limpetlink::scenario
