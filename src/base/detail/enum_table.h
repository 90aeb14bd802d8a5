/// @file
/// @brief The one idiom for enum-to-text tables.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace limpetlink {

/// @brief One row of a table of names.
template <typename Enum>
struct EnumName {
  Enum value;
  std::string_view name;
};

/// @brief Names of an enum's values; specialise with `static constexpr
/// EnumName<Enum> kRows[]`.
/// @note Example:
/// @code
/// enum class Colour { kRed, kBlue };
/// template <> struct EnumTable<Colour> {
///   static constexpr EnumName<Colour> kRows[] = {{Colour::kRed, "red"},
///   {Colour::kBlue, "blue"}};
/// };
/// ToText(Colour::kRed);           // "red"
/// ParseEnum<Colour>("blue");      // Colour::kBlue
/// @endcode
template <typename Enum>
struct EnumTable;

/// @brief Gives an enum value's name.
/// @param value a value listed in the enum's table
/// @return the name, or "?" for a value outside the table
/// @note Complexity: linear in the table's size.
template <typename Enum>
constexpr std::string_view ToText(Enum value) {
  for (const auto& row : EnumTable<Enum>::kRows) {
    if (row.value == value) {
      return row.name;
    }
  }
  return "?";
}

/// @brief Finds the enum value that a name stands for.
/// @param name the text, matched exactly
/// @return the value, or nothing when no row has that name
/// @note Complexity: linear in the table's size.
template <typename Enum>
constexpr std::optional<Enum> ParseEnum(std::string_view name) {
  for (const auto& row : EnumTable<Enum>::kRows) {
    if (row.name == name) {
      return row.value;
    }
  }
  return std::nullopt;
}

}  // namespace limpetlink
