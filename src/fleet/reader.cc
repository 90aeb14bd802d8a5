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
  return absl::StrCat("from ", range.least, " to ", range.most);
}

bool Within(double number, NumberRange range) {
  return number >= range.least && number <= range.most;
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

void ObjectReader::Text(std::string_view name, const TextShape& shape,
                        Presence presence, std::string* target) {
  const nlohmann::json* member = this->Take(name, presence);
  if (member == nullptr) {
    return;
  }
  const auto* text = member->get_ptr<const std::string*>();
  if (text == nullptr || !shape.fits(*text)) {
    this->Fault(name, absl::StrCat("must be ", View(shape.rule)));
    return;
  }
  *target = *text;
}

void ObjectReader::Texts(std::string_view name, const TextShape& shape,
                         CountRange range, Presence presence,
                         std::vector<std::string>* target) {
  const auto parse = [&shape](const nlohmann::json& element,
                              std::string element_pointer,
                              std::vector<FleetValidationError>* found) {
    const auto* text = element.get_ptr<const std::string*>();
    if (text == nullptr || !shape.fits(*text)) {
      found->push_back({std::move(element_pointer),
                        absl::StrCat("must be ", View(shape.rule))});
    }
    return text != nullptr ? *text : std::string();
  };
  this->List(name, range, presence, parse, target);
}

void ObjectReader::Number(std::string_view name, NumberRange range,
                          Presence presence, double* target) {
  const nlohmann::json* member = this->Take(name, presence);
  if (member == nullptr) {
    return;
  }
  if (!member->is_number() || !Within(member->get<double>(), range)) {
    this->Fault(name, "must be a number " + RangeText(range));
    return;
  }
  *target = member->get<double>();
}

void ObjectReader::Count(std::string_view name, NumberRange range,
                         Presence presence, std::uint32_t* target) {
  const nlohmann::json* member = this->Take(name, presence);
  if (member == nullptr) {
    return;
  }
  const bool whole = member->is_number_integer();
  if (!whole || !Within(member->get<double>(), range)) {
    this->Fault(name, "must be a whole number " + RangeText(range));
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
  const nlohmann::json* member = this->Take(name, presence);
  if (member == nullptr) {
    return;
  }
  if (!member->is_boolean()) {
    this->Fault(name, "must be true or false");
    return;
  }
  *target = member->get<bool>();
}

void ObjectReader::Fault(std::string_view name, std::string message) {
  this->errors->push_back(
      {MemberPointer(this->pointer, name), std::move(message)});
}

void ObjectReader::Finish() {
  if (!this->value.is_object()) {
    return;
  }
  for (const auto& member : this->value.items()) {
    if (this->asked.count(member.key()) == 0) {
      this->Fault(member.key(), "is not a known member");
    }
  }
}

const nlohmann::json* ObjectReader::Take(std::string_view name,
                                         Presence presence) {
  if (!this->value.is_object()) {
    return nullptr;
  }
  this->asked.emplace(name);
  const auto found = this->value.find(std::string(name));
  if (found != this->value.end()) {
    return &*found;
  }
  if (presence == Presence::kRequired) {
    this->Fault(name, "is missing");
  }
  return nullptr;
}

const nlohmann::json* ObjectReader::TakeList(std::string_view name,
                                             CountRange range,
                                             Presence presence) {
  const nlohmann::json* member = this->Take(name, presence);
  if (member == nullptr) {
    return nullptr;
  }
  if (!member->is_array()) {
    this->Fault(name, "must be a list");
    return nullptr;
  }
  if (member->size() < range.least || member->size() > range.most) {
    this->Fault(name, absl::StrCat("must have ", range.least, " to ",
                                   range.most, " elements"));
    return nullptr;
  }
  return member;
}

}  // namespace limpetlink
