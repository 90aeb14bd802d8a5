/// @file
/// @brief What the benchmarks share: their options, and rows printed and
/// written as JSON.
#pragma once

#include <cxxopts.hpp>
#include <fstream>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>

namespace limpetlink::bench {

/// @brief Takes one row of a report.
using TakeRow = std::function<void(nlohmann::json row)>;

/// @brief Runs a benchmark: prints each row when it is there, and writes all to
/// --json FILE.
/// @param measure makes the rows, given the parsed options
/// @param options may hold more options; --json and --help are added
/// @return the program's exit code
inline int RunReport(cxxopts::Options options, int argc, char** argv,
                     const std::function<void(const cxxopts::ParseResult&,
                                              const TakeRow&)>& measure) {
  options.add_options()("json", "File for the results",
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
