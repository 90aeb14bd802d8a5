/// @file
/// @brief limpet-scenario: runs scenario files against real processes.
#include <curl/curl.h>

#include <filesystem>
#include <iostream>

#include "settings/settings.h"
#include "tests/scenario/files.h"
#include "tests/scenario/real_fleet.h"

namespace limpetlink::scenario {
namespace {

/// Runs one scenario file and prints each completed step.
bool RunFile(const std::string& path, const FleetPaths& paths) {
  const auto text = ReadFile(path);
  if (!text.ok()) {
    std::cerr << text.status().message() << '\n';
    return false;
  }
  const ScenarioParseResult parsed = ParseScenario(*text);
  for (const std::string& error : parsed.errors) {
    std::cerr << path << ": " << error << '\n';
  }
  if (!parsed.errors.empty()) {
    return false;
  }
  std::cout << parsed.scenario.name << '\n';
  std::filesystem::create_directories(paths.logs);
  RealFleet fleet(paths);
  const ScenarioResult result = RunScenario(
      parsed.scenario, fleet.Hooks(),
      [](const std::string& line) { std::cout << "  done " << line << '\n'; });
  if (result.passed) {
    std::cout << "  passed\n";
  } else {
    std::cout << "  FAILED " << result.problem << "\n  logs: " << paths.logs
              << '\n';
  }
  return result.passed;
}

int Main(int argc, const char* const* argv) {
  std::string programs;
  std::string logs = "scenario-logs";
  std::vector<std::string> files;
  SettingsParser parser("limpet-scenario",
                        "Runs scenario files against real processes.");
  parser
      .Text("programs", "folder with the programs", &programs,
            Requirement::kRequired)
      .Text("logs", "folder for the logs of the processes", &logs)
      .Operands("FILE...", &files);
  if (const std::optional<int> code = parser.ParseOrExitCode(argc, argv)) {
    return *code;
  }
  curl_global_init(CURL_GLOBAL_DEFAULT);
  int failed = 0;
  for (const std::string& file : files) {
    const std::string name = std::filesystem::path(file).stem().string();
    const auto folder = std::filesystem::path(logs) / name;
    failed += RunFile(file, {programs, folder.string()}) ? 0 : 1;
  }
  curl_global_cleanup();
  std::cout << files.size() - static_cast<std::size_t>(failed) << " passed, "
            << failed << " failed\n";
  return failed == 0 && !files.empty() ? 0 : 1;
}

}  // namespace
}  // namespace limpetlink::scenario

int main(int argc, char** argv) {
  return limpetlink::scenario::Main(argc, argv);
}
