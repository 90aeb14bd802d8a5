/// @file
/// @brief Measures the cost of single decisions of a loaded dispatcher.
#pragma once

#include <nlohmann/json.hpp>

namespace limpetlink::bench {

/// @brief Measures decisions at increasing numbers of workers and streams and
/// prints a table.
/// @return one row per size, with times in microseconds
nlohmann::json MeasureDecisionCosts();

}  // namespace limpetlink::bench
