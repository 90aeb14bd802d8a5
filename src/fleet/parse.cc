#include <exception>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "fleet/detail/aggregates.h"
#include "fleet/fleet.h"

namespace limpetlink {
namespace {

/// Reports duplicate members of an object, which the JSON parser would merge
/// silently.
class DuplicateMembers {
 public:
  explicit DuplicateMembers(FleetValidationErrors* errors) : errors(errors) {}

  bool operator()(nlohmann::json::parse_event_t event,
                  const nlohmann::json& parsed) {
    using ParseEvent = nlohmann::json::parse_event_t;
    if (event == ParseEvent::object_start) {
      this->names.emplace_back();
    } else if (event == ParseEvent::object_end) {
      this->names.pop_back();
    } else if (event == ParseEvent::key) {
      const auto& name = parsed.get_ref<const std::string&>();
      if (!this->names.back().insert(name).second) {
        this->errors->push_back(
            {"",
             absl::StrCat("member \"", name, "\" occurs twice in an object")});
      }
    }
    return true;
  }

 private:
  std::vector<std::set<std::string>> names;
  FleetValidationErrors* errors;
};

nlohmann::json ReadJson(std::string_view text, FleetValidationErrors* errors) {
  DuplicateMembers duplicates(errors);
  const auto callback = [&duplicates](int /*depth*/,
                                      nlohmann::json::parse_event_t event,
                                      nlohmann::json& parsed) {
    return duplicates(event, parsed);
  };
  try {
    return nlohmann::json::parse(text, callback);
  } catch (const nlohmann::json::exception& error) {
    errors->push_back({"", absl::StrCat("is not valid JSON: ", error.what())});
    return nlohmann::json(nlohmann::json::value_t::discarded);
  }
}

}  // namespace

FleetParseResult ParseFleet(std::string_view text) {
  FleetParseResult result;
  if (text.size() > kMaxFleetBytes) {
    result.errors.push_back(
        {"", absl::StrCat("has ", text.size(), " bytes; at most ",
                          kMaxFleetBytes, " are allowed")});
    return result;
  }
  const nlohmann::json json = ReadJson(text, &result.errors);
  if (json.is_discarded()) {
    return result;
  }
  result.document = ParseFleetDocument(json, "", &result.errors);
  CheckDuplicates(result.document, &result.errors);
  CheckReferences(result.document, &result.errors);
  return result;
}

absl::Status StatusOf(const FleetParseResult& parsed) {
  if (parsed.Ok()) {
    return absl::OkStatus();
  }
  const FleetValidationError& first = parsed.errors.front();
  return MakeStatus(ErrorCode::kFleetInvalid,
                    first.pointer + ": " + first.message);
}

}  // namespace limpetlink
