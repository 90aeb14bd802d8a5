/// @file
/// @brief Helpers that create the response actions for callers.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "base/base.h"
#include "ports/ports.h"

namespace limpetlink {

/// @brief Responds with a complete body.
/// @param actions receives the response actions
/// @param id the request
/// @param status HTTP status
/// @param content_type media type of the body
/// @param body the body
void ReplyWithBody(Actions& actions, RequestId id, int status,
                   std::string content_type, std::string body);

/// @brief Responds with a JSON body.
void ReplyJson(Actions& actions, RequestId id, int status,
               const nlohmann::json& body);

/// @brief Responds with application/problem+json, and with Retry-After in whole
/// seconds if the problem has a retry time.
void ReplyProblem(Actions& actions, RequestId id, const Problem& problem);

/// @brief Renders JSON on one line; invalid UTF-8 is replaced.
std::string DumpJson(const nlohmann::json& value);

/// @brief Renders the value of a Retry-After header.
/// @param wait time to wait
/// @return whole seconds, rounded up, at least 1
std::string RetryAfterValue(Duration wait);

}  // namespace limpetlink
