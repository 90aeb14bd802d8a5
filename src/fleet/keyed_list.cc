#include "fleet/detail/keyed_list.h"

#include <map>
#include <set>

namespace limpetlink {

std::string ElementKey(const nlohmann::ordered_json& element) {
  for (const char* member : {"id", "name"}) {
    if (element.is_object() && element.contains(member)) {
      return element[member].get<std::string>();
    }
  }
  return element.dump();
}

ListMatch MatchLists(const nlohmann::ordered_json& before,
                     const nlohmann::ordered_json& after) {
  std::map<std::string, std::size_t> positions;
  for (std::size_t i = 0; i < before.size(); ++i) {
    positions.emplace(ElementKey(before[i]), i);
  }
  ListMatch match;
  std::set<std::size_t> kept;
  std::optional<std::size_t> last;
  for (const auto& element : after) {
    const auto found = positions.find(ElementKey(element));
    if (found == positions.end()) {
      match.origins.emplace_back();
      continue;
    }
    match.same_order = match.same_order && (!last || *last < found->second);
    last = found->second;
    kept.insert(found->second);
    match.origins.emplace_back(found->second);
  }
  for (std::size_t i = 0; i < before.size(); ++i) {
    if (kept.count(i) == 0) {
      match.removed.push_back(i);
    }
  }
  return match;
}

}  // namespace limpetlink
