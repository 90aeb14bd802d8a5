#include "bench/decisions_policies.h"

#include <algorithm>
#include <deque>
#include <memory>

#include "dispatch/dispatch.h"
#include "routing/routing.h"

namespace limpetlink::bench {
namespace {

constexpr double kWatermarkFraction = 0.8;  // of the memory that may be in use

/// Memory, in tokens, and streams that a baseline tracks for one engine.
struct EngineUsage {
  double used = 0;
  double reserved = 0;
  std::uint32_t streams = 0;
};

class BaselinePolicy {
 public:
  BaselinePolicy(BaselineRule rule, const Mix& mix,
                 const EngineSettings& engine,
                 const std::vector<Arrival>& arrivals, TrialActions actions)
      : rule(rule),
        mix(mix),
        engine(engine),
        arrivals(arrivals),
        actions(std::move(actions)),
        usages(mix.workers),
        worker_of(arrivals.size(), 0),
        tokens(arrivals.size(), 0) {}

  void OnArrival(std::size_t request) {
    this->queue.push_back(request);
    this->unstarted.push_back(request);
    this->PlaceQueued();
  }

  void OnProgress(std::size_t request, std::uint32_t produced) {
    EngineUsage& usage = this->usages[this->worker_of[request]];
    usage.used += produced - this->tokens[request];
    this->tokens[request] = produced;
  }

  void OnFinished(std::size_t request) {
    this->Release(request);
    this->PlaceQueued();
  }

  void OnTick(Instant now) {
    this->ExpireRequests(now, this->queue, false);
    if (this->rule == BaselineRule::kFirstCome) {
      this->ExpireRequests(now, this->unstarted, true);
    }
    this->PlaceQueued();
  }

 private:
  double WorstCaseTokens(const Arrival& arrival) const {
    return arrival.prompt_tokens + this->mix.max_output_tokens;
  }

  void Release(std::size_t request) {
    const Arrival& arrival = this->arrivals[request];
    EngineUsage& usage = this->usages[this->worker_of[request]];
    usage.used -= arrival.prompt_tokens + this->tokens[request];
    usage.reserved -= this->WorstCaseTokens(arrival);
    --usage.streams;
  }

  Instant Deadline(std::size_t request) const {
    const Arrival& arrival = this->arrivals[request];
    const bool verdict = arrival.request_class == RequestClass::kVerdict;
    return arrival.at +
           (verdict ? this->mix.verdict_deadline : this->mix.draft_deadline);
  }

  void ExpireRequests(Instant now, std::deque<std::size_t>& list,
                      bool at_engine) {
    std::deque<std::size_t> remaining;
    for (const std::size_t request : list) {
      if (at_engine && this->tokens[request] > 0) {
        continue;
      }
      if (this->Deadline(request) > now) {
        remaining.push_back(request);
        continue;
      }
      if (at_engine) {
        this->actions.cancel(request, this->worker_of[request]);
        this->Release(request);
      }
      this->actions.refuse(request, "deadline reached");
    }
    list = std::move(remaining);
  }

  bool CanAdmit(const EngineUsage& usage, const Arrival& arrival) const {
    const double memory = static_cast<double>(this->engine.memory_tokens);
    const bool has_batch_slot = usage.streams < this->engine.max_batch;
    switch (this->rule) {
      case BaselineRule::kGreedy:
        return has_batch_slot && usage.used + arrival.prompt_tokens <= memory;
      case BaselineRule::kWatermark:
        return has_batch_slot && usage.used + arrival.prompt_tokens <=
                                     kWatermarkFraction * memory;
      case BaselineRule::kWorstCase:
        return has_batch_slot &&
               usage.reserved + this->WorstCaseTokens(arrival) <= memory;
      case BaselineRule::kFirstCome:
        return true;
    }
    return false;
  }

  void PlaceQueued() {
    while (!this->queue.empty()) {
      const std::size_t request = this->queue.front();
      const Arrival& arrival = this->arrivals[request];
      std::size_t best = this->usages.size();
      for (std::size_t i = 0; i < this->usages.size(); ++i) {
        const bool better =
            this->CanAdmit(this->usages[i], arrival) &&
            (best == this->usages.size() || this->IsLessLoaded(i, best));
        best = better ? i : best;
      }
      if (best == this->usages.size()) {
        return;
      }
      this->queue.pop_front();
      this->PlaceRequest(request, best);
    }
  }

  bool IsLessLoaded(std::size_t a, std::size_t b) const {
    return this->rule == BaselineRule::kFirstCome
               ? this->usages[a].streams < this->usages[b].streams
               : this->usages[a].used < this->usages[b].used;
  }

  void PlaceRequest(std::size_t request, std::size_t worker) {
    const Arrival& arrival = this->arrivals[request];
    EngineUsage& usage = this->usages[worker];
    usage.used += arrival.prompt_tokens;
    usage.reserved += this->WorstCaseTokens(arrival);
    ++usage.streams;
    this->worker_of[request] = worker;
    this->actions.place(request, worker, 0);
  }

  BaselineRule rule;
  const Mix& mix;
  EngineSettings engine;
  const std::vector<Arrival>& arrivals;
  TrialActions actions;
  std::vector<EngineUsage> usages;
  std::vector<std::size_t> worker_of;
  std::vector<std::uint32_t> tokens;
  std::deque<std::size_t> queue;
  std::deque<std::size_t> unstarted;
};

class DispatcherPolicy {
 public:
  DispatcherPolicy(const Mix& mix, const EngineSettings& engine,
                   const std::vector<Arrival>& arrivals, TrialActions actions,
                   std::function<void(AdmissionPolicy&)> adjust)
      : mix(mix),
        engine(engine),
        arrivals(arrivals),
        actions(std::move(actions)),
        document(std::make_shared<FleetDocument>(MakeFleetDocument(mix))),
        dispatcher(
            {HostId{"host"}, FailureDomainId{"d"}, 1, std::move(adjust)}) {
    this->Step(Instant{}, Configure{this->document});
  }

  void OnArrival(Instant now, std::size_t request) {
    const Arrival& arrival = this->arrivals[request];
    const bool verdict = arrival.request_class == RequestClass::kVerdict;
    SubmitRequest submit;
    submit.request = RequestId{request + 1};
    submit.organisation =
        this->document->organisations[arrival.organisation].id;
    submit.target = "model";
    submit.route = verdict ? "verdicts" : "drafts";
    submit.request_class = arrival.request_class;
    submit.prompt_tokens = arrival.prompt_tokens;
    submit.max_output_tokens = this->mix.max_output_tokens;
    submit.prefix_blocks = Blocks(arrival.prefix, arrival.prefix_tokens);
    submit.deadline =
        now + (verdict ? this->mix.verdict_deadline : this->mix.draft_deadline);
    this->Step(now, submit);
  }

  void OnProgress(Instant now, std::size_t request, std::uint32_t tokens) {
    this->Step(now, ReportProduced{RequestId{request + 1}, tokens});
  }

  void OnFinished(Instant now, std::size_t request, std::uint32_t tokens) {
    this->Step(now, ReportEnded{RequestId{request + 1}, PlacementEnd::kFinished,
                                tokens});
  }

  void OnReport(Instant now, std::size_t worker, const EngineStatus& status) {
    WorkerReport report;
    report.worker = this->document->upstreams[worker].id;
    report.memory_tokens = this->engine.memory_tokens;
    report.memory_tokens_used = status.memory_tokens_used;
    report.running = status.running;
    report.waiting = status.waiting;
    report.preemptions = status.preemptions;
    report.step_time = status.step_time;
    this->Step(now, report);
  }

  void OnCacheChange(Instant now, std::size_t worker, std::uint64_t sequence,
                     const EngineCacheChange& change) {
    const auto blocks = Blocks(change.prefix, kPrefixBlockTokens);
    this->Step(now, CacheEvent{this->document->upstreams[worker].id, sequence,
                               blocks.front(), change.present});
  }

  void OnTick(Instant now) { this->Step(now, DispatchTick{}); }

 private:
  // Cache events carry only the first block of a prefix, so every block of a
  // prefix has the same hash: the prefix's identifier.
  static std::vector<std::uint64_t> Blocks(std::uint32_t prefix,
                                           std::uint32_t tokens) {
    return std::vector<std::uint64_t>(
        prefix == 0 ? 0 : tokens / kPrefixBlockTokens, prefix);
  }

  std::size_t IndexOf(const UpstreamId& worker) const {
    const auto& upstreams = this->document->upstreams;
    const auto it = std::find_if(
        upstreams.begin(), upstreams.end(),
        [&](const Upstream& upstream) { return upstream.id == worker; });
    return static_cast<std::size_t>(it - upstreams.begin());
  }

  void Step(Instant now, const DispatchMessage& message) {
    for (const auto& action : this->dispatcher.Step(now, message)) {
      if (const auto* place = std::get_if<Place>(&action)) {
        this->actions.place(place->request.value - 1,
                            this->IndexOf(place->worker), place->priority);
      } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
        this->actions.refuse(refuse->request.value - 1,
                             std::string(Describe(refuse->problem.code).name));
      } else if (const auto* set_priority = std::get_if<SetPriority>(&action)) {
        this->actions.set_priority(set_priority->request.value - 1,
                                   this->IndexOf(set_priority->worker),
                                   set_priority->priority);
      }
    }
  }

  const Mix& mix;
  EngineSettings engine;
  const std::vector<Arrival>& arrivals;
  TrialActions actions;
  std::shared_ptr<const FleetDocument> document;
  Dispatcher dispatcher;
};

}  // namespace

TrialPolicyFactory MakeBaselinePolicy(BaselineRule rule) {
  return [rule](const Mix& mix, const EngineSettings& engine,
                const std::vector<Arrival>& arrivals, TrialActions actions) {
    auto policy = std::make_shared<BaselinePolicy>(rule, mix, engine, arrivals,
                                                   std::move(actions));
    TrialPolicy hooks;
    hooks.on_arrival = [policy](Instant, std::size_t request) {
      policy->OnArrival(request);
    };
    hooks.on_progress = [policy](Instant, std::size_t request,
                                 std::uint32_t tokens) {
      policy->OnProgress(request, tokens);
    };
    hooks.on_finished = [policy](Instant, std::size_t request, std::uint32_t) {
      policy->OnFinished(request);
    };
    hooks.on_report = [](Instant, std::size_t, const EngineStatus&) {};
    hooks.on_cache_change = [](Instant, std::size_t, std::uint64_t,
                               const EngineCacheChange&) {};
    hooks.on_tick = [policy](Instant now) { policy->OnTick(now); };
    return hooks;
  };
}

TrialPolicyFactory MakeDispatcherPolicy(
    std::function<void(AdmissionPolicy&)> adjust) {
  return [adjust](const Mix& mix, const EngineSettings& engine,
                  const std::vector<Arrival>& arrivals, TrialActions actions) {
    auto policy = std::make_shared<DispatcherPolicy>(
        mix, engine, arrivals, std::move(actions), adjust);
    TrialPolicy hooks;
    hooks.on_arrival = [policy](Instant now, std::size_t request) {
      policy->OnArrival(now, request);
    };
    hooks.on_progress = [policy](Instant now, std::size_t request,
                                 std::uint32_t tokens) {
      policy->OnProgress(now, request, tokens);
    };
    hooks.on_finished = [policy](Instant now, std::size_t request,
                                 std::uint32_t tokens) {
      policy->OnFinished(now, request, tokens);
    };
    hooks.on_report = [policy](Instant now, std::size_t worker,
                               const EngineStatus& status) {
      policy->OnReport(now, worker, status);
    };
    hooks.on_cache_change = [policy](Instant now, std::size_t worker,
                                     std::uint64_t sequence,
                                     const EngineCacheChange& change) {
      policy->OnCacheChange(now, worker, sequence, change);
    };
    hooks.on_tick = [policy](Instant now) { policy->OnTick(now); };
    return hooks;
  };
}

std::vector<NamedPolicy> ComparedPolicies() {
  return {{"limpetlink", MakeDispatcherPolicy()},
          {"greedy", MakeBaselinePolicy(BaselineRule::kGreedy)},
          {"watermark 80%", MakeBaselinePolicy(BaselineRule::kWatermark)},
          {"worst case", MakeBaselinePolicy(BaselineRule::kWorstCase)},
          {"first come", MakeBaselinePolicy(BaselineRule::kFirstCome)}};
}

std::vector<NamedPolicy> RiskSweep() {
  std::vector<NamedPolicy> policies;
  for (const double risk : {0.002, 0.01, 0.03, 0.1, 0.2, 0.4}) {
    const std::string name = "risk " + std::to_string(risk).substr(0, 5);
    policies.push_back(
        {name, MakeDispatcherPolicy([risk](AdmissionPolicy& policy) {
           policy.overflow_risk = risk;
         })});
  }
  return policies;
}

std::vector<NamedPolicy> Ablations() {
  return {
      {"all", MakeDispatcherPolicy()},
      {"no risk",
       MakeDispatcherPolicy([](AdmissionPolicy& p) { p.risk = false; })},
      {"no org lengths", MakeDispatcherPolicy([](AdmissionPolicy& p) {
         p.organisation_lengths = false;
       })},
      {"no batch cap",
       MakeDispatcherPolicy([](AdmissionPolicy& p) { p.batch_cap = false; })},
      {"no prefill cap",
       MakeDispatcherPolicy([](AdmissionPolicy& p) { p.prefill_cap = false; })},
      {"no headroom",
       MakeDispatcherPolicy([](AdmissionPolicy& p) { p.headroom = false; })},
      {"no early refusal", MakeDispatcherPolicy([](AdmissionPolicy& p) {
         p.max_wait = std::chrono::seconds(3600);
       })}};
}

}  // namespace limpetlink::bench
