// Runs the fault matrix of the entry host core, prints a table and optionally
// writes the results as JSON.
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "tests/core/fault_matrix.h"

namespace limpetlink::testing {
namespace {

using nlohmann::json;

json Describe(const MatrixCellResult& cell) {
  json row = {{"fault", ToText(cell.fault)},
              {"activity", ToText(cell.activity)},
              {"runs", cell.runs},
              {"failed", cell.failed}};
  if (cell.failed > 0) {
    row["first_violation"] = cell.first_violation;
    row["first_step"] = cell.first_failure.first_step;
    row["second_fault"] = ToText(cell.first_failure.second);
    row["second_step"] = cell.first_failure.second_step;
    row["seed"] = cell.first_failure.seed;
  }
  return row;
}

int RunMatrix(std::uint64_t seeds, std::uint64_t pairs,
              const std::string& json_file) {
  json cells = json::array();
  std::uint64_t failed = 0;
  for (const auto& fault : EnumTable<Fault>::kRows) {
    std::cout << fault.name << '\n';
    for (const auto& activity : EnumTable<Activity>::kRows) {
      const MatrixCellResult singles =
          ExecuteCell(fault.value, activity.value, seeds);
      const MatrixCellResult doubles =
          ExecutePairs(fault.value, activity.value, pairs);
      std::cout << "  " << activity.name << ": "
                << singles.runs - singles.failed << "/" << singles.runs
                << " alone, " << doubles.runs - doubles.failed << "/"
                << doubles.runs << " with a second fault" << std::endl;
      for (const MatrixCellResult& cell : {singles, doubles}) {
        cells.push_back(Describe(cell));
        failed += cell.failed;
        if (cell.failed > 0) {
          std::cout << "    " << Describe(cell).dump() << '\n';
        }
      }
    }
  }
  if (!json_file.empty()) {
    std::ofstream(json_file) << cells.dump(2) << '\n';
  }
  std::cout << (failed == 0 ? "every cell passed"
                            : "failed runs: " + std::to_string(failed))
            << '\n';
  return failed == 0 ? 0 : 1;
}

}  // namespace
}  // namespace limpetlink::testing

int main(int argc, char** argv) {
  cxxopts::Options options("limpet-core-matrix",
                           "Every fault at every step, in virtual time");
  options.add_options()("seeds", "Seeds of each cell",
                        cxxopts::value<std::uint64_t>()->default_value("2"))(
      "pairs", "Runs with a second fault of each cell",
      cxxopts::value<std::uint64_t>()->default_value("50"))(
      "json", "File for the results",
      cxxopts::value<std::string>()->default_value(""))("help",
                                                        "Print this help");
  const auto parsed = options.parse(argc, argv);
  if (parsed.count("help") != 0) {
    std::cout << options.help();
    return 0;
  }
  return limpetlink::testing::RunMatrix(parsed["seeds"].as<std::uint64_t>(),
                                        parsed["pairs"].as<std::uint64_t>(),
                                        parsed["json"].as<std::string>());
}
