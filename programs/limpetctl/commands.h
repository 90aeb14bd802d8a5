/// @file
/// @brief The commands of limpetctl, without parsing of settings and printing.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/base.h"
#include "operators/operators.h"

namespace limpetlink {

/// @brief Exit codes of limpetctl.
enum class ExitCode : int {
  kOk = 0,
  kFailed = 1,    ///< invalid document, no response, or unknown outcome
  kUsage = 2,     ///< wrong command, operands or settings
  kConflict = 3,  ///< another change was accepted first
};

/// @brief Settings that all commands share.
struct CtlSettings {
  std::string platform;  ///< "http://ip:port"
  std::string fleet;     ///< name; required by commands without a FILE
  std::string hosts;     ///< "ip:port,..." of entry hosts; empty: the host list
  std::uint64_t host_port = 8080;  ///< callers' port of hosts in the host list
  std::string operator_key;
  std::string author;
  std::string output;  ///< file for export; empty: standard output
  std::uint64_t base_version = 0;
  std::uint64_t limit = 20;      ///< rows of history
  std::uint64_t timeout_s = 30;  ///< of apply
  bool json = false;
};

/// @brief Input of a command.
struct CtlContext {
  CtlSettings settings;
  std::vector<std::string> operands;  ///< without the command's name
  HttpExchange exchange;
  WaitHooks hooks;
};

/// @brief Result of a command.
struct CommandResult {
  ExitCode code = ExitCode::kOk;
  std::string text;             ///< for people
  nlohmann::ordered_json json;  ///< the same for programs
};

/// @brief Runs a command.
/// @param command name of the command, e.g. "apply"
/// @param context settings, operands and hooks
/// @return the output and the exit code; kUsage for an unknown command
CommandResult RunCommand(const std::string& command, const CtlContext& context);

/// @brief Validates a fleet document. Operands: FILE.
CommandResult Validate(const CtlContext& context);
/// @brief Lists the differences of two fleet documents. Operands: BEFORE AFTER,
/// or FILE to compare with the platform's document.
CommandResult Diff(const CtlContext& context);
/// @brief Applies a fleet document. Operands: FILE.
CommandResult Apply(const CtlContext& context);
/// @brief Prints the active fleet document or writes it to a file. No operands.
CommandResult Export(const CtlContext& context);
/// @brief Lists the latest versions with their change ids and authors. No
/// operands.
CommandResult History(const CtlContext& context);
/// @brief Shows the state and the document version of each host. No operands.
CommandResult Status(const CtlContext& context);
/// @brief Lists the requests in progress on each host. No operands.
CommandResult Requests(const CtlContext& context);
/// @brief Drains an entry host. Operands: ip:port.
CommandResult Drain(const CtlContext& context);

/// @brief Returns the result for invalid arguments: kUsage and a hint to use
/// --help.
CommandResult UsageError(const std::string& message);
/// @brief Returns the result for a failed operation.
CommandResult Failure(const absl::Status& status);

}  // namespace limpetlink
