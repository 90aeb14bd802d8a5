/// @file
/// @brief Measures the messages between dispatchers at the target size.
#pragma once

#include <nlohmann/json.hpp>

namespace limpetlink::bench {

/// @brief Simulates hosts that share the workers of one model and prints the
/// messages and bytes per host and request.
/// @return one row per load
nlohmann::json MeasureTraffic();

}  // namespace limpetlink::bench
