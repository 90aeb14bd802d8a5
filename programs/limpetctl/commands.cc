#include "programs/limpetctl/commands.h"

#include <map>

#include "absl/strings/str_cat.h"

namespace limpetlink {
namespace {

using Command = CommandResult (*)(const CtlContext& context);

const std::map<std::string, Command>& Commands() {
  static const auto* const commands = new std::map<std::string, Command>{
      {"validate", Validate}, {"diff", Diff},       {"apply", Apply},
      {"export", Export},     {"history", History}, {"status", Status},
      {"requests", Requests}, {"drain", Drain}};
  return *commands;
}

}  // namespace

CommandResult RunCommand(const std::string& command,
                         const CtlContext& context) {
  const auto found = Commands().find(command);
  if (found == Commands().end()) {
    return UsageError(absl::StrCat("unknown command ", command));
  }
  return found->second(context);
}

CommandResult UsageError(const std::string& message) {
  CommandResult result;
  result.code = ExitCode::kUsage;
  result.text = message + "; see --help\n";
  result.json = {{"problem", message}};
  return result;
}

CommandResult Failure(const absl::Status& status) {
  CommandResult result;
  result.code = ExitCode::kFailed;
  const std::string message(status.message());
  result.text = message + "\n";
  result.json = {{"problem", message}};
  const auto code = ErrorCodeOf(status);
  if (code) {
    result.json["code"] = Describe(*code).name;
  }
  return result;
}

}  // namespace limpetlink
