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
  std::vector<std::size_t> removed;  ///< indexes in the older list, ascending
  /// For each element of the newer list, its index in the older list.
  std::vector<std::optional<std::size_t>> origins;
  bool same_order = true;  ///< whether common elements kept their order
};

/// @brief Gives the identifier of a list's element.
/// @param element an object
/// @return its "id" or "name"; for others the element's JSON text
std::string ElementKey(const nlohmann::ordered_json& element);

/// @brief Matches two lists.
/// @param before the older list, identifiers unique
/// @param after the newer list, identifiers unique
/// @note Complexity: n log n.
ListMatch MatchLists(const nlohmann::ordered_json& before,
                     const nlohmann::ordered_json& after);

}  // namespace limpetlink
