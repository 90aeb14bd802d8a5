#include "fakes/fake_service.h"

namespace limpetlink {

FakeService::FakeService(FakeHost* host) : host(host) {
  host->on_request = [this](const CallerRequest& request) {
    this->Handle(request);
  };
}

void FakeService::Handle(const CallerRequest& request) {
  if (request.path.rfind("/control/", 0) == 0) {
    this->Control(request);
    return;
  }
  if (request.path == "/v1/load") {
    this->host->ReplyJson(request.id, 200,
                          {{"running", this->running},
                           {"waiting", 0},
                           {"draining", this->faults.draining}});
    return;
  }
  const std::string fault = this->ConsumeFault();
  if (fault == "refuse" || this->faults.draining) {
    this->host->ReplyJson(request.id, 503, {{"outcome", "not_run"}});
  } else if (fault == "cut_before") {
    this->host->Abort(request.id);
  } else if (fault == "cut_after") {
    this->Execute(request);
    this->host->Abort(request.id);
  } else if (fault != "hang") {
    this->Execute(request);
    ++this->running;
    const OrderedJson response = this->executions.back();
    const RequestId id = request.id;
    this->host->RunAfter(std::chrono::milliseconds(this->faults.delay_ms),
                         [this, id, response] {
                           --this->running;
                           this->host->ReplyJson(id, 200, response);
                         });
  }
}

std::string FakeService::ConsumeFault() {
  std::string fault = this->faults.fault;
  if (fault != "none" && this->faults.times > 0 && --this->faults.times == 0) {
    this->faults.fault = "none";
  }
  return fault;
}

void FakeService::Execute(const CallerRequest& request) {
  const std::string* const key = FindHeader(request.headers, "Idempotency-Key");
  this->executions.push_back(
      {{"execution", this->executions.size() + 1},
       {"method", request.method},
       {"path", request.path},
       {"query", request.query},
       {"idempotency_key", key == nullptr ? "" : *key},
       {"body_digest", Sha256Hex(request.body)},
       {"id", ParseObject(request.body).value("id", "")}});
}

void FakeService::Control(const CallerRequest& request) {
  if (request.path == "/control/executions") {
    this->host->ReplyJson(request.id, 200, {{"executions", this->executions}});
    return;
  }
  if (request.path != "/control/faults" || request.method != "POST") {
    this->host->ReplyJson(request.id, 404, {{"title", "no such control"}});
    return;
  }
  const OrderedJson update = ParseObject(request.body);
  this->faults.fault = update.value("fault", this->faults.fault);
  this->faults.times = update.value("times", std::uint64_t{0});
  this->faults.delay_ms = update.value("delay_ms", this->faults.delay_ms);
  this->faults.draining = update.value("draining", this->faults.draining);
  this->host->ReplyJson(request.id, 200, OrderedJson::object());
}

}  // namespace limpetlink
