#include <exception>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "fleet/detail/aggregates.h"
#include "fleet/fleet.h"

namespace limpetlink {
namespace {

/// Reports members that stand twice in one object, which the JSON reader would
/// silently merge.
class DuplicateMembers {
 public:
  explicit DuplicateMembers(FleetFaults* faults) : faults(faults) {}

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
        this->faults->push_back(
            {"",
             absl::StrCat("member \"", name, "\" stands twice in an object")});
      }
    }
    return true;
  }

 private:
  std::vector<std::set<std::string>> names;
  FleetFaults* faults;
};

nlohmann::json ReadJson(std::string_view text, FleetFaults* faults) {
  DuplicateMembers duplicates(faults);
  const auto callback = [&duplicates](int /*depth*/,
                                      nlohmann::json::parse_event_t event,
                                      nlohmann::json& parsed) {
    return duplicates(event, parsed);
  };
  try {
    return nlohmann::json::parse(text, callback);
  } catch (const nlohmann::json::exception& error) {
    faults->push_back(
        {"", absl::StrCat("is not readable JSON: ", error.what())});
    return nlohmann::json(nlohmann::json::value_t::discarded);
  }
}

}  // namespace

FleetParseResult ParseFleet(std::string_view text) {
  FleetParseResult result;
  if (text.size() > kMaxFleetBytes) {
    result.faults.push_back(
        {"", absl::StrCat("has ", text.size(), " bytes; at most ",
                          kMaxFleetBytes, " are allowed")});
    return result;
  }
  const nlohmann::json json = ReadJson(text, &result.faults);
  if (json.is_discarded()) {
    return result;
  }
  result.document = ParseFleetDocument(json, "", &result.faults);
  CheckDuplicates(result.document, &result.faults);
  CheckReferences(result.document, &result.faults);
  return result;
}

absl::Status StatusOf(const FleetParseResult& parsed) {
  if (parsed.Ok()) {
    return absl::OkStatus();
  }
  const FleetFault& first = parsed.faults.front();
  return MakeStatus(ErrorCode::kFleetInvalid,
                    first.pointer + ": " + first.message);
}

}  // namespace limpetlink
