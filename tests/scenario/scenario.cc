#include "tests/scenario/scenario.h"

#include <utility>

namespace limpetlink::scenario {
namespace {

using Json = nlohmann::json;

/// Reads the members of one JSON object and collects validation errors.
class StepReader {
 public:
  StepReader(const Json& json, std::string pointer,
             std::vector<std::string>* errors)
      : json(json), pointer(std::move(pointer)), errors(errors) {}

  std::string Text(const char* member, bool required = false) {
    return this->Read<std::string>(member, required, "a string",
                                   [](const Json& v) { return v.is_string(); });
  }

  std::uint32_t Count(const char* member, std::uint32_t default_value) {
    if (!this->json.contains(member)) {
      return default_value;
    }
    return this->Read<std::uint32_t>(
        member, true, "an unsigned integer",
        [](const Json& v) { return v.is_number_unsigned(); });
  }

  Json Object(const char* member) {
    Json value = this->Read<Json>(member, false, "an object",
                                  [](const Json& v) { return v.is_object(); });
    return value.is_null() ? Json::object() : value;
  }

  void AddError(const std::string& message) {
    this->errors->push_back(this->pointer + ": " + message);
  }

  const Json& Value() const { return this->json; }

 private:
  template <typename T, typename IsValid>
  T Read(const char* member, bool required, const char* expected_type,
         IsValid is_valid) {
    const auto found = this->json.find(member);
    if (found == this->json.end()) {
      if (required) {
        this->AddError(std::string(member) + " is missing");
      }
      return T();
    }
    if (!is_valid(*found)) {
      this->AddError(std::string(member) + " must be " + expected_type);
      return T();
    }
    return found->template get<T>();
  }

  const Json& json;
  std::string pointer;
  std::vector<std::string>* errors;
};

CallStep ReadCall(StepReader* reader) {
  CallStep call;
  call.name = reader->Text("call", true);
  call.to = reader->Text("to", true);
  call.method = reader->Text("method");
  call.path = reader->Text("path", true);
  call.headers = reader->Object("headers");
  call.body = reader->Value().value("body", Json());
  call.resumed_call = reader->Text("continues");
  call.retries = reader->Value().value("comes_back", false);
  if (call.method.empty()) {
    call.method = "POST";
  }
  return call;
}

ApplyStep ReadApply(StepReader* reader) {
  ApplyStep apply;
  apply.name = reader->Text("apply", true);
  apply.base_version = reader->Count("base", 0);
  apply.set = reader->Object("set");
  return apply;
}

ExpectStep ReadExpect(StepReader* reader) {
  ExpectStep expect;
  expect.subject = reader->Text("expect", true);
  expect.expected = reader->Value();
  expect.expected.erase("expect");
  expect.expected.erase("within_s");
  const auto default_value =
      std::chrono::duration_cast<std::chrono::seconds>(ExpectStep().within);
  expect.within = std::chrono::seconds(reader->Count(
      "within_s", static_cast<std::uint32_t>(default_value.count())));
  if (expect.expected.empty()) {
    reader->AddError("has no expectation");
  }
  return expect;
}

RaceStep ReadRace(const Json& json, const std::string& pointer,
                  std::vector<std::string>* errors) {
  RaceStep race;
  const Json& list = json.at("race");
  for (std::size_t i = 0; list.is_array() && i < list.size(); ++i) {
    StepReader reader(list[i], pointer + "/race/" + std::to_string(i), errors);
    if (list[i].contains("call")) {
      race.steps.emplace_back(ReadCall(&reader));
    } else if (list[i].contains("apply")) {
      race.steps.emplace_back(ReadApply(&reader));
    } else {
      reader.AddError("only call and apply can race");
    }
  }
  if (race.steps.size() < 2) {
    errors->push_back(pointer + ": a race needs at least two steps");
  }
  return race;
}

/// Returns the enum value whose name is a member of the step.
template <typename Enum>
std::optional<Enum> FindVerb(const Json& json) {
  for (const auto& row : EnumTable<Enum>::kRows) {
    if (json.contains(std::string(row.name))) {
      return row.value;
    }
  }
  return std::nullopt;
}

std::optional<Step> ReadStep(const Json& json, const std::string& pointer,
                             std::vector<std::string>* errors) {
  StepReader reader(json, pointer, errors);
  if (!json.is_object()) {
    reader.AddError("must be an object");
    return std::nullopt;
  }
  if (json.contains("call")) {
    return ReadCall(&reader);
  }
  if (json.contains("apply")) {
    return ReadApply(&reader);
  }
  if (json.contains("expect")) {
    return ReadExpect(&reader);
  }
  if (json.contains("race")) {
    return ReadRace(json, pointer, errors);
  }
  if (const auto verb = FindVerb<ProcessVerb>(json)) {
    const std::string name(ToText(*verb));
    return ProcessStep{*verb, reader.Text(name.c_str(), true)};
  }
  if (const auto verb = FindVerb<FaultVerb>(json)) {
    const std::string name(ToText(*verb));
    return FaultStep{*verb, reader.Text(name.c_str(), true),
                     reader.Count("ms", 0), reader.Count("count", 1)};
  }
  reader.AddError("has no known verb");
  return std::nullopt;
}

bool MatchesRange(const Json& expected, const Json& observed) {
  if (!observed.is_number()) {
    return false;
  }
  const double value = observed.get<double>();
  const bool at_least =
      !expected.contains("least") || value >= expected["least"].get<double>();
  const bool at_most =
      !expected.contains("most") || value <= expected["most"].get<double>();
  return at_least && at_most;
}

}  // namespace

ScenarioParseResult ParseScenario(std::string_view text) {
  ScenarioParseResult result;
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) {
    result.errors.emplace_back("/: is not a JSON object");
    return result;
  }
  StepReader reader(json, "/", &result.errors);
  Scenario& scenario = result.scenario;
  scenario.name = reader.Text("scenario", true);
  scenario.guarantee = reader.Text("promise", true);
  const Json fleet = reader.Object("fleet");
  StepReader topology(fleet, "/fleet", &result.errors);
  scenario.topology.entries = topology.Count("entries", 2);
  scenario.topology.engines = topology.Count("engines", 3);
  scenario.topology.services = topology.Count("services", 1);
  const Json steps = json.value("steps", Json::array());
  for (std::size_t i = 0; i < steps.size(); ++i) {
    const std::string pointer = "/steps/" + std::to_string(i);
    const auto step = ReadStep(steps[i], pointer, &result.errors);
    if (step) {
      scenario.steps.push_back(*step);
      scenario.step_texts.push_back(steps[i].dump());
    }
  }
  if (steps.empty()) {
    result.errors.emplace_back("/steps: is missing or empty");
  }
  return result;
}

bool Matches(const Json& expected, const Json& observed) {
  if (expected.is_array()) {
    for (const Json& choice : expected) {
      if (Matches(choice, observed)) {
        return true;
      }
    }
    return false;
  }
  if (!expected.is_object()) {
    return expected == observed;
  }
  if (expected.contains("least") || expected.contains("most")) {
    return MatchesRange(expected, observed);
  }
  for (const auto& member : expected.items()) {
    const bool present =
        observed.is_object() && observed.contains(member.key());
    if (!present || !Matches(member.value(), observed[member.key()])) {
      return false;
    }
  }
  return true;
}

}  // namespace limpetlink::scenario
