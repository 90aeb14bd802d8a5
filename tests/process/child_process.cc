#include "tests/process/child_process.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>

#include "adapters/adapters.h"

namespace limpetlink::testing {
namespace {

int ExitCode(int status) {
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

}  // namespace

ChildProcess::ChildProcess(const std::string& program,
                           std::vector<std::string> arguments,
                           const std::string& log) {
  constexpr mode_t kLogMode = 0644;
  arguments.insert(arguments.begin(), program);
  std::vector<char*> argument_pointers;
  argument_pointers.reserve(arguments.size() + 1);
  for (std::string& argument : arguments) {
    argument_pointers.push_back(argument.data());
  }
  argument_pointers.push_back(nullptr);
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, kLogMode);
  posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
  if (posix_spawn(&this->pid, program.c_str(), &files, nullptr,
                  argument_pointers.data(), environ) != 0) {
    this->pid = -1;
  }
  posix_spawn_file_actions_destroy(&files);
}

ChildProcess::~ChildProcess() { this->Kill(); }

void ChildProcess::Signal(int number) const {
  if (this->pid > 0) {
    kill(this->pid, number);
  }
}

void ChildProcess::Kill() {
  this->Signal(SIGKILL);
  static_cast<void>(this->Wait());
}

int ChildProcess::Wait() {
  if (this->pid > 0) {
    int status = 0;
    waitpid(this->pid, &status, 0);
    this->exit_code = ExitCode(status);
    this->pid = -1;
  }
  return this->exit_code;
}

bool ChildProcess::Running() {
  int status = 0;
  if (this->pid > 0 && waitpid(this->pid, &status, WNOHANG) == this->pid) {
    this->exit_code = ExitCode(status);
    this->pid = -1;
  }
  return this->pid > 0;
}

}  // namespace limpetlink::testing
