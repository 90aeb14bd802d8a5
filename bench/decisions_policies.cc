#include "bench/decisions_policies.h"

#include <algorithm>
#include <deque>
#include <memory>

#include "dispatch/dispatch.h"
#include "routing/routing.h"

namespace limpetlink::bench {
namespace {

constexpr double kWatermark = 0.8;  // of the memory

/// What a baseline knows of one engine.
struct EngineAccount {
  double used = 0;
  double reserved = 0;
  std::uint32_t streams = 0;
};

class BaselinePolicy {
 public:
  BaselinePolicy(BaselineRule rule, const Mix& mix,
                 const EngineSettings& engine,
                 const std::vector<Arrival>& arrivals, TrialOrders orders)
      : rule(rule),
        mix(mix),
        engine(engine),
        arrivals(arrivals),
        orders(std::move(orders)),
        accounts(mix.workers),
        worker_of(arrivals.size(), 0),
        tokens(arrivals.size(), 0) {}

  void Arrive(std::size_t request) {
    this->queue.push_back(request);
    this->unstarted.push_back(request);
    this->Drain();
  }

  void Produced(std::size_t request, std::uint32_t produced) {
    EngineAccount& account = this->accounts[this->worker_of[request]];
    account.used += produced - this->tokens[request];
    this->tokens[request] = produced;
  }

  void Ended(std::size_t request) {
    this->Leave(request);
    this->Drain();
  }

  void Tick(Instant now) {
    this->GiveUp(now, this->queue, false);
    if (this->rule == BaselineRule::kFirstCome) {
      this->GiveUp(now, this->unstarted, true);
    }
    this->Drain();
  }

 private:
  double Reserve(const Arrival& arrival) const {
    return arrival.prompt_tokens + this->mix.max_output_tokens;
  }

  void Leave(std::size_t request) {
    const Arrival& arrival = this->arrivals[request];
    EngineAccount& account = this->accounts[this->worker_of[request]];
    account.used -= arrival.prompt_tokens + this->tokens[request];
    account.reserved -= this->Reserve(arrival);
    --account.streams;
  }

  Instant DeadlineOf(std::size_t request) const {
    const Arrival& arrival = this->arrivals[request];
    const bool verdict = arrival.request_class == RequestClass::kVerdict;
    return arrival.at +
           (verdict ? this->mix.verdict_deadline : this->mix.draft_deadline);
  }

  void GiveUp(Instant now, std::deque<std::size_t>& list, bool at_engine) {
    std::deque<std::size_t> kept;
    for (const std::size_t request : list) {
      if (at_engine && this->tokens[request] > 0) {
        continue;
      }
      if (this->DeadlineOf(request) > now) {
        kept.push_back(request);
        continue;
      }
      if (at_engine) {
        this->orders.cancel(request, this->worker_of[request]);
        this->Leave(request);
      }
      this->orders.refuse(request, "deadline reached");
    }
    list = std::move(kept);
  }

  bool Admits(const EngineAccount& account, const Arrival& arrival) const {
    const double memory = static_cast<double>(this->engine.memory_tokens);
    const bool batch = account.streams < this->engine.max_batch;
    switch (this->rule) {
      case BaselineRule::kGreedy:
        return batch && account.used + arrival.prompt_tokens <= memory;
      case BaselineRule::kWatermark:
        return batch &&
               account.used + arrival.prompt_tokens <= kWatermark * memory;
      case BaselineRule::kWorstCase:
        return batch && account.reserved + this->Reserve(arrival) <= memory;
      case BaselineRule::kFirstCome:
        return true;
    }
    return false;
  }

  void Drain() {
    while (!this->queue.empty()) {
      const std::size_t request = this->queue.front();
      const Arrival& arrival = this->arrivals[request];
      std::size_t best = this->accounts.size();
      for (std::size_t i = 0; i < this->accounts.size(); ++i) {
        const bool better =
            this->Admits(this->accounts[i], arrival) &&
            (best == this->accounts.size() || this->Less(i, best));
        best = better ? i : best;
      }
      if (best == this->accounts.size()) {
        return;
      }
      this->queue.pop_front();
      this->Start(request, best);
    }
  }

  bool Less(std::size_t a, std::size_t b) const {
    return this->rule == BaselineRule::kFirstCome
               ? this->accounts[a].streams < this->accounts[b].streams
               : this->accounts[a].used < this->accounts[b].used;
  }

  void Start(std::size_t request, std::size_t worker) {
    const Arrival& arrival = this->arrivals[request];
    EngineAccount& account = this->accounts[worker];
    account.used += arrival.prompt_tokens;
    account.reserved += this->Reserve(arrival);
    ++account.streams;
    this->worker_of[request] = worker;
    this->orders.place(request, worker, 0);
  }

  BaselineRule rule;
  const Mix& mix;
  EngineSettings engine;
  const std::vector<Arrival>& arrivals;
  TrialOrders orders;
  std::vector<EngineAccount> accounts;
  std::vector<std::size_t> worker_of;
  std::vector<std::uint32_t> tokens;
  std::deque<std::size_t> queue;
  std::deque<std::size_t> unstarted;
};

class DispatchPolicy {
 public:
  DispatchPolicy(const Mix& mix, const EngineSettings& engine,
                 const std::vector<Arrival>& arrivals, TrialOrders orders,
                 std::function<void(AdmissionPolicy&)> adjust)
      : mix(mix),
        engine(engine),
        arrivals(arrivals),
        orders(std::move(orders)),
        document(std::make_shared<FleetDocument>(MixDocument(mix))),
        dispatcher(
            {HostId{"host"}, FailureDomainId{"d"}, 1, std::move(adjust)}) {
    this->Step(Instant{}, Configure{this->document});
  }

  void Arrive(Instant now, std::size_t request) {
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

  void Produced(Instant now, std::size_t request, std::uint32_t tokens) {
    this->Step(now, ReportProduced{RequestId{request + 1}, tokens});
  }

  void Ended(Instant now, std::size_t request, std::uint32_t tokens) {
    this->Step(now, ReportEnded{RequestId{request + 1}, PlacementEnd::kFinished,
                                tokens});
  }

  void Report(Instant now, std::size_t worker, const EngineStatus& status) {
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

  void Cache(Instant now, std::size_t worker, std::uint64_t sequence,
             const EngineCacheChange& change) {
    const auto blocks = Blocks(change.prefix, kPrefixBlockTokens);
    this->Step(now, CacheEvent{this->document->upstreams[worker].id, sequence,
                               blocks.front(), change.present});
  }

  void Tick(Instant now) { this->Step(now, DispatchTick{}); }

 private:
  // The first block stands for the whole prefix in the events, so each of the
  // prefix's blocks has its number.
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
        this->orders.place(place->request.value - 1,
                           this->IndexOf(place->worker), place->priority);
      } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
        this->orders.refuse(refuse->request.value - 1,
                            std::string(Describe(refuse->problem.code).name));
      } else if (const auto* raise = std::get_if<SetPriority>(&action)) {
        this->orders.set_priority(raise->request.value - 1,
                                  this->IndexOf(raise->worker),
                                  raise->priority);
      }
    }
  }

  const Mix& mix;
  EngineSettings engine;
  const std::vector<Arrival>& arrivals;
  TrialOrders orders;
  std::shared_ptr<const FleetDocument> document;
  Dispatcher dispatcher;
};

}  // namespace

MakeTrialPolicy Baseline(BaselineRule rule) {
  return [rule](const Mix& mix, const EngineSettings& engine,
                const std::vector<Arrival>& arrivals, TrialOrders orders) {
    auto policy = std::make_shared<BaselinePolicy>(rule, mix, engine, arrivals,
                                                   std::move(orders));
    TrialPolicy hooks;
    hooks.arrive = [policy](Instant, std::size_t request) {
      policy->Arrive(request);
    };
    hooks.produced = [policy](Instant, std::size_t request,
                              std::uint32_t tokens) {
      policy->Produced(request, tokens);
    };
    hooks.ended = [policy](Instant, std::size_t request, std::uint32_t) {
      policy->Ended(request);
    };
    hooks.report = [](Instant, std::size_t, const EngineStatus&) {};
    hooks.cache = [](Instant, std::size_t, std::uint64_t,
                     const EngineCacheChange&) {};
    hooks.tick = [policy](Instant now) { policy->Tick(now); };
    return hooks;
  };
}

MakeTrialPolicy Dispatching(std::function<void(AdmissionPolicy&)> adjust) {
  return [adjust](const Mix& mix, const EngineSettings& engine,
                  const std::vector<Arrival>& arrivals, TrialOrders orders) {
    auto policy = std::make_shared<DispatchPolicy>(mix, engine, arrivals,
                                                   std::move(orders), adjust);
    TrialPolicy hooks;
    hooks.arrive = [policy](Instant now, std::size_t request) {
      policy->Arrive(now, request);
    };
    hooks.produced = [policy](Instant now, std::size_t request,
                              std::uint32_t tokens) {
      policy->Produced(now, request, tokens);
    };
    hooks.ended = [policy](Instant now, std::size_t request,
                           std::uint32_t tokens) {
      policy->Ended(now, request, tokens);
    };
    hooks.report = [policy](Instant now, std::size_t worker,
                            const EngineStatus& status) {
      policy->Report(now, worker, status);
    };
    hooks.cache = [policy](Instant now, std::size_t worker,
                           std::uint64_t sequence,
                           const EngineCacheChange& change) {
      policy->Cache(now, worker, sequence, change);
    };
    hooks.tick = [policy](Instant now) { policy->Tick(now); };
    return hooks;
  };
}

std::vector<NamedPolicy> ComparedPolicies() {
  return {{"limpetlink", Dispatching()},
          {"greedy", Baseline(BaselineRule::kGreedy)},
          {"watermark 80%", Baseline(BaselineRule::kWatermark)},
          {"worst case", Baseline(BaselineRule::kWorstCase)},
          {"first come", Baseline(BaselineRule::kFirstCome)}};
}

std::vector<NamedPolicy> RiskSweep() {
  std::vector<NamedPolicy> policies;
  for (const double risk : {0.002, 0.01, 0.03, 0.1, 0.2, 0.4}) {
    const std::string name = "risk " + std::to_string(risk).substr(0, 5);
    policies.push_back({name, Dispatching([risk](AdmissionPolicy& policy) {
                          policy.overflow_risk = risk;
                        })});
  }
  return policies;
}

std::vector<NamedPolicy> Ablations() {
  return {{"all", Dispatching()},
          {"no risk", Dispatching([](AdmissionPolicy& p) { p.risk = false; })},
          {"no org lengths", Dispatching([](AdmissionPolicy& p) {
             p.organisation_lengths = false;
           })},
          {"no batch cap",
           Dispatching([](AdmissionPolicy& p) { p.batch_cap = false; })},
          {"no prefill cap",
           Dispatching([](AdmissionPolicy& p) { p.prefill_cap = false; })},
          {"no headroom",
           Dispatching([](AdmissionPolicy& p) { p.headroom = false; })},
          {"no early refusal", Dispatching([](AdmissionPolicy& p) {
             p.max_wait = std::chrono::seconds(3600);
           })}};
}

}  // namespace limpetlink::bench
