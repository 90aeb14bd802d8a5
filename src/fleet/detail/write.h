/// @file
/// @brief The JSON form of a fleet document, for the slice's own use.
#pragma once

#include <nlohmann/json.hpp>

#include "fleet/detail/document.h"

namespace limpetlink {

/// @brief Builds the JSON form with a fixed order of members.
/// @param document any document
/// @return an object with every member, defaults included
nlohmann::ordered_json ToJson(const FleetDocument& document);

}  // namespace limpetlink
