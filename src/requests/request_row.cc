#include "requests/detail/request_row.h"

#include <nlohmann/json.hpp>

namespace limpetlink {

std::string ToRequestsJson(const std::vector<RequestRow>& rows, Instant now) {
  nlohmann::json list = nlohmann::json::array();
  for (const RequestRow& row : rows) {
    list.push_back({{"id", row.id.value},
                    {"organisation", row.organisation.value},
                    {"what", row.summary},
                    {"state", ToText(row.state)},
                    {"reason", row.reason},
                    {"place", row.position},
                    {"expected_wait_s", ToSeconds(row.expected_wait)},
                    {"age_s", ToSeconds(now - row.since)},
                    {"in_state_s", ToSeconds(now - row.state_since)},
                    {"deadline_in_s", ToSeconds(row.deadline - now)},
                    {"trace_id", row.trace_id},
                    {"caller_left", row.caller_left},
                    {"overdue", row.overdue}});
  }
  const nlohmann::json body = {{"requests", std::move(list)}};
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace limpetlink
