/// @file
/// @brief The fault matrix: every fault at every step, generated from two
/// lists.
#pragma once

#include <cstddef>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

namespace limpetlink::scenario {

/// @brief A row: something that fails.
struct MatrixFault {
  std::string name;
  std::string touches;    ///< the role that fails, as "engine"
  std::string wants;      ///< what a step must have; empty: nothing
  nlohmann::json breaks;  ///< steps of the scenario language
  nlohmann::json mends;   ///< steps that end it
};

/// @brief A moment of an activity, at which faults are put.
struct MatrixStep {
  std::string name;
  std::vector<std::string> has;  ///< what faults may want, as "write"
  nlohmann::json actions;        ///< steps that lead here
  nlohmann::json reached;        ///< expectations that hold once here
};

/// @brief A group of columns: one activity and its moments.
struct MatrixActivity {
  std::string name;
  std::vector<std::string> needs;  ///< roles that take part
  nlohmann::json fleet;            ///< topology
  std::vector<MatrixStep> steps;
  nlohmann::json end;  ///< steps after all faults are mended
};

/// @brief The two lists.
struct MatrixLists {
  std::vector<MatrixFault> faults;
  std::vector<MatrixActivity> activities;
};

/// @brief One cell: one or two faults at one moment.
struct MatrixCell {
  std::vector<std::string> faults;
  std::string activity;
  std::string step;
  std::string not_applicable;  ///< why the cell makes no sense; else empty
  std::string scenario;        ///< JSON text of the scenario language

  /// @return as "engine dies + platform down @ stream, tokens flow"
  std::string Name() const;
};

/// @brief Which cells are wanted.
enum class MatrixExtent {
  kSingles,  ///< one fault a cell
  kPairs,    ///< two faults a cell, the same one twice among them
};

/// @brief Reads the two lists.
/// @param text JSON with "faults" and "activities"
/// @return the lists, or what is wrong
absl::StatusOr<MatrixLists> ParseMatrixLists(std::string_view text);

/// @brief Generates every cell, the senseless ones with their reason.
/// @note Complexity: faults (or pairs of them) times steps.
std::vector<MatrixCell> GenerateMatrix(const MatrixLists& lists,
                                       MatrixExtent extent);

/// @brief Picks cells for a short run: for each fault one applicable cell of
/// each activity, at a step that moves on from fault to fault.
std::vector<MatrixCell> PickForShortRun(const std::vector<MatrixCell>& cells);

/// @brief What became of a cell.
enum class CellState { kNotRun, kPassed, kFailed, kNotApplicable };

/// @brief Results by the cells' names.
using CellStates = std::map<std::string, CellState>;

/// @brief Renders single-fault results as a table, a row a fault and a column
/// a step, followed by the reasons of the cells that make no sense.
std::string RenderTable(const std::vector<MatrixCell>& cells,
                        const CellStates& states);

/// @brief Renders results as JSON.
nlohmann::ordered_json RenderJson(const std::vector<MatrixCell>& cells,
                                  const CellStates& states);

}  // namespace limpetlink::scenario
