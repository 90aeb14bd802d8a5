/// @file
/// @brief Matches the elements of two JSON lists by their identifiers.
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace limpetlink {

/// @brief How the elements of two lists correspond.
struct ListMatch {
  std::vector<std::size_t> removed;  ///< indices in the older list, ascending
  /// Index in the older list of each element of the newer one; empty for a new
  /// element.
  std::vector<std::optional<std::size_t>> origins;
  bool same_order = true;  ///< whether common elements kept their order
};

/// @brief Returns the identifier of a list element.
/// @param element any JSON value
/// @return its "id" or "name"; the element's JSON text if it has neither
std::string ElementKey(const nlohmann::ordered_json& element);

/// @brief Matches the elements of two lists by their identifiers.
/// @param before the older list; identifiers must be unique
/// @param after the newer list; identifiers must be unique
/// @note Complexity: n log n in the number of elements.
ListMatch MatchLists(const nlohmann::ordered_json& before,
                     const nlohmann::ordered_json& after);

}  // namespace limpetlink
