#include <algorithm>

#include "dispatch/dispatch.h"

namespace limpetlink {

Dispatcher::Dispatcher(DispatcherSettings settings)
    : settings(std::move(settings)) {}

std::vector<DispatchAction> Dispatcher::Step(Instant /*now*/,
                                             const DispatchMessage& message) {
  if (const auto* configure = std::get_if<Configure>(&message)) {
    this->document = configure->document;
  } else if (const auto* state = std::get_if<SetWorkerState>(&message)) {
    this->states[state->worker] = state->state;
  } else if (const auto* ended = std::get_if<ReportEnded>(&message)) {
    const auto it = this->running.find(ended->request);
    if (it != this->running.end()) {
      --this->load[it->second.worker];
      this->running.erase(it);
    }
  } else if (const auto* submit = std::get_if<SubmitRequest>(&message)) {
    const Upstream* best = nullptr;
    for (const Upstream& upstream : this->document->upstreams) {
      const bool excluded =
          std::find(submit->excluded.begin(), submit->excluded.end(),
                    upstream.id) != submit->excluded.end();
      const bool live = this->states.count(upstream.id) == 0 ||
                        this->states.at(upstream.id) == WorkerState::kLive;
      const bool fits = upstream.serves == submit->target && live && !excluded;
      if (fits &&
          (best == nullptr || this->load[upstream.id] < this->load[best->id])) {
        best = &upstream;
      }
    }
    if (best == nullptr) {
      return {Refuse{submit->request,
                     {ErrorCode::kRoutingNoUpstream, Outcome::kNotRun,
                      "no live upstream", std::chrono::seconds(1)}}};
    }
    ++this->load[best->id];
    this->running[submit->request] = {best->id};
    return {Place{submit->request, best->id, best->url, 0}};
  }
  return {};
}

Instant Dispatcher::NextWakeup() const { return kNever; }

}  // namespace limpetlink
