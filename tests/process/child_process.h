/// @file
/// @brief Child process of a test, signalled and killed by its process id.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace limpetlink::testing {

/// @brief Runs a program as a child process; the destructor kills it if it is
/// still running.
class ChildProcess {
 public:
  /// @param program path of the binary
  /// @param arguments arguments without the program name
  /// @param log file that stdout and stderr are appended to
  ChildProcess(const std::string& program, std::vector<std::string> arguments,
               const std::string& log);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /// @brief Sends a signal, e.g. SIGSTOP, SIGCONT or SIGTERM.
  void Signal(int number) const;

  /// @brief Sends SIGKILL and waits for the process to terminate.
  void Kill();

  /// @brief Waits for the process to terminate.
  /// @return its exit code, or -1 if a signal terminated it
  int Wait();

  /// @return the process id, or -1 if the process has terminated
  pid_t Pid() const { return this->pid; }

  /// @return whether the process is still running
  bool Running();

 private:
  pid_t pid = -1;
  int exit_code = -1;
};

}  // namespace limpetlink::testing
