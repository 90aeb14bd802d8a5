/// @file
/// @brief Counts what dispatchers tell each other at the size designed for.
#pragma once

#include <nlohmann/json.hpp>

namespace limpetlink::bench {

/// @brief Runs hosts that share the workers of one model, and prints messages
/// and bytes for each host and request.
/// @return the figures for several loads
nlohmann::json MeasureTraffic();

}  // namespace limpetlink::bench
