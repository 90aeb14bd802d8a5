#include "absl/strings/str_cat.h"
#include "fleet/detail/keyed_list.h"
#include "fleet/detail/write.h"
#include "fleet/fleet.h"

namespace limpetlink {
namespace {

using Json = nlohmann::ordered_json;

bool IsChangeMetadata(const std::string& member) {
  return member == "change_id" || member == "author";
}

/// Compares the members of one aggregate. Both objects have the same members.
void DiffMembers(const std::string& subject, const Json& before,
                 const Json& after, std::vector<FleetDifference>* changes) {
  for (const auto& member : after.items()) {
    const Json& old_value = before.at(member.key());
    if (old_value != member.value()) {
      changes->push_back({FleetDifferenceKind::kChanged, subject, member.key(),
                          old_value.dump(), member.value().dump()});
    }
  }
}

void DiffList(const std::string& name, const Json& before, const Json& after,
              std::vector<FleetDifference>* changes) {
  const ListMatch match = MatchLists(before, after);
  for (const std::size_t index : match.removed) {
    changes->push_back({FleetDifferenceKind::kRemoved,
                        absl::StrCat(name, "/", ElementKey(before[index])), "",
                        before[index].dump(), ""});
  }
  for (std::size_t i = 0; i < after.size(); ++i) {
    const std::string subject = absl::StrCat(name, "/", ElementKey(after[i]));
    if (match.origins[i]) {
      DiffMembers(subject, before[*match.origins[i]], after[i], changes);
    } else {
      changes->push_back(
          {FleetDifferenceKind::kAdded, subject, "", "", after[i].dump()});
    }
  }
  if (!match.same_order) {
    changes->push_back({FleetDifferenceKind::kReordered, name, "", "", ""});
  }
}

}  // namespace

std::vector<FleetDifference> DiffFleet(const FleetDocument& before,
                                       const FleetDocument& after) {
  const Json old_json = ToJson(before);
  const Json new_json = ToJson(after);
  std::vector<FleetDifference> changes;
  for (const auto& member : new_json.items()) {
    if (IsChangeMetadata(member.key())) {
      continue;
    }
    const Json& old_value = old_json.at(member.key());
    if (member.value().is_array()) {
      DiffList(member.key(), old_value, member.value(), &changes);
    } else if (member.value().is_object()) {
      DiffMembers(member.key(), old_value, member.value(), &changes);
    } else if (old_value != member.value()) {
      changes.push_back({FleetDifferenceKind::kChanged, member.key(), "",
                         old_value.dump(), member.value().dump()});
    }
  }
  return changes;
}

std::string ToText(const FleetDifference& change) {
  const std::string_view kind = ToText(change.kind);
  std::string line = absl::StrCat(absl::string_view(kind.data(), kind.size()),
                                  " ", change.subject);
  switch (change.kind) {
    case FleetDifferenceKind::kAdded:
      return absl::StrCat(line, ": ", change.after);
    case FleetDifferenceKind::kRemoved:
      return absl::StrCat(line, ": ", change.before);
    case FleetDifferenceKind::kReordered:
      return line;
    case FleetDifferenceKind::kChanged:
      break;
  }
  const std::string member = change.member.empty() ? "" : change.member + " ";
  return absl::StrCat(line, ": ", member, change.before, " -> ", change.after);
}

}  // namespace limpetlink
