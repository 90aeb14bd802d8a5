/// @file
/// @brief limpetctl: the operators' command-line tool.
#include <curl/curl.h>

#include <cstdlib>
#include <iostream>

#include "programs/limpetctl/commands.h"
#include "settings/settings.h"

namespace limpetlink {
namespace {

constexpr char kOperandsHelp[] =
    "COMMAND [OPERAND...]: validate FILE | diff BEFORE AFTER | diff FILE | "
    "apply FILE | export | history | status | requests | drain IP:PORT. "
    "Exit codes: 0 success, 1 failure, 2 invalid arguments or settings, 3 "
    "conflict";

std::string DefaultAuthor() {
  const char* user = std::getenv("USER");
  return user != nullptr && *user != '\0' ? user : "operator";
}

SettingsParser MakeParser(CtlSettings* settings,
                          std::vector<std::string>* operands) {
  constexpr std::uint64_t kMaxRows = 1000;
  constexpr std::uint64_t kMaxSeconds = 3600;
  SettingsParser parser("limpetctl",
                        "Validates, applies and inspects a fleet document.");
  parser
      .Text("platform", "platform's object API, http://ip:port",
            &settings->platform)
      .Text("fleet", "the fleet's name", &settings->fleet)
      .Text("host", "entry hosts, ip:port,...; default: the host list",
            &settings->hosts)
      .Number("host-port", "callers' port of hosts in the host list",
              &settings->host_port, 1, UINT16_MAX)
      .Text("operator-key", "key for entry hosts", &settings->operator_key)
      .Text("author", "author of a change; default: the user",
            &settings->author)
      .Text("output", "file that export writes", &settings->output)
      .Number("base-version", "version that apply replaces; 0: create",
              &settings->base_version, 0, UINT64_MAX)
      .Number("limit", "number of versions that history lists",
              &settings->limit, 1, kMaxRows)
      .Number("timeout", "timeout of apply, in seconds", &settings->timeout_s,
              1, kMaxSeconds)
      .Switch("json", "print JSON", &settings->json)
      .Operands(kOperandsHelp, operands);
  return parser;
}

int Main(int argc, const char* const* argv) {
  CtlContext context;
  context.settings.platform = "http://127.0.0.1:8500";
  context.settings.author = DefaultAuthor();
  std::vector<std::string> operands;
  const SettingsParser parser = MakeParser(&context.settings, &operands);
  if (const std::optional<int> code = parser.ParseOrExitCode(argc, argv)) {
    return *code;
  }
  const std::string command = operands.empty() ? "" : operands.front();
  if (!operands.empty()) {
    context.operands.assign(operands.begin() + 1, operands.end());
  }
  context.exchange = ExchangeOverCurl;
  context.hooks = SystemWaitHooks();
  curl_global_init(CURL_GLOBAL_DEFAULT);
  const CommandResult result = RunCommand(command, context);
  curl_global_cleanup();
  const bool succeeded = result.code == ExitCode::kOk;
  std::ostream& out =
      succeeded || context.settings.json ? std::cout : std::cerr;
  if (context.settings.json) {
    out << result.json.dump(2, ' ', false,
                            nlohmann::json::error_handler_t::replace)
        << '\n';
  } else {
    out << result.text;
  }
  out.flush();
  return static_cast<int>(result.code);
}

}  // namespace
}  // namespace limpetlink

int main(int argc, char** argv) { return limpetlink::Main(argc, argv); }
