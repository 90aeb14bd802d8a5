/// @file
/// @brief Reading and writing the fleet document.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "fleet/detail/document.h"

namespace limpetlink {

/// @brief Greatest size of a document's text in bytes: what the platform's
/// object API holds in one value.
inline constexpr std::size_t kMaxFleetBytes = 1000000;

/// @brief One fault of a document.
struct FleetValidationError {
  std::string
      pointer;  ///< JSON pointer to the value at fault, as "/routes/0/model"
  std::string message;  ///< what is wrong, for a person
};

/// @brief A parsed document, or every fault found.
struct FleetParseResult {
  FleetDocument document;  ///< meaningful only without errors
  std::vector<FleetValidationError>
      errors;  ///< empty when the document is valid

  /// @return whether the document is valid
  bool Ok() const { return this->errors.empty(); }
};

/// @brief Parses and validates a fleet document.
/// @param text JSON
/// @return the document, or all errors at once (fleet.101 for unreadable JSON,
/// fleet.102 for the
///         rest)
/// @note Complexity: linear in the text's size, but for references (n log n).
FleetParseResult ParseFleet(std::string_view text);

/// @brief How a document is laid out as text.
enum class FleetLayout {
  kCompact,   ///< one line, for the platform
  kIndented,  ///< one member a line, for version control
};

/// @brief Says whether a document is valid, for callers that need no list.
/// @return ok, or fleet.102 with the first fault
absl::Status StatusOf(const FleetParseResult& parsed);

/// @brief Writes a document as JSON with a fixed order of members.
/// @param document a valid document
/// @param layout one line, or one member a line
/// @return JSON text that ParseFleet reads back to an equal document
std::string WriteFleet(const FleetDocument& document,
                       FleetLayout layout = FleetLayout::kCompact);

}  // namespace limpetlink
