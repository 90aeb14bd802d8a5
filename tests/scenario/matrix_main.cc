/// @file
/// @brief limpet-matrix: runs the fault matrix against real processes.
#include <curl/curl.h>

#include <algorithm>
#include <filesystem>
#include <iostream>

#include "settings/settings.h"
#include "tests/scenario/files.h"
#include "tests/scenario/matrix.h"
#include "tests/scenario/real_fleet.h"

namespace limpetlink::scenario {
namespace {

struct MatrixSettings {
  std::string programs;
  std::string lists;
  std::string logs = "matrix-logs";
  std::string output = "matrix.json";
  std::string only;  ///< substring of the names of the cells to run
  bool pairs = false;
  bool short_run = false;
};

CellState RunCell(const MatrixCell& cell, const MatrixSettings& settings,
                  std::size_t number) {
  const std::string logs = settings.logs + "/" + std::to_string(number);
  std::filesystem::create_directories(logs);
  const ScenarioParseResult parsed = ParseScenario(cell.scenario);
  RealFleet fleet({settings.programs, logs});
  const ScenarioResult result = RunScenario(parsed.scenario, fleet.Hooks(),
                                            [](const std::string& /*line*/) {});
  std::cout << (result.passed ? "pass  " : "FAIL  ") << cell.Name();
  if (!result.passed) {
    std::cout << "\n      " << result.problem << "\n      logs: " << logs;
  }
  std::cout << std::endl;
  return result.passed ? CellState::kPassed : CellState::kFailed;
}

CellStates RunCells(const std::vector<MatrixCell>& cells,
                    const MatrixSettings& settings) {
  CellStates states;
  std::size_t number = 0;
  for (const MatrixCell& cell : cells) {
    const std::string name = cell.Name();
    const bool selected = cell.not_applicable.empty() &&
                          name.find(settings.only) != std::string::npos;
    if (selected) {
      states[name] = RunCell(cell, settings, ++number);
    }
  }
  return states;
}

int RunMatrix(const MatrixSettings& settings) {
  const auto text = ReadFile(settings.lists);
  const auto lists = text.ok() ? ParseMatrixLists(*text) : text.status();
  if (!lists.ok()) {
    std::cerr << lists.status().message() << '\n';
    return kExitInvalidSettings;
  }
  const auto cells = GenerateMatrix(
      *lists, settings.pairs ? MatrixExtent::kPairs : MatrixExtent::kSingles);
  const CellStates states =
      RunCells(settings.short_run ? SelectShortRun(cells) : cells, settings);
  std::cout << '\n' << RenderTable(cells, states);
  const absl::Status written =
      WriteFile(settings.output, RenderJson(cells, states).dump(1) + "\n");
  const auto failed = std::count_if(
      states.begin(), states.end(),
      [](const auto& row) { return row.second == CellState::kFailed; });
  std::cout << states.size() - static_cast<std::size_t>(failed) << " passed, "
            << failed << " failed\n";
  return failed == 0 && written.ok() && !states.empty() ? 0 : 1;
}

int Main(int argc, const char* const* argv) {
  MatrixSettings settings;
  SettingsParser parser("limpet-matrix",
                        "Runs every fault at every step with real processes.");
  parser
      .Text("programs", "folder with the programs", &settings.programs,
            Requirement::kRequired)
      .Text("lists", "file with faults and activities", &settings.lists,
            Requirement::kRequired)
      .Text("logs", "folder for the logs of the processes", &settings.logs)
      .Text("output", "JSON file for the results", &settings.output)
      .Text("only", "run only cells whose name contains this text",
            &settings.only)
      .Switch("pairs", "run pairs of faults", &settings.pairs)
      .Switch("short", "run the fixed selection for CI", &settings.short_run);
  if (const std::optional<int> code = parser.ParseOrExitCode(argc, argv)) {
    return *code;
  }
  curl_global_init(CURL_GLOBAL_DEFAULT);
  const int code = RunMatrix(settings);
  curl_global_cleanup();
  return code;
}

}  // namespace
}  // namespace limpetlink::scenario

int main(int argc, char** argv) {
  return limpetlink::scenario::Main(argc, argv);
}
