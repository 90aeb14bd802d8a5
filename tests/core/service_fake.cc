#include "tests/core/service_fake.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace limpetlink::testing {
namespace {

constexpr Duration kExecutionTime = std::chrono::milliseconds(20);
constexpr Duration kResponseDelay = std::chrono::milliseconds(5);

}  // namespace

ServiceFake::ServiceFake(Network& network, Timeline& timeline, std::string name,
                         std::vector<Execution>& executions)
    : network(network),
      timeline(timeline),
      name(std::move(name)),
      executions(executions) {
  network.AddServer(this->name, {[this](ExchangeId id, const HttpCall& call) {
                                   this->OnRequest(id, call);
                                 },
                                 nullptr});
}

void ServiceFake::Kill() {
  ++this->incarnation;
  this->network.SetLink(this->name, LinkState::kRefused);
}

void ServiceFake::OnRequest(ExchangeId id, const HttpCall& call) {
  const std::string path = PathAndQuery(call.url);
  if (path == "/v1/load") {
    const nlohmann::json report = {{"running", this->running},
                                   {"waiting", 0},
                                   {"draining", this->draining}};
    this->network.Respond(id, 200, {}, report.dump());
    return;
  }
  if (this->draining) {
    this->network.Respond(id, 503, {}, R"({"outcome":"not_run"})");
    return;
  }
  ++this->running;
  this->timeline.Schedule(
      kExecutionTime, [this, id, call, path, incarnation = this->incarnation] {
        if (incarnation != this->incarnation) {
          return;
        }
        this->executions.push_back(
            {this->name, call.method, path, call.body, this->timeline.Now()});
        this->network.RecordStep("executed", this->name);
        this->timeline.Schedule(
            kResponseDelay, [this, id, body = call.body, incarnation] {
              if (incarnation == this->incarnation) {
                --this->running;
                this->network.Respond(id, 200, {{"Content-Type", "text/plain"}},
                                      "ran " + body);
              }
            });
      });
}

}  // namespace limpetlink::testing
