/// @file
/// @brief The fault matrix: combines each fault with each step of each
/// activity.
#pragma once

#include <cstddef>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

namespace limpetlink::scenario {

/// @brief A fault; a row of the matrix.
struct MatrixFault {
  std::string name;
  std::string role;  ///< role that fails, such as "engine"
  /// Property that a step must have; empty: none.
  std::string required_property;
  nlohmann::json inject_steps;  ///< scenario steps that inject the fault
  nlohmann::json clear_steps;   ///< scenario steps that clear the fault
};

/// @brief A point in an activity at which faults are injected.
struct MatrixStep {
  std::string name;
  /// Properties that faults may require, such as "write".
  std::vector<std::string> properties;
  nlohmann::json actions;       ///< scenario steps that lead to this point
  nlohmann::json expectations;  ///< expectations that hold at this point
};

/// @brief An activity and its steps; a group of columns of the matrix.
struct MatrixActivity {
  std::string name;
  std::vector<std::string> needs;  ///< roles that take part
  nlohmann::json fleet;            ///< topology
  std::vector<MatrixStep> steps;
  nlohmann::json final_steps;  ///< scenario steps after all faults are cleared
};

/// @brief The input lists of the matrix.
struct MatrixLists {
  std::vector<MatrixFault> faults;
  std::vector<MatrixActivity> activities;
};

/// @brief A cell: one or two faults at one step of an activity.
struct MatrixCell {
  std::vector<std::string> faults;
  std::string activity;
  std::string step;
  /// Reason why the cell is not applicable, or empty.
  std::string not_applicable;
  std::string scenario;  ///< scenario as JSON text; empty if not applicable

  /// @return the unique name of the cell, such as
  /// "engine dies + platform down @ stream, tokens flow"
  std::string Name() const;
};

/// @brief Which cells are generated.
enum class MatrixExtent {
  kSingles,  ///< one fault per cell
  kPairs,    ///< two faults per cell, including the same fault twice
};

/// @brief Parses the input lists.
/// @param text JSON with "faults" and "activities"
/// @return the lists, or InvalidArgument with the parser's message
absl::StatusOr<MatrixLists> ParseMatrixLists(std::string_view text);

/// @brief Generates all cells, including those that are not applicable.
/// @note Complexity: number of faults (or pairs of faults) times steps.
std::vector<MatrixCell> GenerateMatrix(const MatrixLists& lists,
                                       MatrixExtent extent);

/// @brief Selects cells for a short run: one applicable cell for each fault and
/// activity, rotating through the applicable steps. The selection is
/// deterministic.
std::vector<MatrixCell> SelectShortRun(const std::vector<MatrixCell>& cells);

/// @brief Result of a cell.
enum class CellState { kNotRun, kPassed, kFailed, kNotApplicable };

/// @brief Results by cell name.
using CellStates = std::map<std::string, CellState>;

/// @brief Renders single-fault results as a table with one row per fault and
/// activity and one column per step, followed by a count of the cells that are
/// not applicable, by reason.
std::string RenderTable(const std::vector<MatrixCell>& cells,
                        const CellStates& states);

/// @brief Renders the results as a JSON list with one object per cell.
nlohmann::ordered_json RenderJson(const std::vector<MatrixCell>& cells,
                                  const CellStates& states);

}  // namespace limpetlink::scenario
