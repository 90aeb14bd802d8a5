/// @file
/// @brief Parsing and writing of fleet documents.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "fleet/detail/document.h"

namespace limpetlink {

/// @brief Maximum size of a document's text in bytes. This is the value limit
/// of the platform's object API.
inline constexpr std::size_t kMaxFleetBytes = 1000000;

/// @brief One validation error of a document.
struct FleetValidationError {
  /// JSON pointer to the invalid value, for example "/routes/0/model".
  std::string pointer;
  std::string message;  ///< human-readable description
};

/// @brief A parsed document, or all its validation errors.
struct FleetParseResult {
  FleetDocument document;  ///< valid only if there are no errors
  /// Empty if the document is valid.
  std::vector<FleetValidationError> errors;

  /// @return whether the document is valid
  bool Ok() const { return this->errors.empty(); }
};

/// @brief Parses and validates a fleet document.
/// @param text JSON
/// @return the document, or all validation errors at once, including JSON
/// syntax errors
/// @note Complexity: linear in the text's size, except for references (n log
/// n).
FleetParseResult ParseFleet(std::string_view text);

/// @brief Layout of a document's text.
enum class FleetLayout {
  kCompact,   ///< a single line, for the platform
  kIndented,  ///< one member per line, for version control
};

/// @brief Converts a parse result to a status, for callers that need no list of
/// errors.
/// @return OK, or fleet.102 with the first error
absl::Status StatusOf(const FleetParseResult& parsed);

/// @brief Serializes a document as JSON with a fixed order of members.
/// @param document a valid document
/// @param layout a single line, or one member per line
/// @return JSON text that ParseFleet parses to an equal document
std::string WriteFleet(const FleetDocument& document,
                       FleetLayout layout = FleetLayout::kCompact);

}  // namespace limpetlink
