#include "entry/detail/operator_endpoints.h"

#include <nlohmann/json.hpp>

#include "entry/detail/caller_access.h"
#include "entry/detail/reply.h"

namespace limpetlink {
namespace {

using nlohmann::json;

}  // namespace

OperatorEndpoints::OperatorEndpoints(HostContext& shared,
                                     const ClusterSync& cluster,
                                     std::function<void()> begin_drain)
    : shared(shared), cluster(cluster), begin_drain(std::move(begin_drain)) {}

bool OperatorEndpoints::Handle(const CallerRequest& request) {
  if (request.path == "/healthz") {
    ReplyWithBody(this->shared.actions, request.id, 200, "text/plain", "ok\n");
  } else if (request.path == "/readyz") {
    this->ReplyReadiness(request.id);
  } else if (request.path == "/metrics") {
    ReplyWithBody(this->shared.actions, request.id, 200,
                  "text/plain; version=0.0.4", this->shared.metrics.Render());
  } else if (request.path == "/v1/status") {
    this->ReplyStatus(request.id);
  } else if (request.path == "/v1/requests") {
    this->ReplyRequests(request);
  } else if (request.path == "/v1/drain") {
    this->HandleDrain(request);
  } else {
    return false;
  }
  return true;
}

void OperatorEndpoints::ReplyReadiness(RequestId id) {
  if (this->shared.draining) {
    ReplyProblem(this->shared.actions, id,
                 {ErrorCode::kHostShuttingDown, Outcome::kNotRun, "draining",
                  std::nullopt});
  } else if (!this->cluster.Ready()) {
    ReplyProblem(
        this->shared.actions, id,
        {ErrorCode::kFleetNotReady, Outcome::kNotRun,
         "the fleet document is not current yet", std::chrono::seconds(1)});
  } else {
    ReplyWithBody(this->shared.actions, id, 200, "text/plain", "ready\n");
  }
}

void OperatorEndpoints::ReplyStatus(RequestId id) {
  json live = json::array();
  for (const HostId& host : this->cluster.Members().Live()) {
    live.push_back(host.value);
  }
  const ConfigurationStore& configuration = this->cluster.Configuration();
  const bool has_document = this->shared.document != nullptr;
  const json status = {
      {"host", this->shared.settings.self.value},
      {"failure_domain", this->shared.settings.failure_domain.value},
      {"ready", this->cluster.Ready() && !this->shared.draining},
      {"draining", this->shared.draining},
      {"fleet_version", this->shared.fleet_version},
      {"change_id",
       has_document ? this->shared.document->change_id : std::string()},
      {"watches", configuration.IsWatcher()},
      {"live_hosts", live}};
  ReplyJson(this->shared.actions, id, 200, status);
}

void OperatorEndpoints::HandleDrain(const CallerRequest& request) {
  if (request.method != "POST") {
    ReplyProblem(this->shared.actions, request.id,
                 {ErrorCode::kRequestMethodNotAllowed,
                  Outcome::kNotRun,
                  "use POST",
                  {}});
  } else if (!IsOperator(this->shared.settings.operator_key_digest,
                         request.headers)) {
    ReplyProblem(this->shared.actions, request.id,
                 {ErrorCode::kRequestWrongKey,
                  Outcome::kNotRun,
                  "send the operators' key",
                  {}});
  } else {
    this->begin_drain();
    ReplyJson(this->shared.actions, request.id, 202, {{"draining", true}});
  }
}

void OperatorEndpoints::ReplyRequests(const CallerRequest& request) {
  std::optional<OrganisationId> organisation_filter;
  if (!IsOperator(this->shared.settings.operator_key_digest, request.headers)) {
    if (this->shared.document == nullptr) {
      ReplyProblem(
          this->shared.actions, request.id,
          {ErrorCode::kFleetNotReady, Outcome::kNotRun,
           "the fleet document is not loaded yet", std::chrono::seconds(1)});
      return;
    }
    const auto organisation =
        AuthenticateCaller(*this->shared.document, request.headers);
    if (!organisation.ok()) {
      ReplyProblem(this->shared.actions, request.id,
                   RefusalOf(organisation.status()));
      return;
    }
    organisation_filter = (*organisation)->id;
  }
  ReplyWithBody(this->shared.actions, request.id, 200, "application/json",
                ToRequestsJson(this->shared.requests.List(organisation_filter),
                               this->shared.now));
}

}  // namespace limpetlink
