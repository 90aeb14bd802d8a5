#include <nlohmann/json.hpp>

#include "gateway/detail/gateway_host.h"

namespace limpetlink {

void GatewayHost::ServeOperator(Instant now, const CallerRequest& request) {
  int status = 200;
  std::string type = "text/plain; charset=utf-8";
  std::string body = "ok\n";
  if (request.path == this->codec.ready_path) {
    const bool ready = this->Ready(now);
    status = ready ? 200 : 503;
    body = ready ? "ready\n" : "not ready\n";
  } else if (request.path == "/metrics") {
    body = this->metrics.Render();
  } else if (request.path == "/v1/requests") {
    type = "application/json";
    body = this->RenderRequests(now);
  } else if (request.path == "/v1/limits") {
    type = "application/json";
    body = this->RenderLimits(now);
  } else if (request.path == "/v1/quarantine") {
    type = "application/json";
    body = this->RenderQuarantine(now);
  } else if (request.path == "/v1/quarantine/release" &&
             request.method == "POST") {
    const bool released = this->ReleaseInput(now, request.body);
    status = released ? 200 : 404;
    body = released ? "released\n" : "no such input\n";
  } else if (request.path != "/healthz") {
    status = 404;
    body = "no such page\n";
  }
  this->actions.emplace_back(
      ReplyHead{request.id, status, {{"Content-Type", std::move(type)}}});
  this->actions.emplace_back(ReplyBody{request.id, std::move(body)});
  this->actions.emplace_back(ReplyEnd{request.id, false});
}

std::string GatewayHost::RenderRequests(Instant now) const {
  nlohmann::json rows = nlohmann::json::array();
  for (const auto& [id, flow] : this->forwarding.Flows()) {
    nlohmann::json workers = nlohmann::json::array();
    for (const Attempt& attempt : flow.running) {
      workers.push_back(attempt.worker.value);
    }
    rows.push_back({{"request", flow.metadata.request_id},
                    {"route", flow.route == nullptr ? "" : flow.route->name},
                    {"age_seconds", ToSeconds(now - flow.arrived)},
                    {"deadline_seconds", ToSeconds(flow.deadline - now)},
                    {"delivering", flow.delivering},
                    {"workers", std::move(workers)}});
  }
  const nlohmann::json page = {{"requests", std::move(rows)}};
  return page.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string GatewayHost::RenderLimits(Instant now) const {
  nlohmann::json rows = nlohmann::json::array();
  for (const LimitedWorker& each : this->forwarding.Allowances().Limited(now)) {
    rows.push_back({{"worker", each.worker.value},
                    {"per_second", each.per_second},
                    {"host_per_second", each.host_per_second},
                    {"ending", each.ending},
                    {"heard_seconds_ago", ToSeconds(each.heard_age)}});
  }
  const nlohmann::json page = {{"workers", std::move(rows)}};
  return page.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string GatewayHost::RenderQuarantine(Instant now) const {
  nlohmann::json rows = nlohmann::json::array();
  for (const QuarantinedInput& input : this->quarantine.Quarantined(now)) {
    nlohmann::json workers = nlohmann::json::array();
    for (const UpstreamId& worker : input.workers) {
      workers.push_back(worker.value);
    }
    rows.push_back({{"input", input.id},
                    {"crashes", input.crashes},
                    {"last_crash_seconds_ago", ToSeconds(input.last_crash_age)},
                    {"workers", std::move(workers)}});
  }
  const nlohmann::json page = {{"inputs", std::move(rows)}};
  return page.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

bool GatewayHost::ReleaseInput(Instant now, const std::string& id) {
  if (!this->quarantine.RecordSound(now, id)) {
    return false;
  }
  this->Log(LogLevel::kWarning, "input released by an operator",
            {{"input", id}});
  this->neighbours.OnGossipChanged(now);
  this->quarantine_changed = true;
  return true;
}

}  // namespace limpetlink
