#include "tests/scenario/process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstring>
#include <utility>

#include "absl/strings/str_cat.h"

namespace limpetlink::scenario {
namespace {

constexpr int kSignalBase = 128;
constexpr int kExecFailed = 127;
constexpr int kLogMode = 0644;

/// Runs in the child between fork and exec, so only async-signal-safe calls are
/// allowed.
[[noreturn]] void RunChild(char** arguments, const char* log, pid_t parent) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) {
    _exit(kExecFailed);
  }
  const int file = open(log, O_WRONLY | O_CREAT | O_APPEND, kLogMode);
  if (file >= 0) {
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
    close(file);
  }
  execv(arguments[0], arguments);
  _exit(kExecFailed);
}

}  // namespace

Process::Process(std::vector<std::string> command, std::string log)
    : command(std::move(command)), log(std::move(log)) {}

Process::~Process() { this->Kill().IgnoreError(); }

absl::Status Process::Start() {
  if (this->Running()) {
    return absl::OkStatus();
  }
  std::vector<char*> arguments;
  for (std::string& argument : this->command) {
    arguments.push_back(argument.data());
  }
  arguments.push_back(nullptr);
  const pid_t parent = getpid();
  const pid_t child = fork();
  if (child < 0) {
    return absl::ResourceExhaustedError(std::strerror(errno));
  }
  if (child == 0) {
    RunChild(arguments.data(), this->log.c_str(), parent);
  }
  this->pid = child;
  this->exit_code.reset();
  return absl::OkStatus();
}

absl::Status Process::Signal(int signal) {
  if (!this->Running()) {
    return absl::FailedPreconditionError(
        absl::StrCat(this->command.front(), " is not running"));
  }
  if (kill(this->pid, signal) != 0) {
    return absl::InternalError(std::strerror(errno));
  }
  return absl::OkStatus();
}

absl::Status Process::Kill() {
  if (!this->Running()) {
    return absl::OkStatus();
  }
  absl::Status sent = this->Signal(SIGKILL);
  this->Reap(0);
  return sent;
}

bool Process::Running() {
  if (this->pid != 0) {
    this->Reap(WNOHANG);
  }
  return this->pid != 0;
}

void Process::Reap(int options) {
  int state = 0;
  if (waitpid(this->pid, &state, options) != this->pid) {
    return;
  }
  this->pid = 0;
  this->exit_code =
      WIFEXITED(state) ? WEXITSTATUS(state) : kSignalBase + WTERMSIG(state);
}

}  // namespace limpetlink::scenario
