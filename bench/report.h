/// @file
/// @brief Command line options and JSON output shared by the benchmarks.
#pragma once

#include <cxxopts.hpp>
#include <fstream>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>

namespace limpetlink::bench {

/// @brief Adds one row to a report.
using AddRow = std::function<void(nlohmann::json row)>;

/// @brief Runs a benchmark, prints each row as soon as it is available and
/// writes all rows to the file given with --json.
/// @param options options of the benchmark; --json and --help are added
/// @param measure produces the rows from the parsed options
/// @return the exit code of the program
inline int RunReport(cxxopts::Options options, int argc, char** argv,
                     const std::function<void(const cxxopts::ParseResult&,
                                              const AddRow&)>& measure) {
  options.add_options()("json", "Write the results to this file",
                        cxxopts::value<std::string>()->default_value(""))(
      "help", "Print this help");
  const auto parsed = options.parse(argc, argv);
  if (parsed.count("help") != 0) {
    std::cout << options.help();
    return 0;
  }
  nlohmann::json rows = nlohmann::json::array();
  measure(parsed, [&rows](nlohmann::json row) {
    std::cout << row.dump() << std::endl;
    rows.push_back(std::move(row));
  });
  const auto file = parsed["json"].as<std::string>();
  if (!file.empty()) {
    std::ofstream(file) << rows.dump(2) << '\n';
  }
  return 0;
}

}  // namespace limpetlink::bench
