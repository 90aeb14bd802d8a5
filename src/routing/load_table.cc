#include <algorithm>

#include "routing/routing.h"

namespace limpetlink {
namespace {

// A report older than this doesn't reflect the current requests of other
// hosts. Memory usage is valid for longer: an old figure is still more accurate
// than this host's own requests alone.
constexpr Duration kReportLifetime = std::chrono::milliseconds(1500);
constexpr Duration kMemoryReportLifetime = std::chrono::milliseconds(4000);
// Random part of the score: keeps hosts with equal information from selecting
// the same one of equal workers.
constexpr double kRandomTieBreakMs = 4.0;
// Up to kMaxUnsampled workers of the own failure domain are all compared; of
// more, kSampleSize are.
constexpr std::size_t kMaxUnsampled = 5;
constexpr std::size_t kSampleSize = 2;
// Weight of the latest attempt in a worker's failure rate.
constexpr double kFailureRateGain = 0.15;
// Delay added for a failure rate of 1: a plain request is retried, a stream is
// lost.
constexpr double kFailureMs = 150.0;
constexpr double kEngineFailureMs = 1500.0;
// Delay of a plain request at a worker whose slots are all in use.
constexpr double kSlotOccupancyMs = 100.0;
// Time that an engine needs for each prompt token when it interleaves prompt
// processing with the decoding of running streams.
constexpr double kPrefillMsPerToken = 0.14;
// A request that exceeds the worker's memory waits until a stream ends, or
// preempts a running stream.
constexpr double kOverflowMsPerToken = 0.5;
// Fraction of the memory that expected final sizes may fill; length hints are
// often too low.
constexpr double kUsableMemory = 0.95;
// Delay at full memory: a full worker generates tokens more slowly and loses
// more streams when it leaves.
constexpr double kMemoryOccupancyMs = 250.0;
// Assumed memory of a request of another host.
constexpr double kOtherRequestTokens = 3000.0;
// Round trips of a plain request to a worker farther away.
constexpr double kOtherDomainMs = 10.0;
constexpr double kOtherRegionMs = 60.0;
// A stream farther away is harder to migrate when its worker leaves, and the
// load information from there is older.
constexpr double kEngineOtherDomainMs = 300.0;
constexpr double kEngineOtherRegionMs = 900.0;

std::map<UpstreamId, WorkerLoad> ByWorker(
    const std::vector<WorkerLoad>& loads) {
  std::map<UpstreamId, WorkerLoad> by_worker;
  for (const WorkerLoad& load : loads) {
    by_worker[load.worker] = load;
  }
  return by_worker;
}

void Add(const WorkerLoad& load, WorkerLoad* sum) {
  sum->running += load.running;
  sum->waiting += load.waiting;
  sum->waiting_tokens += load.waiting_tokens;
  sum->tokens += load.tokens;
}

void Subtract(const WorkerLoad& load, WorkerLoad* sum) {
  sum->running -= load.running;
  sum->waiting -= load.waiting;
  sum->waiting_tokens -= load.waiting_tokens;
  sum->tokens -= load.tokens;
}

bool IsZero(const WorkerLoad& load) {
  return load.running == 0 && load.waiting == 0 && load.waiting_tokens == 0 &&
         load.tokens == 0;
}

double DistanceMs(Distance distance, bool engine) {
  switch (distance) {
    case Distance::kSameDomain:
      return 0;
    case Distance::kSameRegion:
      return engine ? kEngineOtherDomainMs : kOtherDomainMs;
    case Distance::kOtherRegion:
      break;
  }
  return engine ? kEngineOtherRegionMs : kOtherRegionMs;
}

}  // namespace

void LoadTable::Begin(Instant now, const UpstreamId& worker,
                      const RequestSize& size) {
  Entry& entry = this->entries[worker];
  ++entry.running;
  ++entry.waiting;
  entry.waiting_tokens += size.prompt_tokens;
  entry.tokens += size.tokens;
  if (size.tokens > 0) {
    entry.recent.push_back({now, size.tokens});
    while (now - entry.recent.front().at > kMemoryReportLifetime) {
      entry.recent.pop_front();
    }
  }
}

void LoadTable::End(Instant /*now*/, const UpstreamId& worker,
                    const RequestSize& size, bool started) {
  const auto found = this->entries.find(worker);
  if (found == this->entries.end()) {
    return;
  }
  Entry& entry = found->second;
  entry.running -= std::min(entry.running, 1U);
  entry.tokens -= std::min(entry.tokens, size.tokens);
  if (!started) {
    this->RecordFirstByte(worker, size);
  }
}

void LoadTable::RecordFirstByte(const UpstreamId& worker,
                                const RequestSize& size) {
  const auto found = this->entries.find(worker);
  if (found == this->entries.end()) {
    return;
  }
  Entry& entry = found->second;
  entry.waiting -= std::min(entry.waiting, 1U);
  entry.waiting_tokens -= std::min(entry.waiting_tokens, size.prompt_tokens);
}

void LoadTable::ApplyHostLoads(Instant /*now*/, const HostId& host,
                               const std::vector<WorkerLoad>& loads) {
  this->Replace(&this->loads_by_host[host], loads);
}

void LoadTable::RemoveHost(const HostId& host) {
  this->Replace(&this->loads_by_host[host], {});
  this->loads_by_host.erase(host);
}

void LoadTable::ApplyDomainLoads(Instant /*now*/, const FailureDomainId& domain,
                                 const std::vector<WorkerLoad>& loads) {
  this->Replace(&this->loads_by_domain[domain], loads);
}

void LoadTable::RemoveDomain(const FailureDomainId& domain) {
  this->Replace(&this->loads_by_domain[domain], {});
  this->loads_by_domain.erase(domain);
}

void LoadTable::Replace(LoadsByWorker* advertised,
                        const std::vector<WorkerLoad>& loads) {
  for (const auto& [worker, load] : *advertised) {
    const auto sum = this->other_hosts.find(worker);
    if (sum == this->other_hosts.end()) {
      continue;  // an all-zero load whose sum was already erased
    }
    Subtract(load, &sum->second);
    if (IsZero(sum->second)) {
      this->other_hosts.erase(sum);
    }
  }
  *advertised = ByWorker(loads);
  for (const auto& [worker, load] : *advertised) {
    Add(load, &this->other_hosts[worker]);
  }
}

std::vector<WorkerLoad> LoadTable::LocalLoads() const {
  std::vector<WorkerLoad> loads;
  for (const auto& [worker, entry] : this->entries) {
    if (entry.running > 0) {
      loads.push_back({worker, entry.running, entry.waiting,
                       entry.waiting_tokens, entry.tokens});
    }
  }
  return loads;
}

std::vector<WorkerLoad> LoadTable::DomainLoads() const {
  LoadsByWorker sums;
  const auto add = [&sums](const WorkerLoad& load) {
    WorkerLoad& sum = sums[load.worker];
    sum.worker = load.worker;
    Add(load, &sum);
  };
  for (const WorkerLoad& load : this->LocalLoads()) {
    add(load);
  }
  for (const auto& [host, by_worker] : this->loads_by_host) {
    for (const auto& [worker, load] : by_worker) {
      add(load);
    }
  }
  std::vector<WorkerLoad> loads;
  loads.reserve(sums.size());
  for (const auto& [worker, sum] : sums) {
    loads.push_back(sum);
  }
  return loads;
}

std::uint32_t LoadTable::DomainRequestsAt(const UpstreamId& worker) const {
  const auto own = this->entries.find(worker);
  std::uint32_t requests = own == this->entries.end() ? 0 : own->second.running;
  for (const auto& [host, loads] : this->loads_by_host) {
    if (const auto found = loads.find(worker); found != loads.end()) {
      requests += found->second.running;
    }
  }
  return requests;
}

WorkerLoad LoadTable::OtherHostsLoadAt(const UpstreamId& worker) const {
  const auto found = this->other_hosts.find(worker);
  return found == this->other_hosts.end() ? WorkerLoad{} : found->second;
}

bool LoadTable::IsLoadKnown(Instant now, const Entry& entry,
                            const LoadCandidate& candidate) const {
  const bool near = candidate.distance == Distance::kSameDomain;
  return this->HasFreshMemoryReport(now, entry) ||
         (near && !this->loads_by_host.empty()) ||
         this->loads_by_domain.count(candidate.domain) > 0;
}

void LoadTable::ApplyReport(Instant now, const UpstreamId& worker,
                            const LoadReport& report) {
  Entry& entry = this->entries[worker];
  const bool discards_memory = entry.reported &&
                               entry.report.memory_tokens.has_value() &&
                               !report.memory_tokens.has_value() &&
                               now - entry.reported_at <= kMemoryReportLifetime;
  if (discards_memory) {
    return;  // keep the fresh report that has the memory usage
  }
  entry.report = report;
  entry.reported_at = now;
  entry.reported = true;
  entry.own_at_report = entry.running;
}

void LoadTable::RecordAttempt(Instant now, const UpstreamId& worker,
                              bool failed, bool unusable) {
  Entry& entry = this->entries[worker];
  entry.failure_rate +=
      kFailureRateGain * ((failed ? 1.0 : 0.0) - entry.failure_rate);
  if (unusable) {
    entry.health.RecordFailure(now, false);
  } else {
    entry.health.RecordSuccess(now);
  }
}

void LoadTable::Remove(const UpstreamId& worker) {
  this->entries.erase(worker);
}

bool LoadTable::HasFreshMemoryReport(Instant now, const Entry& entry) const {
  return entry.reported && entry.report.memory_tokens.has_value() &&
         now - entry.reported_at <= kMemoryReportLifetime;
}

double LoadTable::MeanEngineDelay(Instant now,
                                  const std::vector<LoadCandidate>& candidates,
                                  const RequestSize& size) {
  double sum = 0;
  std::uint32_t count = 0;
  for (const LoadCandidate& candidate : candidates) {
    const Entry& entry = this->entries[candidate.worker];
    if (candidate.memory_tokens > 0 &&
        this->IsLoadKnown(now, entry, candidate)) {
      sum += this->EngineDelay(now, entry, candidate, size);
      ++count;
    }
  }
  return count == 0 ? 0.0 : sum / count;
}

double LoadTable::ReportedMemory(Instant now, const Entry& entry) const {
  if (!this->HasFreshMemoryReport(now, entry)) {
    return 0;
  }
  auto memory = static_cast<double>(*entry.report.memory_tokens);
  const Instant measured_at = entry.reported_at - entry.report.lag;
  for (const RecentPlacement& placement : entry.recent) {
    memory += placement.at >= measured_at
                  ? static_cast<double>(placement.tokens)
                  : 0.0;
  }
  return memory;
}

double LoadTable::SlotDelay(Instant now, const Entry& entry,
                            const LoadCandidate& candidate) const {
  std::uint32_t others = this->OtherHostsLoadAt(candidate.worker).running;
  const bool fresh =
      entry.reported && now - entry.reported_at <= kReportLifetime;
  if (fresh) {
    const std::uint32_t all = entry.report.running + entry.report.waiting;
    others = std::max(others, all - std::min(all, entry.own_at_report));
  }
  const double slots = std::max(1U, candidate.slots);
  return kSlotOccupancyMs * (entry.running + others + 1.0) / slots +
         kFailureMs * entry.failure_rate;
}

double LoadTable::EngineDelay(Instant now, const Entry& entry,
                              const LoadCandidate& candidate,
                              const RequestSize& size) const {
  const WorkerLoad others = this->OtherHostsLoadAt(candidate.worker);
  auto expected = static_cast<double>(entry.tokens + others.tokens);
  std::uint32_t unaccounted = 0;
  const bool fresh =
      entry.reported && now - entry.reported_at <= kReportLifetime;
  if (fresh) {
    const std::uint32_t all = entry.report.running + entry.report.waiting;
    const std::uint32_t known = entry.own_at_report + others.running;
    unaccounted = all - std::min(all, known);
  }
  expected += kOtherRequestTokens * unaccounted;
  expected = std::max(expected, this->ReportedMemory(now, entry)) +
             static_cast<double>(size.tokens);
  const auto memory = static_cast<double>(candidate.memory_tokens);
  const double overflow = std::max(0.0, expected - kUsableMemory * memory);
  const auto prefill_tokens = static_cast<double>(
      entry.waiting_tokens + others.waiting_tokens + size.prompt_tokens);
  return kPrefillMsPerToken * prefill_tokens + kOverflowMsPerToken * overflow +
         kMemoryOccupancyMs * expected / memory +
         kEngineFailureMs * entry.failure_rate;
}

std::vector<LoadCandidate> LoadTable::Sample(
    std::vector<LoadCandidate> candidates) {
  const auto near = [](const LoadCandidate& candidate) {
    return candidate.distance == Distance::kSameDomain;
  };
  const auto far = std::partition(candidates.begin(), candidates.end(), near);
  std::size_t near_count = static_cast<std::size_t>(far - candidates.begin());
  if (near_count <= kMaxUnsampled || !this->loads_by_host.empty()) {
    return candidates;
  }
  // Moves the sample to the front, then drops the other near candidates.
  for (std::size_t i = 0; i < kSampleSize; ++i) {
    const std::size_t other = i + this->random.Below(near_count - i);
    std::swap(candidates[i], candidates[other]);
  }
  candidates.erase(candidates.begin() + kSampleSize, far);
  return candidates;
}

std::optional<LoadChoice> LoadTable::Choose(
    Instant now, std::vector<LoadCandidate> candidates,
    const RequestSize& size) {
  const double mean_delay = this->MeanEngineDelay(now, candidates, size);
  candidates = this->Sample(std::move(candidates));
  std::optional<LoadChoice> best;
  double best_score = 0;
  bool best_ejected = true;
  for (const LoadCandidate& candidate : candidates) {
    const Entry& entry = this->entries[candidate.worker];
    const bool engine = candidate.memory_tokens > 0;
    double delay = engine ? this->EngineDelay(now, entry, candidate, size)
                          : this->SlotDelay(now, entry, candidate);
    if (engine && !this->IsLoadKnown(now, entry, candidate)) {
      delay = std::max(delay, mean_delay);
    }
    delay += DistanceMs(candidate.distance, engine);
    const double score = delay + kRandomTieBreakMs * this->random.Fraction();
    const bool ejected = entry.health.Ejected(now);
    const bool better = !best.has_value() || (best_ejected && !ejected) ||
                        (ejected == best_ejected && score < best_score);
    if (!better) {
      continue;
    }
    best_score = score;
    best_ejected = ejected;
    best = LoadChoice{candidate.worker, delay, entry.running,
                      this->OtherHostsLoadAt(candidate.worker), std::nullopt};
    if (entry.reported) {
      best->report_age = now - entry.reported_at;
    }
  }
  return best;
}

}  // namespace limpetlink
