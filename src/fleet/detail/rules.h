/// @file
/// @brief Matching of service rules.
#pragma once

#include <string_view>

#include "fleet/detail/document.h"

namespace limpetlink {

/// @brief Whether a rule's prefix covers a path, by whole segments:
/// "/recipes" covers "/recipes" and "/recipes/7", not "/recipes-old".
/// @param prefix as in ServiceRule
/// @param path below the service, without the query
bool PrefixCovers(std::string_view prefix, std::string_view path);

/// @brief Finds the rule that decides on a request.
/// @param service its rules in order
/// @param method of the request
/// @param path below the service, without the query
/// @return the first rule that covers both, or nullptr: not idempotent
/// @note Complexity: linear in the number of rules.
const ServiceRule* FindRule(const Service& service, std::string_view method,
                            std::string_view path);

}  // namespace limpetlink
