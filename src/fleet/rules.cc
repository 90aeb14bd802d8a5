#include "fleet/detail/rules.h"

namespace limpetlink {

bool PrefixMatches(std::string_view prefix, std::string_view path) {
  if (path.substr(0, prefix.size()) != prefix) {
    return false;
  }
  const bool whole =
      path.size() == prefix.size() || prefix.empty() || prefix.back() == '/';
  return whole || path[prefix.size()] == '/';
}

const ServiceRule* FindRule(const Service& service, std::string_view method,
                            std::string_view path) {
  for (const ServiceRule& rule : service.rules) {
    const bool method_fits = rule.method == "*" || rule.method == method;
    if (method_fits && PrefixMatches(rule.path_prefix, path)) {
      return &rule;
    }
  }
  return nullptr;
}

}  // namespace limpetlink
