#include "bench/decisions_trial.h"

#include <algorithm>
#include <cmath>
#include <queue>

namespace limpetlink::bench {
namespace {

constexpr double kMinSeconds = 0.0005;  // seconds
constexpr double kBucketRatio = 1.02;
constexpr double kStallThreshold = 0.27;  // seconds
constexpr Duration kTickInterval = std::chrono::milliseconds(50);

enum class EventKind { kArrival, kStepEnd, kSample, kReport, kCache, kTick };

struct ScheduledEvent {
  Instant at;
  std::uint64_t order = 0;
  EventKind kind = EventKind::kTick;
  std::size_t index = 0;
  EngineStatus status;
  EngineCacheChange change;
  std::uint64_t sequence = 0;
};

struct IsLater {
  bool operator()(const ScheduledEvent& a, const ScheduledEvent& b) const {
    return a.at != b.at ? a.at > b.at : a.order > b.order;
  }
};

struct RequestState {
  std::size_t worker = 0;
  bool placed = false;
  bool ended = false;
  std::uint32_t tokens = 0;
  Instant last;
};

// Max-min fair allocation of the total; none exceeds its request.
std::vector<double> MaxMinShares(const std::vector<double>& requested,
                                 double total) {
  std::vector<double> shares(requested.size(), 0);
  double remaining = total;
  for (std::size_t round = 0; round < requested.size(); ++round) {
    std::size_t unsatisfied = 0;
    for (std::size_t i = 0; i < requested.size(); ++i) {
      unsatisfied += shares[i] < requested[i] ? 1 : 0;
    }
    if (unsatisfied == 0 || remaining <= 0) {
      break;
    }
    const double increment = remaining / static_cast<double>(unsatisfied);
    for (std::size_t i = 0; i < requested.size(); ++i) {
      const double granted = std::min(increment, requested[i] - shares[i]);
      shares[i] += granted;
      remaining -= granted;
    }
  }
  return shares;
}

double JainIndex(const std::vector<double>& received,
                 const std::vector<double>& requested) {
  double total = 0;
  for (const double tokens : received) {
    total += tokens;
  }
  const auto shares = MaxMinShares(requested, total);
  double sum = 0;
  double squares = 0;
  for (std::size_t i = 0; i < received.size(); ++i) {
    const double fraction = shares[i] > 0 ? received[i] / shares[i] : 1;
    sum += fraction;
    squares += fraction * fraction;
  }
  return squares > 0
             ? sum * sum / (static_cast<double>(received.size()) * squares)
             : 0;
}

/// Discrete-event simulation of one run.
class Trial {
 public:
  Trial(const Mix& mix, const TrialSettings& settings)
      : mix(mix),
        settings(settings),
        arrivals(GenerateArrivals(mix, settings.requests_per_second,
                                  settings.duration, settings.seed)),
        states(arrivals.size()),
        engines(mix.workers, EngineModel(settings.engine)),
        stepping(mix.workers, false),
        sequences(mix.workers, 0),
        random(settings.seed ^ 0xCACE),
        received_tokens(mix.demand.size(), 0),
        requested_tokens(mix.demand.size(), 0) {}

  TrialResult Run(const TrialPolicyFactory& factory) {
    this->policy = factory(this->mix, this->settings.engine, this->arrivals,
                           this->MakeActions());
    for (std::size_t i = 0; i < this->arrivals.size(); ++i) {
      this->Schedule(this->arrivals[i].at, EventKind::kArrival, i);
    }
    for (std::size_t i = 0; i < this->engines.size(); ++i) {
      this->Schedule(Instant{}, EventKind::kSample, i);
    }
    this->Schedule(Instant{}, EventKind::kTick, 0);
    const Instant end = Instant{} + this->settings.duration;
    while (!this->queue.empty() && this->queue.top().at < end) {
      const ScheduledEvent next = this->queue.top();
      this->queue.pop();
      this->now = next.at;
      this->Handle(next);
    }
    return this->Finish();
  }

 private:
  TrialActions MakeActions() {
    TrialActions actions;
    actions.place = [this](std::size_t request, std::size_t worker,
                           std::int32_t priority) {
      this->Place(request, worker, priority);
    };
    actions.refuse = [this](std::size_t request, const std::string& reason) {
      this->states[request].ended = true;
      if (this->IsMeasured(request)) {
        ++this->result.refused[reason];
      }
    };
    actions.set_priority = [this](std::size_t request, std::size_t worker,
                                  std::int32_t priority) {
      this->engines[worker].SetPriority(request, priority);
    };
    actions.cancel = [this](std::size_t request, std::size_t worker) {
      this->engines[worker].Cancel(request);
    };
    return actions;
  }

  void Schedule(Instant at, EventKind kind, std::size_t index) {
    ScheduledEvent event;
    event.at = at;
    event.order = ++this->scheduled_count;
    event.kind = kind;
    event.index = index;
    this->queue.push(event);
  }

  bool IsMeasuring() const {
    return this->now >= Instant{} + this->settings.warm_up;
  }
  bool IsMeasured(std::size_t request) const {
    return this->arrivals[request].at >= Instant{} + this->settings.warm_up;
  }

  void Handle(const ScheduledEvent& next) {
    switch (next.kind) {
      case EventKind::kArrival:
        this->HandleArrival(next.index);
        break;
      case EventKind::kStepEnd:
        this->HandleStepEnd(next.index);
        break;
      case EventKind::kSample:
        this->SampleStatus(next.index);
        break;
      case EventKind::kReport:
        this->policy.on_report(this->now, next.index, next.status);
        break;
      case EventKind::kCache:
        this->policy.on_cache_change(this->now, next.index, next.sequence,
                                     next.change);
        break;
      case EventKind::kTick:
        this->policy.on_tick(this->now);
        this->Schedule(this->now + kTickInterval, EventKind::kTick, 0);
        break;
    }
  }

  void HandleArrival(std::size_t request) {
    const Arrival& arrival = this->arrivals[request];
    if (this->IsMeasured(request)) {
      ++this->result.arrived;
      this->requested_tokens[arrival.organisation] +=
          arrival.prompt_tokens + arrival.output_tokens;
    }
    this->policy.on_arrival(this->now, request);
  }

  void Place(std::size_t request, std::size_t worker, std::int32_t priority) {
    const Arrival& arrival = this->arrivals[request];
    RequestState& state = this->states[request];
    state.worker = worker;
    state.placed = true;
    EngineJob job;
    job.id = request;
    job.prompt_tokens = arrival.prompt_tokens;
    job.output_tokens = arrival.output_tokens;
    job.prefix = arrival.prefix;
    job.prefix_tokens = arrival.prefix_tokens;
    job.priority = priority;
    this->engines[worker].Submit(job);
    this->StartStep(worker);
  }

  void StartStep(std::size_t worker) {
    if (this->stepping[worker]) {
      return;
    }
    const Duration step_time = this->engines[worker].BeginStep();
    if (step_time > Duration{0}) {
      this->stepping[worker] = true;
      this->Schedule(this->now + step_time, EventKind::kStepEnd, worker);
    }
  }

  void HandleStepEnd(std::size_t worker) {
    this->stepping[worker] = false;
    const auto tokens = this->engines[worker].FinishStep();
    for (const EngineCacheChange& change :
         this->engines[worker].TakeCacheChanges()) {
      this->ScheduleCacheEvent(worker, change);
    }
    this->stepping[worker] = true;  // defers StartStep to after the loop
    for (const EngineToken& token : tokens) {
      this->HandleToken(token);
    }
    this->stepping[worker] = false;
    this->StartStep(worker);
  }

  void ScheduleCacheEvent(std::size_t worker, const EngineCacheChange& change) {
    const std::uint64_t sequence = ++this->sequences[worker];
    if (this->random.Fraction() < this->settings.cache_event_loss_rate) {
      return;
    }
    ScheduledEvent event;
    event.at = this->now + this->settings.cache_event_delay;
    event.order = ++this->scheduled_count;
    event.kind = EventKind::kCache;
    event.index = worker;
    event.change = change;
    event.sequence = sequence;
    this->queue.push(event);
  }

  void HandleToken(const EngineToken& token) {
    const auto request = static_cast<std::size_t>(token.id);
    const Arrival& arrival = this->arrivals[request];
    RequestState& state = this->states[request];
    this->RecordLatency(arrival, state);
    state.tokens = token.produced;
    state.last = this->now;
    if (token.last) {
      state.ended = true;
      if (this->IsMeasuring()) {
        this->completed_tokens += token.produced;
        ++this->result.completed;
      }
      this->policy.on_finished(this->now, request, token.produced);
    } else if (token.produced == 1 || token.produced % 8 == 0) {
      this->policy.on_progress(this->now, request, token.produced);
    }
  }

  void RecordLatency(const Arrival& arrival, const RequestState& state) {
    if (!this->IsMeasuring()) {
      return;
    }
    ++this->produced_tokens;
    this->received_tokens[arrival.organisation] += 1;
    if (state.tokens == 0) {
      this->received_tokens[arrival.organisation] += arrival.prompt_tokens;
      const double waited = ToSeconds(this->now - arrival.at);
      const bool verdict = arrival.request_class == RequestClass::kVerdict;
      (verdict ? this->result.verdict_first_token
               : this->result.draft_first_token)
          .Add(waited);
      return;
    }
    const double gap = ToSeconds(this->now - state.last);
    this->result.gaps.Add(gap);
    this->result.stall_seconds += std::max(0.0, gap - kStallThreshold);
  }

  void SampleStatus(std::size_t worker) {
    ScheduledEvent event;
    event.at = this->now + this->settings.report_delay;
    event.order = ++this->scheduled_count;
    event.kind = EventKind::kReport;
    event.index = worker;
    event.status = this->engines[worker].Status();
    this->queue.push(event);
    if (!this->warm_up_preemptions_recorded && this->IsMeasuring()) {
      this->warm_up_preemptions_recorded = true;
      this->warm_up_preemptions = this->Preemptions();
    }
    this->Schedule(this->now + this->settings.report_interval,
                   EventKind::kSample, worker);
  }

  std::uint64_t Preemptions() const {
    std::uint64_t sum = 0;
    for (const EngineModel& engine : this->engines) {
      sum += engine.Status().preemptions;
    }
    return sum;
  }

  TrialResult Finish() {
    const double seconds =
        ToSeconds(this->settings.duration - this->settings.warm_up);
    // A stream without progress at the end of the run counts as stalled until
    // then.
    const Instant end = Instant{} + this->settings.duration;
    for (const RequestState& state : this->states) {
      if (state.placed && !state.ended && state.tokens > 0) {
        const double gap = ToSeconds(end - state.last);
        this->result.stall_seconds += std::max(0.0, gap - kStallThreshold);
      }
    }
    this->result.preemptions = this->Preemptions() - this->warm_up_preemptions;
    this->result.goodput =
        static_cast<double>(this->completed_tokens) / seconds;
    this->result.token_rate =
        static_cast<double>(this->produced_tokens) / seconds;
    this->result.jain_index =
        JainIndex(this->received_tokens, this->requested_tokens);
    return this->result;
  }

  const Mix& mix;
  const TrialSettings& settings;
  std::vector<Arrival> arrivals;
  std::vector<RequestState> states;
  std::vector<EngineModel> engines;
  std::vector<bool> stepping;
  std::vector<std::uint64_t> sequences;
  Random random;
  std::vector<double> received_tokens;
  std::vector<double> requested_tokens;
  TrialPolicy policy;
  TrialResult result;
  std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>, IsLater>
      queue;
  std::uint64_t scheduled_count = 0;
  Instant now;
  std::uint64_t completed_tokens = 0;
  std::uint64_t produced_tokens = 0;
  bool warm_up_preemptions_recorded = false;
  std::uint64_t warm_up_preemptions = 0;
};

}  // namespace

void Histogram::Add(double seconds) {
  const double ratio = std::max(seconds, kMinSeconds) / kMinSeconds;
  const auto bucket =
      static_cast<std::size_t>(std::log(ratio) / std::log(kBucketRatio));
  ++this->buckets[std::min(bucket, this->buckets.size() - 1)];
  ++this->count;
}

double Histogram::Quantile(double fraction) const {
  const double rank = fraction * static_cast<double>(this->count);
  double cumulative = 0;
  for (std::size_t i = 0; i < this->buckets.size(); ++i) {
    cumulative += this->buckets[i];
    if (cumulative >= rank && cumulative > 0) {
      return kMinSeconds * std::pow(kBucketRatio, static_cast<double>(i) + 0.5);
    }
  }
  return 0;
}

TrialResult RunTrial(const Mix& mix, const TrialSettings& settings,
                     const TrialPolicyFactory& factory) {
  Trial trial(mix, settings);
  return trial.Run(factory);
}

}  // namespace limpetlink::bench
