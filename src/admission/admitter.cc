#include "admission/detail/admitter.h"

#include <algorithm>
#include <cmath>

namespace limpetlink {
namespace {

constexpr std::uint32_t kHorizonTokens[] = {
    0, 32, 64, 96, 128, 192, 256, 384, 512, 768, 1024, 1536, 2048, 4096, 8192};
constexpr Duration kRefreshEvery = std::chrono::milliseconds(100);
constexpr double kCorrectionGain = 0.1;      // per report
constexpr double kMaxUnreportedStreams = 4;  // before the first report
constexpr double kMinBatch = 8;  // streams; lower limit of the fitted cap
constexpr double kPageTokens = 16;
constexpr double kMinSurvivalFraction = 0.1;
constexpr std::int32_t kVerdictPriority = 1000;
// Tokens; each further level needs four times as many.
constexpr std::uint64_t kFirstPriorityLevelTokens = 64;
constexpr double kUncappedBatch = 1e9;

double OverflowProbability(double mean, double variance, double limit) {
  if (variance <= 0) {
    return mean > limit ? 1.0 : 0.0;
  }
  return 0.5 * std::erfc((limit - mean) / std::sqrt(2.0 * variance));
}

}  // namespace

Admitter::Admitter(AdmissionPolicy policy) : policy(policy) {}

void Admitter::SetPolicy(AdmissionPolicy new_policy) {
  this->policy = new_policy;
}

Admitter::Moments Admitter::ComputeMoments(const Demand& demand,
                                           std::uint32_t produced) {
  Moments moments;
  const double survival = demand.lengths->Survival(produced);
  for (std::size_t i = 0; i < kHorizons; ++i) {
    const std::uint32_t length = produced + kHorizonTokens[i];
    if (length > demand.max_output_tokens) {
      break;
    }
    const double continuation = demand.lengths->Survival(length) / survival;
    const double tokens =
        static_cast<double>(demand.prompt_tokens) + length + kPageTokens / 2;
    moments.mean[i] = tokens * continuation;
    moments.variance[i] = tokens * tokens * continuation * (1.0 - continuation);
  }
  return moments;
}

double Admitter::PrefillTokens(const Demand& demand) {
  const std::uint32_t cached =
      std::min(demand.cached_tokens, demand.prompt_tokens);
  return static_cast<double>(demand.prompt_tokens - cached) + 1.0;
}

double Admitter::MemoryTokens(const Stream& stream) {
  return static_cast<double>(stream.demand.prompt_tokens) + stream.produced +
         kPageTokens / 2;
}

void Admitter::AddMoments(const Moments& moments, double sign) {
  for (std::size_t i = 0; i < kHorizons; ++i) {
    this->sums.mean[i] += sign * moments.mean[i];
    this->sums.variance[i] += sign * moments.variance[i];
  }
}

void Admitter::Refresh(Instant now) {
  if (now - this->refreshed < kRefreshEvery) {
    return;
  }
  this->refreshed = now;
  this->sums = {};
  this->memory_now = 0;
  for (auto& [key, stream] : this->streams) {
    stream.moments = ComputeMoments(stream.demand, stream.produced);
    this->AddMoments(stream.moments, 1.0);
    this->memory_now += MemoryTokens(stream);
  }
}

bool Admitter::IsRebuilding(Instant now) {
  if (this->announced && this->reported) {
    return false;
  }
  return now < this->rebuild_until;
}

void Admitter::BeginRebuild(Instant until) {
  this->rebuild_until = until;
  this->announced = false;
  this->reported = false;
}

bool Admitter::OverflowTooLikely(const Demand& demand, double reserve,
                                 double share) const {
  const double limit =
      this->capacity * share - this->unaccounted_tokens - reserve;
  if (!this->policy.risk) {
    return this->memory_now + demand.prompt_tokens > limit;
  }
  const Moments added = ComputeMoments(demand, 0);
  for (std::size_t i = 0; i < kHorizons; ++i) {
    // Horizons at which the request has probably finished don't count against
    // its admission.
    const bool likely_finished =
        added.mean[i] < kMinSurvivalFraction * added.mean[0];
    if (likely_finished) {
      break;
    }
    const double mean = this->sums.mean[i] + added.mean[i];
    const double variance = this->sums.variance[i] + added.variance[i];
    const double risk = OverflowProbability(mean, variance, limit);
    if (risk > this->policy.overflow_risk) {
      return true;
    }
  }
  return false;
}

double Admitter::BatchCap() const {
  if (!this->policy.batch_cap) {
    return kUncappedBatch;
  }
  const auto fitted =
      this->step_fit.SolveForX(ToSeconds(this->policy.step_target));
  return fitted ? std::max(*fitted, kMinBatch) : kUncappedBatch;
}

AdmissionDecision Admitter::CheckBatch(const Demand& demand,
                                       double share) const {
  const double cap = std::max(1.0, this->BatchCap() * share);
  const auto size = static_cast<double>(this->streams.size());
  if (size + 1 > cap) {
    return AdmissionDecision::kBatch;
  }
  if (demand.request_class == RequestClass::kVerdict) {
    return AdmissionDecision::kAdmit;
  }
  if (this->engine_waiting > 0) {
    return AdmissionDecision::kBatch;
  }
  const double reserved =
      this->policy.headroom
          ? this->headroom.Slots(this->verdicts,
                                 this->policy.headroom_deviations)
          : 0;
  const bool fits = size + 1 + std::min(reserved, cap / 2) <= cap;
  return fits ? AdmissionDecision::kAdmit : AdmissionDecision::kHeadroom;
}

bool Admitter::PrefillFull(const Demand& demand) const {
  if (!this->policy.prefill_cap || this->prefill <= 0) {
    return false;
  }
  const auto cap =
      this->prefill_fit.SolveForX(ToSeconds(this->policy.step_target));
  if (!cap) {
    return false;
  }
  return this->prefill + PrefillTokens(demand) > *cap;
}

AdmissionDecision Admitter::Check(Instant now, const Demand& demand,
                                  double share) {
  const auto size = static_cast<double>(this->streams.size());
  const bool restricted = this->capacity <= 0 || this->IsRebuilding(now);
  if (restricted && size >= kMaxUnreportedStreams) {
    return AdmissionDecision::kRebuild;
  }
  if (this->capacity <= 0) {
    return AdmissionDecision::kAdmit;
  }
  if (demand.prompt_tokens >= this->capacity) {
    return AdmissionDecision::kTooLong;
  }
  if (this->streams.empty()) {
    return AdmissionDecision::kAdmit;
  }
  const AdmissionDecision batch = this->CheckBatch(demand, share);
  if (batch != AdmissionDecision::kAdmit) {
    return batch;
  }
  if (this->PrefillFull(demand)) {
    return AdmissionDecision::kPrefill;
  }
  this->Refresh(now);
  const bool draft = demand.request_class == RequestClass::kDraft;
  const double slots =
      draft && this->policy.headroom
          ? this->headroom.Slots(this->verdicts,
                                 this->policy.headroom_deviations)
          : 0;
  const double reserve =
      std::min(slots * this->headroom.TokensPerVerdict(), this->capacity / 2);
  return this->OverflowTooLikely(demand, reserve, share)
             ? AdmissionDecision::kMemory
             : AdmissionDecision::kAdmit;
}

void Admitter::Add(Instant now, const StreamKey& key, const Demand& demand,
                   std::uint32_t produced) {
  this->Remove(key);
  Stream stream;
  stream.demand = demand;
  stream.produced = produced;
  stream.added = now;
  stream.moments = ComputeMoments(demand, produced);
  if (produced == 0) {
    this->prefill += PrefillTokens(demand);
  }
  stream.prefill_at_add = this->prefill;
  this->AddMoments(stream.moments, 1.0);
  this->memory_now += MemoryTokens(stream);
  this->verdicts += demand.request_class == RequestClass::kVerdict ? 1 : 0;
  this->streams.emplace(key, stream);
}

void Admitter::RecordFirstToken(Instant now, const Stream& stream) {
  this->prefill = std::max(0.0, this->prefill - PrefillTokens(stream.demand));
  this->prefill_fit.Observe(stream.prefill_at_add,
                            ToSeconds(now - stream.added));
}

bool Admitter::RecordProduced(Instant now, const StreamKey& key,
                              std::uint32_t tokens) {
  const auto it = this->streams.find(key);
  if (it == this->streams.end()) {
    return false;
  }
  if (tokens <= it->second.produced) {
    return true;
  }
  Stream& stream = it->second;
  if (stream.produced == 0) {
    this->RecordFirstToken(now, stream);
  }
  stream.produced = tokens;
  return true;
}

bool Admitter::Remove(const StreamKey& key) {
  const auto it = this->streams.find(key);
  if (it == this->streams.end()) {
    return false;
  }
  const Stream& stream = it->second;
  if (stream.produced == 0) {
    this->prefill = std::max(0.0, this->prefill - PrefillTokens(stream.demand));
  }
  this->AddMoments(stream.moments, -1.0);
  this->memory_now = std::max(0.0, this->memory_now - MemoryTokens(stream));
  this->verdicts -=
      stream.demand.request_class == RequestClass::kVerdict ? 1 : 0;
  this->streams.erase(it);
  return true;
}

void Admitter::RemoveHolder(const HostId& holder) {
  std::vector<StreamKey> removed;
  for (const auto& [key, stream] : this->streams) {
    if (key.holder == holder) {
      removed.push_back(key);
    }
  }
  for (const StreamKey& key : removed) {
    this->Remove(key);
  }
}

void Admitter::Report(Instant now, const EngineLoad& load) {
  const bool first = !this->reported;
  this->reported = true;
  this->capacity = static_cast<double>(load.memory_tokens);
  this->engine_waiting = load.waiting;
  this->refreshed = {};
  this->Refresh(now);
  const double unaccounted =
      static_cast<double>(load.memory_tokens_used) - this->memory_now;
  const double gain = first ? 1.0 : kCorrectionGain;
  this->unaccounted_tokens += gain * (unaccounted - this->unaccounted_tokens);
  this->unaccounted_tokens = std::max(this->unaccounted_tokens, 0.0);
  if (load.running > 0 && load.step_time > Duration{0}) {
    this->step_fit.Observe(load.running, ToSeconds(load.step_time));
  }
}

void Admitter::ObserveVerdict(const Demand& demand, double in_progress) {
  const double output = demand.lengths->Mean(demand.max_output_tokens);
  this->headroom.Observe(in_progress, demand.prompt_tokens + output);
}

double Admitter::Utilisation() const {
  const double batch =
      static_cast<double>(this->streams.size()) / this->BatchCap();
  if (this->capacity <= 0) {
    return static_cast<double>(this->streams.size()) / kMaxUnreportedStreams;
  }
  const double memory =
      (this->sums.mean[0] + this->unaccounted_tokens) / this->capacity;
  return std::max(batch, memory);
}

std::int32_t StreamPriority(RequestClass request_class,
                            std::uint32_t produced) {
  std::int32_t level = 0;
  for (std::uint64_t next = kFirstPriorityLevelTokens; next <= produced;
       next *= 4) {
    ++level;
  }
  const bool verdict = request_class == RequestClass::kVerdict;
  return (verdict ? kVerdictPriority : 0) + level;
}

}  // namespace limpetlink
