#include "entry/detail/reply.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace limpetlink {

void ReplyWithBody(Actions& actions, RequestId id, int status,
                   std::string content_type, std::string body) {
  Headers headers = {{"Content-Type", std::move(content_type)}};
  actions.push_back(ReplyHead{id, status, std::move(headers)});
  actions.push_back(ReplyBody{id, std::move(body)});
  actions.push_back(ReplyEnd{id, false});
}

void ReplyJson(Actions& actions, RequestId id, int status,
               const nlohmann::json& body) {
  ReplyWithBody(actions, id, status, "application/json", DumpJson(body));
}

void ReplyProblem(Actions& actions, RequestId id, const Problem& problem) {
  Headers headers = {{"Content-Type", "application/problem+json"}};
  if (problem.retry_after) {
    headers.push_back({"Retry-After", RetryAfterValue(*problem.retry_after)});
  }
  if (problem.code == ErrorCode::kRequestNoKey) {
    headers.push_back({"WWW-Authenticate", "Bearer"});
  }
  actions.push_back(
      ReplyHead{id, Describe(problem.code).http_status, std::move(headers)});
  actions.push_back(ReplyBody{id, ToProblemJson(problem)});
  actions.push_back(ReplyEnd{id, false});
}

std::string DumpJson(const nlohmann::json& value) {
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string RetryAfterValue(Duration wait) {
  constexpr Duration kSecond = std::chrono::seconds(1);
  const auto seconds = (wait + kSecond - Duration(1)) / kSecond;
  return std::to_string(std::max<std::int64_t>(1, seconds));
}

}  // namespace limpetlink
