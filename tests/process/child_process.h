/// @file
/// @brief A program started by a test, signalled and ended by its pid.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace limpetlink::testing {

/// @brief Starts a program; kills it at the end if it still runs.
class ChildProcess {
 public:
  /// @param program path of the binary
  /// @param arguments without the program's name
  /// @param log file for its output
  ChildProcess(const std::string& program, std::vector<std::string> arguments,
               const std::string& log);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /// @brief Sends a signal, as SIGSTOP, SIGCONT or SIGTERM.
  void Signal(int number) const;

  /// @brief Kills at once and waits for the end.
  void Kill();

  /// @brief Waits for the program's own end.
  /// @return its exit code, or -1 after a signal
  int Wait();

  /// @return its process id, or -1 once it has ended
  pid_t Pid() const { return this->pid; }

  /// @return whether it has not ended yet
  bool Running();

 private:
  pid_t pid = -1;
  int exit_code = -1;
};

}  // namespace limpetlink::testing
