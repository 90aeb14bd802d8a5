#include "fleet/detail/reader.h"

#include <cmath>
#include <utility>

#include "absl/strings/str_cat.h"

namespace limpetlink {
namespace {

absl::string_view View(std::string_view text) {
  return {text.data(), text.size()};
}

std::string RangeText(NumberRange range) {
  return absl::StrCat("from ", range.min, " to ", range.max);
}

bool Within(double number, NumberRange range) {
  return number >= range.min && number <= range.max;
}

}  // namespace

std::string MemberPointer(std::string_view pointer, std::string_view name) {
  std::string joined(pointer);
  joined += '/';
  for (const char c : name) {
    if (c == '~') {
      joined += "~0";
    } else if (c == '/') {
      joined += "~1";
    } else {
      joined += c;
    }
  }
  return joined;
}

std::string ElementPointer(std::string_view pointer, std::size_t index) {
  return absl::StrCat(View(pointer), "/", index);
}

ObjectReader::ObjectReader(const nlohmann::json& value, std::string pointer,
                           std::vector<FleetValidationError>* errors)
    : value(value), pointer(std::move(pointer)), errors(errors) {
  if (!value.is_object()) {
    errors->push_back({this->pointer, "must be an object"});
  }
}

void ObjectReader::String(std::string_view name, const StringFormat& format,
                          Presence presence, std::string* target) {
  const nlohmann::json* member = this->FindMember(name, presence);
  if (member == nullptr) {
    return;
  }
  const auto* text = member->get_ptr<const std::string*>();
  if (text == nullptr || !format.matches(*text)) {
    this->AddError(name, absl::StrCat("must be ", View(format.rule)));
    return;
  }
  *target = *text;
}

void ObjectReader::Strings(std::string_view name, const StringFormat& format,
                           CountRange range, Presence presence,
                           std::vector<std::string>* target) {
  const auto parse = [&format](const nlohmann::json& element,
                               std::string element_pointer,
                               std::vector<FleetValidationError>* errors) {
    const auto* text = element.get_ptr<const std::string*>();
    if (text == nullptr || !format.matches(*text)) {
      errors->push_back({std::move(element_pointer),
                         absl::StrCat("must be ", View(format.rule))});
    }
    return text != nullptr ? *text : std::string();
  };
  this->List(name, range, presence, parse, target);
}

void ObjectReader::Number(std::string_view name, NumberRange range,
                          Presence presence, double* target) {
  const nlohmann::json* member = this->FindMember(name, presence);
  if (member == nullptr) {
    return;
  }
  if (!member->is_number() || !Within(member->get<double>(), range)) {
    this->AddError(name, "must be a number " + RangeText(range));
    return;
  }
  *target = member->get<double>();
}

void ObjectReader::Count(std::string_view name, NumberRange range,
                         Presence presence, std::uint32_t* target) {
  const nlohmann::json* member = this->FindMember(name, presence);
  if (member == nullptr) {
    return;
  }
  const bool whole = member->is_number_integer();
  if (!whole || !Within(member->get<double>(), range)) {
    this->AddError(name, "must be an integer " + RangeText(range));
    return;
  }
  *target = member->get<std::uint32_t>();
}

void ObjectReader::Seconds(std::string_view name, NumberRange range,
                           Presence presence, Duration* target) {
  double seconds = ToSeconds(*target);
  this->Number(name, range, presence, &seconds);
  *target = Duration(std::llround(seconds * 1e6));
}

void ObjectReader::Flag(std::string_view name, Presence presence,
                        bool* target) {
  const nlohmann::json* member = this->FindMember(name, presence);
  if (member == nullptr) {
    return;
  }
  if (!member->is_boolean()) {
    this->AddError(name, "must be true or false");
    return;
  }
  *target = member->get<bool>();
}

void ObjectReader::AddError(std::string_view name, std::string message) {
  this->errors->push_back(
      {MemberPointer(this->pointer, name), std::move(message)});
}

void ObjectReader::Finish() {
  if (!this->value.is_object()) {
    return;
  }
  for (const auto& member : this->value.items()) {
    if (this->read_members.count(member.key()) == 0) {
      this->AddError(member.key(), "is not a known member");
    }
  }
}

const nlohmann::json* ObjectReader::FindMember(std::string_view name,
                                               Presence presence) {
  if (!this->value.is_object()) {
    return nullptr;
  }
  this->read_members.emplace(name);
  const auto found = this->value.find(std::string(name));
  if (found != this->value.end()) {
    return &*found;
  }
  if (presence == Presence::kRequired) {
    this->AddError(name, "is missing");
  }
  return nullptr;
}

const nlohmann::json* ObjectReader::FindList(std::string_view name,
                                             CountRange range,
                                             Presence presence) {
  const nlohmann::json* member = this->FindMember(name, presence);
  if (member == nullptr) {
    return nullptr;
  }
  if (!member->is_array()) {
    this->AddError(name, "must be a list");
    return nullptr;
  }
  if (member->size() < range.min || member->size() > range.max) {
    this->AddError(name, absl::StrCat("must have ", range.min, " to ",
                                      range.max, " elements"));
    return nullptr;
  }
  return member;
}

}  // namespace limpetlink
