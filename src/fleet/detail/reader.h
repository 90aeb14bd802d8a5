/// @file
/// @brief Reads typed members of JSON objects and collects all validation
/// errors.
#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"
#include "fleet/detail/parse.h"
#include "fleet/detail/shapes.h"

namespace limpetlink {

/// @brief Whether a member may be absent.
enum class Presence { kRequired, kOptional };

/// @brief Inclusive range of a number.
struct NumberRange {
  double min = 0;
  double max = 0;
};

/// @brief Appends an escaped member name to a JSON pointer.
/// @param pointer JSON pointer of the object
/// @param name name of the member
/// @return JSON pointer of the member
std::string MemberPointer(std::string_view pointer, std::string_view name);

/// @brief Appends an element index to a JSON pointer.
/// @param pointer JSON pointer of the array
/// @param index index of the element
/// @return JSON pointer of the element
std::string ElementPointer(std::string_view pointer, std::size_t index);

/// @brief Reads the members of one object, each at most once. A member that is
/// absent or invalid leaves its target unchanged.
/// @note Example:
/// @code
/// ObjectReader reader(value, "/weights", &errors);
/// reader.Number("stall", {0, 1}, Presence::kRequired, &weights.stall);
/// reader.Finish();  // reports unknown members
/// @endcode
class ObjectReader {
 public:
  /// @param value the object to read; must outlive the reader
  /// @param pointer JSON pointer of the object
  /// @param errors receives validation errors; must outlive the reader
  ObjectReader(const nlohmann::json& value, std::string pointer,
               std::vector<FleetValidationError>* errors);

  /// @brief Reads a string of a given format.
  void String(std::string_view name, const StringFormat& format,
              Presence presence, std::string* target);

  /// @brief Reads a list of strings of a given format.
  /// @param range allowed number of elements
  void Strings(std::string_view name, const StringFormat& format,
               CountRange range, Presence presence,
               std::vector<std::string>* target);

  /// @brief Reads a number.
  void Number(std::string_view name, NumberRange range, Presence presence,
              double* target);

  /// @brief Reads an integer.
  void Count(std::string_view name, NumberRange range, Presence presence,
             std::uint32_t* target);

  /// @brief Reads a duration given in seconds, rounded to microseconds.
  void Seconds(std::string_view name, NumberRange range, Presence presence,
               Duration* target);

  /// @brief Reads a Boolean.
  void Flag(std::string_view name, Presence presence, bool* target);

  /// @brief Reads an enumerator by its name in EnumTable.
  template <typename Enum>
  void Choice(std::string_view name, Presence presence, Enum* target) {
    const nlohmann::json* value = this->FindMember(name, presence);
    if (value == nullptr) {
      return;
    }
    const auto* text = value->get_ptr<const std::string*>();
    const auto parsed = text != nullptr ? ParseEnum<Enum>(*text) : std::nullopt;
    if (parsed) {
      *target = *parsed;
      return;
    }
    std::string names;
    for (const auto& row : EnumTable<Enum>::kRows) {
      names += names.empty() ? "" : ", ";
      names += row.name;
    }
    this->AddError(name, "must be one of: " + names);
  }

  /// @brief Reads a list of aggregates.
  /// @param range allowed number of elements
  /// @param parse called as parse(element, pointer, errors); returns the
  /// aggregate
  template <typename T, typename Parse>
  void List(std::string_view name, CountRange range, Presence presence,
            Parse parse, std::vector<T>* target) {
    const nlohmann::json* value = this->FindList(name, range, presence);
    if (value == nullptr) {
      return;
    }
    target->clear();
    const std::string list_pointer = MemberPointer(this->pointer, name);
    for (std::size_t i = 0; i < value->size(); ++i) {
      target->push_back(
          parse((*value)[i], ElementPointer(list_pointer, i), this->errors));
    }
  }

  /// @brief Reads an aggregate.
  template <typename T, typename Parse>
  void Member(std::string_view name, Presence presence, Parse parse,
              T* target) {
    const nlohmann::json* value = this->FindMember(name, presence);
    if (value != nullptr) {
      *target = parse(*value, MemberPointer(this->pointer, name), this->errors);
    }
  }

  /// @brief Adds a validation error for one member.
  void AddError(std::string_view name, std::string message);

  /// @brief Adds a validation error for each member that was never read.
  void Finish();

 private:
  const nlohmann::json* FindMember(std::string_view name, Presence presence);
  const nlohmann::json* FindList(std::string_view name, CountRange range,
                                 Presence presence);

  const nlohmann::json& value;
  std::string pointer;
  std::vector<FleetValidationError>* errors;
  std::set<std::string, std::less<>> read_members;
};

}  // namespace limpetlink
