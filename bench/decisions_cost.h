/// @file
/// @brief Times single decisions of a dispatcher that is in use.
#pragma once

#include <nlohmann/json.hpp>

namespace limpetlink::bench {

/// @brief Times decisions at growing numbers of workers and streams; prints a
/// table.
/// @return microseconds for each size
nlohmann::json MeasureDecisionCosts();

}  // namespace limpetlink::bench
