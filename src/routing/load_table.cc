#include <algorithm>

#include "routing/routing.h"

namespace limpetlink {
namespace {

// A report tells nothing of what other hosts do now once it is this old. An old
// one is still nearer the truth than this host's own requests alone.
constexpr Duration kReportLife = std::chrono::milliseconds(1500);
constexpr Duration kMemoryReportLife = std::chrono::milliseconds(4000);
// Keeps hosts that know the same from choosing the same of equal workers.
constexpr double kRandomPartMs = 4.0;
// Near candidates that are all compared, and how many of more are.
constexpr std::size_t kComparedAll = 5;
constexpr std::size_t kCompared = 2;
// Weight of the newest attempt in a worker's share of failures.
constexpr double kNewestFailure = 0.15;
// What a worker that fails every attempt is counted to delay: a plain request
// is tried again, a stream is lost.
constexpr double kFailureMs = 150.0;
constexpr double kEngineFailureMs = 1500.0;
// Delay of a plain request at a worker whose slots are all taken.
constexpr double kFullSlotsMs = 100.0;
// An engine that reads prompts between the tokens of running streams takes
// this long for each token of a prompt.
constexpr double kReadMsPerToken = 0.14;
// Memory beyond what the worker has is waited for until a stream ends, or
// costs a running stream its place.
constexpr double kNoRoomMsPerToken = 0.5;
// Part of the memory that expected ends may fill; guesses are often too low.
constexpr double kFullMemory = 0.95;
// A full worker makes tokens more slowly and loses more when it leaves.
constexpr double kMemoryMs = 250.0;
// Memory that a request of another host is counted to hold.
constexpr double kOtherRequestTokens = 3000.0;
// Round trips of a plain request to a worker farther away.
constexpr double kOtherDomainMs = 10.0;
constexpr double kOtherRegionMs = 60.0;
// A stream farther away is harder to save when its worker leaves, and what is
// known of the load there is older.
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

void Take(const WorkerLoad& load, WorkerLoad* sum) {
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
    entry.begun.push_back({now, size.tokens});
    while (now - entry.begun.front().at > kMemoryReportLife) {
      entry.begun.pop_front();
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
                               const std::vector<WorkerLoad>& shares) {
  this->Replace(&this->told[host], shares);
}

void LoadTable::RemoveHost(const HostId& host) {
  this->Replace(&this->told[host], {});
  this->told.erase(host);
}

void LoadTable::ApplyDomainLoads(Instant /*now*/, const FailureDomainId& domain,
                                 const std::vector<WorkerLoad>& loads) {
  this->Replace(&this->told_by_domain[domain], loads);
}

void LoadTable::RemoveDomain(const FailureDomainId& domain) {
  this->Replace(&this->told_by_domain[domain], {});
  this->told_by_domain.erase(domain);
}

void LoadTable::Replace(LoadsByWorker* told,
                        const std::vector<WorkerLoad>& loads) {
  for (const auto& [worker, load] : *told) {
    const auto sum = this->others.find(worker);
    if (sum == this->others.end()) {
      continue;  // a row of zeros, whose sum went with the last other row
    }
    Take(load, &sum->second);
    if (IsZero(sum->second)) {
      this->others.erase(sum);
    }
  }
  *told = ByWorker(loads);
  for (const auto& [worker, load] : *told) {
    Add(load, &this->others[worker]);
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
  for (const auto& [host, by_worker] : this->told) {
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

WorkerLoad LoadTable::OthersAt(const UpstreamId& worker) const {
  const auto found = this->others.find(worker);
  return found == this->others.end() ? WorkerLoad{} : found->second;
}

bool LoadTable::LoadTold(Instant now, const Entry& entry,
                         const LoadCandidate& candidate) const {
  const bool near = candidate.distance == Distance::kSameDomain;
  return this->MemoryTold(now, entry) || (near && !this->told.empty()) ||
         this->told_by_domain.count(candidate.domain) > 0;
}

void LoadTable::ApplyReport(Instant now, const UpstreamId& worker,
                            const LoadReport& report) {
  Entry& entry = this->entries[worker];
  const bool told_more = entry.reported &&
                         entry.report.memory_tokens.has_value() &&
                         !report.memory_tokens.has_value() &&
                         now - entry.reported_at <= kMemoryReportLife;
  if (told_more) {
    return;  // the fuller report counts while it is fresh
  }
  entry.report = report;
  entry.reported_at = now;
  entry.reported = true;
  entry.own_at_report = entry.running;
}

void LoadTable::RecordAttempt(Instant now, const UpstreamId& worker,
                              bool failed, bool silent) {
  Entry& entry = this->entries[worker];
  entry.failures += kNewestFailure * ((failed ? 1.0 : 0.0) - entry.failures);
  if (silent) {
    entry.health.RecordFailure(now, false);
  } else {
    entry.health.RecordSuccess(now);
  }
}

void LoadTable::Remove(const UpstreamId& worker) {
  this->entries.erase(worker);
}

bool LoadTable::MemoryTold(Instant now, const Entry& entry) const {
  return entry.reported && entry.report.memory_tokens.has_value() &&
         now - entry.reported_at <= kMemoryReportLife;
}

double LoadTable::UsualDelay(Instant now,
                             const std::vector<LoadCandidate>& candidates,
                             const RequestSize& size) {
  double sum = 0;
  std::uint32_t count = 0;
  for (const LoadCandidate& candidate : candidates) {
    const Entry& entry = this->entries[candidate.worker];
    if (candidate.memory_tokens > 0 && this->LoadTold(now, entry, candidate)) {
      sum += this->EngineDelay(now, entry, candidate, size);
      ++count;
    }
  }
  return count == 0 ? 0.0 : sum / count;
}

double LoadTable::ReportedMemory(Instant now, const Entry& entry) const {
  if (!this->MemoryTold(now, entry)) {
    return 0;
  }
  auto memory = static_cast<double>(*entry.report.memory_tokens);
  const Instant told_at = entry.reported_at - entry.report.lag;
  for (const Begun& begun : entry.begun) {
    memory += begun.at >= told_at ? static_cast<double>(begun.tokens) : 0.0;
  }
  return memory;
}

double LoadTable::SlotDelay(Instant now, const Entry& entry,
                            const LoadCandidate& candidate) const {
  std::uint32_t others = this->OthersAt(candidate.worker).running;
  const bool fresh = entry.reported && now - entry.reported_at <= kReportLife;
  if (fresh) {
    const std::uint32_t all = entry.report.running + entry.report.waiting;
    others = std::max(others, all - std::min(all, entry.own_at_report));
  }
  const double slots = std::max(1U, candidate.slots);
  return kFullSlotsMs * (entry.running + others + 1.0) / slots +
         kFailureMs * entry.failures;
}

double LoadTable::EngineDelay(Instant now, const Entry& entry,
                              const LoadCandidate& candidate,
                              const RequestSize& size) const {
  const WorkerLoad told = this->OthersAt(candidate.worker);
  auto expected = static_cast<double>(entry.tokens + told.tokens);
  std::uint32_t untold = 0;
  const bool fresh = entry.reported && now - entry.reported_at <= kReportLife;
  if (fresh) {
    const std::uint32_t all = entry.report.running + entry.report.waiting;
    const std::uint32_t known = entry.own_at_report + told.running;
    untold = all - std::min(all, known);
  }
  expected += kOtherRequestTokens * untold;
  expected = std::max(expected, this->ReportedMemory(now, entry)) +
             static_cast<double>(size.tokens);
  const auto memory = static_cast<double>(candidate.memory_tokens);
  const double beyond = std::max(0.0, expected - kFullMemory * memory);
  const auto to_read = static_cast<double>(
      entry.waiting_tokens + told.waiting_tokens + size.prompt_tokens);
  return kReadMsPerToken * to_read + kNoRoomMsPerToken * beyond +
         kMemoryMs * expected / memory + kEngineFailureMs * entry.failures;
}

std::vector<LoadCandidate> LoadTable::Sample(
    std::vector<LoadCandidate> candidates) {
  const auto near = [](const LoadCandidate& candidate) {
    return candidate.distance == Distance::kSameDomain;
  };
  const auto far = std::partition(candidates.begin(), candidates.end(), near);
  std::size_t left = static_cast<std::size_t>(far - candidates.begin());
  if (left <= kComparedAll || !this->told.empty()) {
    return candidates;
  }
  // The sample is moved to the front, then the rest of the near ones dropped.
  for (std::size_t i = 0; i < kCompared; ++i) {
    const std::size_t other = i + this->random.Below(left - i);
    std::swap(candidates[i], candidates[other]);
  }
  candidates.erase(candidates.begin() + kCompared, far);
  return candidates;
}

std::optional<LoadChoice> LoadTable::Choose(
    Instant now, std::vector<LoadCandidate> candidates,
    const RequestSize& size) {
  const double usual = this->UsualDelay(now, candidates, size);
  candidates = this->Sample(std::move(candidates));
  std::optional<LoadChoice> best;
  double best_score = 0;
  bool best_ejected = true;
  for (const LoadCandidate& candidate : candidates) {
    const Entry& entry = this->entries[candidate.worker];
    const bool engine = candidate.memory_tokens > 0;
    double delay = engine ? this->EngineDelay(now, entry, candidate, size)
                          : this->SlotDelay(now, entry, candidate);
    if (engine && !this->LoadTold(now, entry, candidate)) {
      delay = std::max(delay, usual);
    }
    delay += DistanceMs(candidate.distance, engine);
    const double score = delay + kRandomPartMs * this->random.Fraction();
    const bool ejected = entry.health.Ejected(now);
    const bool better = !best.has_value() || (best_ejected && !ejected) ||
                        (ejected == best_ejected && score < best_score);
    if (!better) {
      continue;
    }
    best_score = score;
    best_ejected = ejected;
    best = LoadChoice{candidate.worker, delay, entry.running,
                      this->OthersAt(candidate.worker), std::nullopt};
    if (entry.reported) {
      best->report_age = now - entry.reported_at;
    }
  }
  return best;
}

}  // namespace limpetlink
