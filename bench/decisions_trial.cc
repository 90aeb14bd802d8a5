#include "bench/decisions_trial.h"

#include <algorithm>
#include <cmath>
#include <queue>

namespace limpetlink::bench {
namespace {

constexpr double kSmallest = 0.0005;  // seconds
constexpr double kRatio = 1.02;
constexpr double kStallAfter = 0.27;  // seconds
constexpr Duration kTickEvery = std::chrono::milliseconds(50);

enum class Kind { kArrival, kStep, kSample, kReport, kCache, kTick };

struct Scheduled {
  Instant at;
  std::uint64_t order = 0;
  Kind kind = Kind::kTick;
  std::size_t index = 0;
  EngineStatus status;
  EngineCacheChange change;
  std::uint64_t sequence = 0;
};

struct Later {
  bool operator()(const Scheduled& a, const Scheduled& b) const {
    return a.at != b.at ? a.at > b.at : a.order > b.order;
  }
};

struct Progress {
  std::size_t worker = 0;
  bool placed = false;
  bool ended = false;
  std::uint32_t tokens = 0;
  Instant last;
};

// Max-min share of the whole, when each may get no more than it asked for.
std::vector<double> Due(const std::vector<double>& asked, double whole) {
  std::vector<double> due(asked.size(), 0);
  double left = whole;
  for (std::size_t round = 0; round < asked.size(); ++round) {
    std::size_t open = 0;
    for (std::size_t i = 0; i < asked.size(); ++i) {
      open += due[i] < asked[i] ? 1 : 0;
    }
    if (open == 0 || left <= 0) {
      break;
    }
    const double each = left / static_cast<double>(open);
    for (std::size_t i = 0; i < asked.size(); ++i) {
      const double more = std::min(each, asked[i] - due[i]);
      due[i] += more;
      left -= more;
    }
  }
  return due;
}

double Jain(const std::vector<double>& got, const std::vector<double>& asked) {
  double whole = 0;
  for (const double each : got) {
    whole += each;
  }
  const auto due = Due(asked, whole);
  double sum = 0;
  double squares = 0;
  for (std::size_t i = 0; i < got.size(); ++i) {
    const double part = due[i] > 0 ? got[i] / due[i] : 1;
    sum += part;
    squares += part * part;
  }
  return squares > 0 ? sum * sum / (static_cast<double>(got.size()) * squares)
                     : 0;
}

/// The event loop of one run.
class Trial {
 public:
  Trial(const Mix& mix, const TrialSettings& settings)
      : mix(mix),
        settings(settings),
        arrivals(DrawArrivals(mix, settings.per_second, settings.length,
                              settings.seed)),
        progress(arrivals.size()),
        engines(mix.workers, EngineModel(settings.engine)),
        stepping(mix.workers, false),
        sequences(mix.workers, 0),
        random(settings.seed ^ 0xCACE),
        got(mix.demand.size(), 0),
        asked(mix.demand.size(), 0) {}

  TrialResult Run(const MakeTrialPolicy& make) {
    this->policy =
        make(this->mix, this->settings.engine, this->arrivals, this->Orders());
    for (std::size_t i = 0; i < this->arrivals.size(); ++i) {
      this->Schedule(this->arrivals[i].at, Kind::kArrival, i);
    }
    for (std::size_t i = 0; i < this->engines.size(); ++i) {
      this->Schedule(Instant{}, Kind::kSample, i);
    }
    this->Schedule(Instant{}, Kind::kTick, 0);
    const Instant end = Instant{} + this->settings.length;
    while (!this->queue.empty() && this->queue.top().at < end) {
      const Scheduled next = this->queue.top();
      this->queue.pop();
      this->now = next.at;
      this->Handle(next);
    }
    return this->Finish();
  }

 private:
  TrialOrders Orders() {
    TrialOrders orders;
    orders.place = [this](std::size_t request, std::size_t worker,
                          std::int32_t priority) {
      this->Place(request, worker, priority);
    };
    orders.refuse = [this](std::size_t request, const std::string& why) {
      this->progress[request].ended = true;
      if (this->Counts(request)) {
        ++this->result.refused[why];
      }
    };
    orders.set_priority = [this](std::size_t request, std::size_t worker,
                                 std::int32_t priority) {
      this->engines[worker].SetPriority(request, priority);
    };
    orders.cancel = [this](std::size_t request, std::size_t worker) {
      this->engines[worker].Cancel(request);
    };
    return orders;
  }

  void Schedule(Instant at, Kind kind, std::size_t index) {
    Scheduled event;
    event.at = at;
    event.order = ++this->orders;
    event.kind = kind;
    event.index = index;
    this->queue.push(event);
  }

  bool Warm() const { return this->now >= Instant{} + this->settings.warm_up; }
  bool Counts(std::size_t request) const {
    return this->arrivals[request].at >= Instant{} + this->settings.warm_up;
  }

  void Handle(const Scheduled& next) {
    switch (next.kind) {
      case Kind::kArrival:
        this->Arrive(next.index);
        break;
      case Kind::kStep:
        this->StepDone(next.index);
        break;
      case Kind::kSample:
        this->Sample(next.index);
        break;
      case Kind::kReport:
        this->policy.report(this->now, next.index, next.status);
        break;
      case Kind::kCache:
        this->policy.cache(this->now, next.index, next.sequence, next.change);
        break;
      case Kind::kTick:
        this->policy.tick(this->now);
        this->Schedule(this->now + kTickEvery, Kind::kTick, 0);
        break;
    }
  }

  void Arrive(std::size_t request) {
    const Arrival& arrival = this->arrivals[request];
    if (this->Counts(request)) {
      ++this->result.arrived;
      this->asked[arrival.organisation] +=
          arrival.prompt_tokens + arrival.output_tokens;
    }
    this->policy.arrive(this->now, request);
  }

  void Place(std::size_t request, std::size_t worker, std::int32_t priority) {
    const Arrival& arrival = this->arrivals[request];
    Progress& state = this->progress[request];
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
    const Duration length = this->engines[worker].Begin();
    if (length > Duration{0}) {
      this->stepping[worker] = true;
      this->Schedule(this->now + length, Kind::kStep, worker);
    }
  }

  void StepDone(std::size_t worker) {
    this->stepping[worker] = false;
    const auto tokens = this->engines[worker].Finish();
    for (const EngineCacheChange& change :
         this->engines[worker].TakeCacheChanges()) {
      this->SendCache(worker, change);
    }
    this->stepping[worker] = true;  // placements wait for the step's end
    for (const EngineToken& token : tokens) {
      this->Token(token);
    }
    this->stepping[worker] = false;
    this->StartStep(worker);
  }

  void SendCache(std::size_t worker, const EngineCacheChange& change) {
    const std::uint64_t sequence = ++this->sequences[worker];
    if (this->random.Fraction() < this->settings.cache_lost) {
      return;
    }
    Scheduled event;
    event.at = this->now + this->settings.cache_lag;
    event.order = ++this->orders;
    event.kind = Kind::kCache;
    event.index = worker;
    event.change = change;
    event.sequence = sequence;
    this->queue.push(event);
  }

  void Token(const EngineToken& token) {
    const auto request = static_cast<std::size_t>(token.id);
    const Arrival& arrival = this->arrivals[request];
    Progress& state = this->progress[request];
    this->Measure(arrival, state);
    state.tokens = token.produced;
    state.last = this->now;
    if (token.last) {
      state.ended = true;
      if (this->Warm()) {
        this->good_tokens += token.produced;
        ++this->result.completed;
      }
      this->policy.ended(this->now, request, token.produced);
    } else if (token.produced == 1 || token.produced % 8 == 0) {
      this->policy.produced(this->now, request, token.produced);
    }
  }

  void Measure(const Arrival& arrival, const Progress& state) {
    if (!this->Warm()) {
      return;
    }
    ++this->all_tokens;
    this->got[arrival.organisation] += 1;
    if (state.tokens == 0) {
      this->got[arrival.organisation] += arrival.prompt_tokens;
      const double waited = ToSeconds(this->now - arrival.at);
      const bool verdict = arrival.request_class == RequestClass::kVerdict;
      (verdict ? this->result.verdict_first : this->result.draft_first)
          .Add(waited);
      return;
    }
    const double gap = ToSeconds(this->now - state.last);
    this->result.gaps.Add(gap);
    this->result.stall_seconds += std::max(0.0, gap - kStallAfter);
  }

  void Sample(std::size_t worker) {
    Scheduled event;
    event.at = this->now + this->settings.report_lag;
    event.order = ++this->orders;
    event.kind = Kind::kReport;
    event.index = worker;
    event.status = this->engines[worker].Status();
    this->queue.push(event);
    if (!this->preemptions_known && this->Warm()) {
      this->preemptions_known = true;
      this->preemptions_before = this->Preemptions();
    }
    this->Schedule(this->now + this->settings.report_every, Kind::kSample,
                   worker);
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
        ToSeconds(this->settings.length - this->settings.warm_up);
    // A stream that still stands still at the end has stalled until then.
    const Instant end = Instant{} + this->settings.length;
    for (const Progress& state : this->progress) {
      if (state.placed && !state.ended && state.tokens > 0) {
        const double gap = ToSeconds(end - state.last);
        this->result.stall_seconds += std::max(0.0, gap - kStallAfter);
      }
    }
    this->result.preemptions = this->Preemptions() - this->preemptions_before;
    this->result.goodput = static_cast<double>(this->good_tokens) / seconds;
    this->result.token_rate = static_cast<double>(this->all_tokens) / seconds;
    this->result.jain = Jain(this->got, this->asked);
    return this->result;
  }

  const Mix& mix;
  const TrialSettings& settings;
  std::vector<Arrival> arrivals;
  std::vector<Progress> progress;
  std::vector<EngineModel> engines;
  std::vector<bool> stepping;
  std::vector<std::uint64_t> sequences;
  Random random;
  std::vector<double> got;
  std::vector<double> asked;
  TrialPolicy policy;
  TrialResult result;
  std::priority_queue<Scheduled, std::vector<Scheduled>, Later> queue;
  std::uint64_t orders = 0;
  Instant now;
  std::uint64_t good_tokens = 0;
  std::uint64_t all_tokens = 0;
  bool preemptions_known = false;
  std::uint64_t preemptions_before = 0;
};

}  // namespace

void Quantiles::Add(double seconds) {
  const double ratio = std::max(seconds, kSmallest) / kSmallest;
  const auto bucket =
      static_cast<std::size_t>(std::log(ratio) / std::log(kRatio));
  ++this->buckets[std::min(bucket, this->buckets.size() - 1)];
  ++this->count;
}

double Quantiles::At(double part) const {
  const double wanted = part * static_cast<double>(this->count);
  double seen = 0;
  for (std::size_t i = 0; i < this->buckets.size(); ++i) {
    seen += this->buckets[i];
    if (seen >= wanted && seen > 0) {
      return kSmallest * std::pow(kRatio, static_cast<double>(i) + 0.5);
    }
  }
  return 0;
}

TrialResult RunTrial(const Mix& mix, const TrialSettings& settings,
                     const MakeTrialPolicy& make) {
  Trial trial(mix, settings);
  return trial.Run(make);
}

}  // namespace limpetlink::bench
