/// @file
/// @brief Answers to callers in the few shapes that the host gives them.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "base/base.h"
#include "ports/ports.h"

namespace limpetlink {

/// @brief Answers with a whole body.
/// @param actions where the orders go
/// @param id the request
/// @param status HTTP status
/// @param content_type the body's media type
/// @param body the body
void ReplyWithBody(Actions& actions, RequestId id, int status,
                   std::string content_type, std::string body);

/// @brief Answers with JSON.
void ReplyJson(Actions& actions, RequestId id, int status,
               const nlohmann::json& body);

/// @brief Answers with problem+json, and Retry-After in whole seconds where the
/// problem says when
///        to come back.
void ReplyProblem(Actions& actions, RequestId id, const Problem& problem);

/// @brief Writes JSON on one line; bytes that are no UTF-8 are replaced.
std::string DumpJson(const nlohmann::json& value);

/// @brief Gives the value of a Retry-After header.
/// @param wait how long to wait
/// @return whole seconds, rounded up, at least 1
std::string RetryAfterValue(Duration wait);

}  // namespace limpetlink
