/// @file
/// @brief Conversion between enum values and their names.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace limpetlink {

/// @brief The name of one enum value.
template <typename Enum>
struct EnumName {
  Enum value;
  std::string_view name;
};

/// @brief Maps an enum's values to names.
///
/// Specialise it with a member `static constexpr EnumName<Enum> kRows[]`.
/// @note Example:
/// @code
/// enum class Colour { kRed, kBlue };
/// template <>
/// struct EnumTable<Colour> {
///   static constexpr EnumName<Colour> kRows[] = {
///       {Colour::kRed, "red"}, {Colour::kBlue, "blue"}};
/// };
/// ToText(Colour::kRed);           // "red"
/// ParseEnum<Colour>("blue");      // Colour::kBlue
/// @endcode
template <typename Enum>
struct EnumTable;

/// @brief Returns the name of an enum value.
/// @param value a value of the enum
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

/// @brief Returns the enum value with a given name.
/// @param name the text, matched exactly
/// @return the value, or std::nullopt when no value has that name
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
