/// @file
/// @brief Matching of requests with service rules.
#pragma once

#include <string_view>

#include "fleet/detail/document.h"

namespace limpetlink {

/// @brief Returns whether a path starts with a rule's prefix, by whole
/// segments: "/recipes" matches "/recipes" and "/recipes/7", not
/// "/recipes-old".
/// @param prefix ServiceRule::path_prefix
/// @param path below the service, without the query
bool PrefixMatches(std::string_view prefix, std::string_view path);

/// @brief Finds the rule that applies to a request.
/// @param service the service with its ordered rules
/// @param method HTTP method of the request
/// @param path below the service, without the query
/// @return the first rule that matches the method and the path; nullptr if
/// there is none, which means not idempotent
/// @note Complexity: linear in the number of rules.
const ServiceRule* FindRule(const Service& service, std::string_view method,
                            std::string_view path);

}  // namespace limpetlink
