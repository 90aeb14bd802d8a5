#include "absl/strings/str_cat.h"
#include "fleet/detail/keyed_list.h"
#include "fleet/detail/reader.h"
#include "fleet/detail/write.h"
#include "fleet/fleet.h"

namespace limpetlink {
namespace {

using Json = nlohmann::ordered_json;

void AddOperation(std::string_view kind, std::string path, const Json* value,
                  Json* patch) {
  Json operation = {{"op", kind}, {"path", std::move(path)}};
  if (value != nullptr) {
    operation["value"] = *value;
  }
  patch->push_back(std::move(operation));
}

/// Adds the operations that convert one object into another, by member.
void PatchMembers(const std::string& pointer, const Json& before,
                  const Json& after, Json* patch) {
  for (const auto& member : before.items()) {
    if (!after.contains(member.key())) {
      AddOperation("remove", MemberPointer(pointer, member.key()), nullptr,
                   patch);
    }
  }
  for (const auto& member : after.items()) {
    const bool present = before.contains(member.key());
    if (!present || before.at(member.key()) != member.value()) {
      AddOperation(present ? "replace" : "add",
                   MemberPointer(pointer, member.key()), &member.value(),
                   patch);
    }
  }
}

void PatchList(const std::string& pointer, const Json& before,
               const Json& after, Json* patch) {
  const ListMatch match = MatchLists(before, after);
  if (!match.same_order) {
    AddOperation("replace", pointer, &after, patch);
    return;
  }
  for (auto it = match.removed.rbegin(); it != match.removed.rend(); ++it) {
    AddOperation("remove", ElementPointer(pointer, *it), nullptr, patch);
  }
  for (std::size_t i = 0; i < after.size(); ++i) {
    const std::string element = ElementPointer(pointer, i);
    if (match.origins[i]) {
      PatchMembers(element, before[*match.origins[i]], after[i], patch);
    } else {
      AddOperation("add", element, &after[i], patch);
    }
  }
}

/// Returns a document without its lists, which are patched by element.
Json WithoutLists(Json document) {
  Json rest = Json::object();
  for (const auto& member : document.items()) {
    if (!member.value().is_array()) {
      rest[member.key()] = member.value();
    }
  }
  return rest;
}

}  // namespace

std::string MakeFleetPatch(const FleetDocument& before,
                           const FleetDocument& after) {
  const Json old_json = ToJson(before);
  const Json new_json = ToJson(after);
  Json patch = Json::array();
  PatchMembers("", WithoutLists(old_json), WithoutLists(new_json), &patch);
  for (const auto& member : new_json.items()) {
    if (member.value().is_array()) {
      PatchList(MemberPointer("", member.key()), old_json.at(member.key()),
                member.value(), &patch);
    }
  }
  return patch.dump();
}

FleetParseResult PatchFleet(const FleetDocument& before,
                            std::string_view patch) {
  FleetParseResult result;
  try {
    const Json operations = Json::parse(patch);
    return ParseFleet(ToJson(before).patch(operations).dump());
  } catch (const Json::exception& error) {
    result.errors.push_back(
        {"", absl::StrCat("the patch cannot be applied: ", error.what())});
  }
  return result;
}

}  // namespace limpetlink
