#include <algorithm>

#include "routing/routing.h"

namespace limpetlink {
namespace {

// A report tells nothing of what other hosts do now once it is this old. An old
// one is still nearer the truth than this host's own requests alone.
constexpr Duration kReportLife = std::chrono::milliseconds(1500);
constexpr Duration kMemoryReportLife = std::chrono::milliseconds(4000);
// Load that a worker farther away must have less to be chosen: a round trip
// between regions is billed and takes as long as an order's work.
constexpr double kOtherDomain = 0.10;
constexpr double kOtherRegion = 0.60;
constexpr double kRandomPart = 0.04;
// Near candidates that are all compared, and how many of more are.
constexpr std::size_t kComparedAll = 5;
constexpr std::size_t kCompared = 2;
// Weight of the newest attempt in a worker's share of failures.
constexpr double kNewestFailure = 0.15;
// Load that a worker which fails every attempt is counted to have on top.
constexpr double kFailureLoad = 1.5;
// A prompt that is still being read slows all that run beside it, and the next
// prompt waits for it.
constexpr double kPrefillLoad = 0.15;
// Memory that a request of another host is counted to hold.
constexpr double kOtherRequestTokens = 3000.0;

double DistanceLoad(Distance distance) {
  switch (distance) {
    case Distance::kSameDomain:
      return 0;
    case Distance::kSameRegion:
      return kOtherDomain;
    case Distance::kOtherRegion:
      return kOtherRegion;
  }
  return kOtherRegion;
}

}  // namespace

void LoadTable::Begin(Instant now, const UpstreamId& worker,
                      const RequestSize& size) {
  Entry& entry = this->entries[worker];
  ++entry.running;
  ++entry.waiting;
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
    entry.waiting -= std::min(entry.waiting, 1U);
  }
}

void LoadTable::Started(const UpstreamId& worker) {
  const auto found = this->entries.find(worker);
  if (found != this->entries.end()) {
    found->second.waiting -= std::min(found->second.waiting, 1U);
  }
}

void LoadTable::TakeShares(Instant /*now*/, const HostId& host,
                           const std::vector<OwnLoad>& shares) {
  std::map<UpstreamId, OwnLoad>& by_worker = this->told[host];
  by_worker.clear();
  for (const OwnLoad& share : shares) {
    by_worker[share.worker] = share;
  }
}

void LoadTable::ForgetHost(const HostId& host) { this->told.erase(host); }

std::vector<OwnLoad> LoadTable::OwnLoads() const {
  std::vector<OwnLoad> loads;
  for (const auto& [worker, entry] : this->entries) {
    if (entry.running > 0) {
      loads.push_back({worker, entry.running, entry.waiting, entry.tokens});
    }
  }
  return loads;
}

OwnLoad LoadTable::OthersAt(const UpstreamId& worker) const {
  OwnLoad sum;
  for (const auto& [host, by_worker] : this->told) {
    const auto found = by_worker.find(worker);
    if (found != by_worker.end()) {
      sum.running += found->second.running;
      sum.waiting += found->second.waiting;
      sum.tokens += found->second.tokens;
    }
  }
  return sum;
}

void LoadTable::Report(Instant now, const UpstreamId& worker,
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

void LoadTable::Note(Instant now, const UpstreamId& worker, bool failed,
                     bool silent) {
  Entry& entry = this->entries[worker];
  entry.failures += kNewestFailure * ((failed ? 1.0 : 0.0) - entry.failures);
  if (silent) {
    entry.health.Failed(now, false);
  } else {
    entry.health.Succeeded(now);
  }
}

void LoadTable::Forget(const UpstreamId& worker) {
  this->entries.erase(worker);
}

bool LoadTable::MemoryTold(Instant now, const Entry& entry) const {
  return entry.reported && entry.report.memory_tokens.has_value() &&
         now - entry.reported_at <= kMemoryReportLife;
}

double LoadTable::UsualLoad(Instant now,
                            const std::vector<LoadCandidate>& candidates,
                            const RequestSize& size) {
  double sum = 0;
  std::uint32_t count = 0;
  for (const LoadCandidate& candidate : candidates) {
    const Entry& entry = this->entries[candidate.worker];
    if (this->MemoryTold(now, entry)) {
      sum += this->LoadOf(now, entry, candidate, size);
      ++count;
    }
  }
  return count == 0 ? 0.0 : sum / count;
}

double LoadTable::MemoryOf(Instant now, const Entry& entry,
                           const RequestSize& size,
                           std::uint32_t others) const {
  if (!this->MemoryTold(now, entry)) {
    return static_cast<double>(entry.tokens + size.tokens) +
           kOtherRequestTokens * others;
  }
  double memory =
      static_cast<double>(*entry.report.memory_tokens + size.tokens);
  const Instant told_at = entry.reported_at - entry.report.lag;
  for (const Begun& begun : entry.begun) {
    memory += begun.at >= told_at ? static_cast<double>(begun.tokens) : 0.0;
  }
  return memory;
}

double LoadTable::LoadOf(Instant now, const Entry& entry,
                         const LoadCandidate& candidate,
                         const RequestSize& size) const {
  const OwnLoad told = this->OthersAt(candidate.worker);
  std::uint32_t others = told.running;
  const bool fresh = entry.reported && now - entry.reported_at <= kReportLife;
  if (fresh) {
    const std::uint32_t all = entry.report.running + entry.report.waiting;
    others = std::max(others, all - std::min(all, entry.own_at_report));
  }
  const double slots = std::max(1U, candidate.slots);
  double load = (entry.running + others + 1.0) / slots;
  if (candidate.memory_tokens > 0) {
    const double known =
        static_cast<double>(entry.tokens + told.tokens + size.tokens);
    const double memory =
        std::max(known, this->MemoryOf(now, entry, size, others));
    load =
        std::max(load, memory / static_cast<double>(candidate.memory_tokens));
    load += kPrefillLoad * (entry.waiting + told.waiting);
  }
  return load + kFailureLoad * entry.failures;
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
  const double usual = this->UsualLoad(now, candidates, size);
  candidates = this->Sample(std::move(candidates));
  std::optional<LoadChoice> best;
  double best_score = 0;
  bool best_ejected = true;
  for (const LoadCandidate& candidate : candidates) {
    const Entry& entry = this->entries[candidate.worker];
    double load = this->LoadOf(now, entry, candidate, size);
    if (candidate.memory_tokens > 0 && !this->MemoryTold(now, entry)) {
      load = std::max(load, usual);
    }
    const double score = load + DistanceLoad(candidate.distance) +
                         kRandomPart * this->random.Fraction();
    const bool ejected = entry.health.Ejected(now);
    const bool better = !best.has_value() || (best_ejected && !ejected) ||
                        (ejected == best_ejected && score < best_score);
    if (!better) {
      continue;
    }
    best_score = score;
    best_ejected = ejected;
    best = LoadChoice{candidate.worker, load, entry.running, std::nullopt};
    if (entry.reported) {
      best->report_age = now - entry.reported_at;
    }
  }
  return best;
}

}  // namespace limpetlink
