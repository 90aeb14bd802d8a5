#include "entry/detail/operator_pages.h"

#include <nlohmann/json.hpp>

#include "entry/detail/caller_access.h"
#include "entry/detail/reply.h"

namespace limpetlink {
namespace {

using nlohmann::json;

}  // namespace

OperatorPages::OperatorPages(HostContext& shared, const ClusterFlow& cluster,
                             std::function<void()> drain)
    : shared(shared), cluster(cluster), drain(std::move(drain)) {}

bool OperatorPages::Receive(const CallerRequest& request) {
  if (request.path == "/healthz") {
    ReplyWhole(this->shared.actions, request.id, 200, "text/plain", "ok\n");
  } else if (request.path == "/readyz") {
    this->Ready(request.id);
  } else if (request.path == "/metrics") {
    ReplyWhole(this->shared.actions, request.id, 200,
               "text/plain; version=0.0.4", this->shared.metrics.Render());
  } else if (request.path == "/v1/status") {
    this->Status(request.id);
  } else if (request.path == "/v1/requests") {
    this->Requests(request);
  } else if (request.path == "/v1/drain") {
    this->Drain(request);
  } else {
    return false;
  }
  return true;
}

void OperatorPages::Ready(RequestId id) {
  if (this->shared.draining) {
    ReplyProblem(this->shared.actions, id,
                 {ErrorCode::kHostShuttingDown, Outcome::kNotRun, "draining",
                  std::nullopt});
  } else if (!this->cluster.Ready()) {
    ReplyProblem(this->shared.actions, id,
                 {ErrorCode::kFleetNotReady, Outcome::kNotRun,
                  "no newest document yet", std::chrono::seconds(1)});
  } else {
    ReplyWhole(this->shared.actions, id, 200, "text/plain", "ready\n");
  }
}

void OperatorPages::Status(RequestId id) {
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
      {"watches", configuration.Watches()},
      {"live_hosts", live}};
  ReplyJson(this->shared.actions, id, 200, status);
}

void OperatorPages::Drain(const CallerRequest& request) {
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
    this->drain();
    ReplyJson(this->shared.actions, request.id, 202, {{"draining", true}});
  }
}

void OperatorPages::Requests(const CallerRequest& request) {
  std::optional<OrganisationId> only;
  if (!IsOperator(this->shared.settings.operator_key_digest, request.headers)) {
    if (this->shared.document == nullptr) {
      ReplyProblem(this->shared.actions, request.id,
                   {ErrorCode::kFleetNotReady, Outcome::kNotRun,
                    "no document yet", std::chrono::seconds(1)});
      return;
    }
    const auto organisation =
        AuthenticateCaller(*this->shared.document, request.headers);
    if (!organisation.ok()) {
      ReplyProblem(this->shared.actions, request.id,
                   RefusalOf(organisation.status()));
      return;
    }
    only = (*organisation)->id;
  }
  ReplyWhole(
      this->shared.actions, request.id, 200, "application/json",
      ToRequestsJson(this->shared.requests.List(only), this->shared.now));
}

}  // namespace limpetlink
