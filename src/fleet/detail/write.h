/// @file
/// @brief JSON representation of a fleet document. Internal to this library.
#pragma once

#include <nlohmann/json.hpp>

#include "fleet/detail/document.h"

namespace limpetlink {

/// @brief Converts a document to JSON with a fixed order of members.
/// @param document any document
/// @return an object with all members, including defaults; an empty change ID
/// or author is left out
nlohmann::ordered_json ToJson(const FleetDocument& document);

}  // namespace limpetlink
