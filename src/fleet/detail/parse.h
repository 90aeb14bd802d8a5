/// @file
/// @brief Reading and writing the fleet document.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "fleet/detail/document.h"

namespace limpetlink {

/// @brief One fault of a document.
struct FleetFault {
  std::string
      pointer;  ///< JSON pointer to the value at fault, as "/routes/0/model"
  std::string message;  ///< what is wrong, for a person
};

/// @brief A parsed document, or every fault found.
struct FleetParseResult {
  FleetDocument document;          ///< meaningful only without faults
  std::vector<FleetFault> faults;  ///< empty when the document is valid

  /// @return whether the document is valid
  bool Ok() const { return this->faults.empty(); }
};

/// @brief Parses and validates a fleet document.
/// @param text JSON
/// @return the document, or all faults at once (fleet.101 for unreadable JSON,
/// fleet.102 for the
///         rest)
/// @note Complexity: linear in the text's size, but for references (n log n).
FleetParseResult ParseFleet(std::string_view text);

/// @brief Writes a document as JSON with a fixed order of members.
/// @param document a valid document
/// @return JSON text that ParseFleet reads back to an equal document
std::string WriteFleet(const FleetDocument& document);

}  // namespace limpetlink
