/// @file
/// @brief The commands of limpetctl, apart from reading settings and printing.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/base.h"
#include "operators/operators.h"

namespace limpetlink {

/// @brief How limpetctl ends.
enum class ExitCode : int {
  kOk = 0,
  kFailed = 1,    ///< a fault in a document, no answer, an unknown outcome
  kUsage = 2,     ///< wrong command, operands or settings
  kConflict = 3,  ///< another change was accepted first
};

/// @brief Settings that all commands share.
struct CtlSettings {
  std::string platform;  ///< "http://ip:port"
  std::string fleet;     ///< name; needed where no file names it
  std::string hosts;     ///< "ip:port,..." of entry hosts; empty: host list
  std::uint64_t host_port = 8080;  ///< callers' port of hosts in the host list
  std::string operator_key;
  std::string author;
  std::string output;  ///< file for export; empty: standard output
  std::uint64_t base_version = 0;
  std::uint64_t limit = 20;      ///< rows of history
  std::uint64_t timeout_s = 30;  ///< of apply
  bool json = false;
};

/// @brief What a command works with.
struct CtlContext {
  CtlSettings settings;
  std::vector<std::string> operands;  ///< without the command
  HttpExchange exchange;
  WaitHooks hooks;
};

/// @brief What a command came to.
struct CommandResult {
  ExitCode code = ExitCode::kOk;
  std::string text;             ///< for a person
  nlohmann::ordered_json json;  ///< the same for programs
};

/// @brief Runs a command.
/// @param command as "apply"
/// @param context settings, operands and hooks
/// @return what to print and how to end; kUsage for an unknown command
CommandResult RunCommand(const std::string& command, const CtlContext& context);

/// @brief Checks a file. Operands: FILE.
CommandResult Validate(const CtlContext& context);
/// @brief Lists what differs. Operands: BEFORE AFTER, or FILE to compare with
/// the platform's document.
CommandResult Diff(const CtlContext& context);
/// @brief Puts a file in force. Operands: FILE.
CommandResult Apply(const CtlContext& context);
/// @brief Writes the document in force. No operands.
CommandResult Export(const CtlContext& context);
/// @brief Lists whose changes the versions were. No operands.
CommandResult History(const CtlContext& context);
/// @brief Shows which hosts have which version. No operands.
CommandResult Status(const CtlContext& context);
/// @brief Lists the requests in progress. No operands.
CommandResult Requests(const CtlContext& context);
/// @brief Drains an entry host. Operands: ip:port.
CommandResult Drain(const CtlContext& context);

/// @brief Makes the result of a wrong use.
CommandResult WrongUse(const std::string& message);
/// @brief Makes the result of a failure.
CommandResult Failure(const absl::Status& status);

}  // namespace limpetlink
