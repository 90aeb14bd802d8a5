/// @file
/// @brief Reads typed members from JSON objects and collects every fault.
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

/// @brief Range of a number, ends included.
struct NumberRange {
  double least = 0;
  double most = 0;
};

/// @brief Joins a JSON pointer and a member's name, escaped.
/// @param pointer of the object
/// @param name of the member
/// @return pointer of the member
std::string MemberPointer(std::string_view pointer, std::string_view name);

/// @brief Joins a JSON pointer and an element's index.
/// @param pointer of the array
/// @param index of the element
/// @return pointer of the element
std::string ElementPointer(std::string_view pointer, std::size_t index);

/// @brief Reads one object's members, each at most once. A member that is
/// absent or at fault leaves the target as it is.
/// @note Example:
/// @code
/// ObjectReader reader(value, "/weights", &errors);
/// reader.Number("stall", {0, 1}, Presence::kRequired, &weights.stall);
/// reader.Finish();  // names the members that nothing asked for
/// @endcode
class ObjectReader {
 public:
  /// @param value what should be an object; outlives the reader
  /// @param pointer its JSON pointer
  /// @param errors where errors are added; outlives the reader
  ObjectReader(const nlohmann::json& value, std::string pointer,
               std::vector<FleetValidationError>* errors);

  /// @brief Reads a text of a given shape.
  void Text(std::string_view name, const TextShape& shape, Presence presence,
            std::string* target);

  /// @brief Reads a list of texts of a given shape.
  /// @param range how many there may be
  void Texts(std::string_view name, const TextShape& shape, CountRange range,
             Presence presence, std::vector<std::string>* target);

  /// @brief Reads a number.
  void Number(std::string_view name, NumberRange range, Presence presence,
              double* target);

  /// @brief Reads a whole number.
  void Count(std::string_view name, NumberRange range, Presence presence,
             std::uint32_t* target);

  /// @brief Reads a number of seconds as a duration.
  void Seconds(std::string_view name, NumberRange range, Presence presence,
               Duration* target);

  /// @brief Reads true or false.
  void Flag(std::string_view name, Presence presence, bool* target);

  /// @brief Reads the name of an enum's value.
  template <typename Enum>
  void Choice(std::string_view name, Presence presence, Enum* target) {
    const nlohmann::json* value = this->Take(name, presence);
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
    this->Fault(name, "must be one of: " + names);
  }

  /// @brief Reads a list of aggregates.
  /// @param range how many there may be
  /// @param parse called as parse(element, pointer, errors), returns the
  /// aggregate
  template <typename T, typename Parse>
  void List(std::string_view name, CountRange range, Presence presence,
            Parse parse, std::vector<T>* target) {
    const nlohmann::json* value = this->TakeList(name, range, presence);
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
    const nlohmann::json* value = this->Take(name, presence);
    if (value != nullptr) {
      *target = parse(*value, MemberPointer(this->pointer, name), this->errors);
    }
  }

  /// @brief Adds a fault of one member.
  void Fault(std::string_view name, std::string message);

  /// @brief Adds a fault for each member that was never asked for.
  void Finish();

 private:
  const nlohmann::json* Take(std::string_view name, Presence presence);
  const nlohmann::json* TakeList(std::string_view name, CountRange range,
                                 Presence presence);

  const nlohmann::json& value;
  std::string pointer;
  std::vector<FleetValidationError>* errors;
  std::set<std::string, std::less<>> asked;
};

}  // namespace limpetlink
