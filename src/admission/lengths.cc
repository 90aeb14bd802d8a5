#include "admission/detail/lengths.h"

#include <algorithm>
#include <cmath>

namespace limpetlink {
namespace {

constexpr double kDecay = 1.0 - 1.0 / 1024;  // per observed output
constexpr double kPriorWeight = 2.0;         // outputs
constexpr double kPriorTokens = 128.0;  // the prior is flat up to this length
constexpr double kMinOutputs = 32.0;
constexpr std::size_t kMaxKeys = 8192;
// Weight of a hint's deviation from the usual hint: hints scatter about one and
// a half times as widely as lengths do.
constexpr double kHintWeight = 0.33;
// Ratio of mean to median of lengths that scatter by a factor of two.
constexpr double kMeanOverMedian = 1.25;
constexpr double kMaxHints = 200.0;  // older hints lose weight

}  // namespace

std::size_t LengthHistogram::BucketOf(std::uint32_t tokens) {
  const std::uint32_t value = std::max<std::uint32_t>(tokens, 1);
  std::size_t octave = 0;
  while ((value >> (octave + 1)) != 0) {
    ++octave;
  }
  const std::uint32_t scaled =
      octave >= 2 ? value >> (octave - 2) : value << (2 - octave);
  const std::size_t bucket = octave * kPerOctave + (scaled & 3U);
  return std::min(bucket, kBuckets - 1);
}

double LengthHistogram::LowerEdge(std::size_t bucket) {
  const double octave = static_cast<double>(1ULL << (bucket / kPerOctave));
  return octave * (1.0 + static_cast<double>(bucket % kPerOctave) / kPerOctave);
}

double LengthHistogram::Prior(double tokens) {
  return tokens <= kPriorTokens ? 1.0 : kPriorTokens / tokens;
}

void LengthHistogram::Observe(std::uint32_t tokens) {
  for (float& count : this->counts) {
    count *= static_cast<float>(kDecay);
  }
  this->counts[BucketOf(tokens)] += 1.0F;
  float sum = 0;
  for (std::size_t i = kBuckets; i-- > 0;) {
    sum += this->counts[i];
    this->above[i] = sum;
  }
  this->total = static_cast<double>(sum);
}

double LengthHistogram::Survival(std::uint32_t tokens) const {
  const std::size_t bucket = BucketOf(tokens);
  const double low = LowerEdge(bucket);
  const double high = LowerEdge(bucket + 1);
  const double value = std::max(1.0, static_cast<double>(tokens));
  const double part = std::clamp((value - low) / (high - low), 0.0, 1.0);
  const double at = static_cast<double>(this->above[bucket]);
  const double next = static_cast<double>(this->above[bucket + 1]);
  const double seen = at + (next - at) * part;
  return (seen + kPriorWeight * Prior(value)) / (this->total + kPriorWeight);
}

double LengthHistogram::Mean(std::uint32_t max_tokens) const {
  double mean = 0;
  double lower = 0;
  for (std::size_t i = 0; i < kBuckets && lower < max_tokens; ++i) {
    const double upper = std::min<double>(LowerEdge(i + 1), max_tokens);
    const auto middle = static_cast<std::uint32_t>((lower + upper) / 2);
    mean += (upper - lower) * this->Survival(middle);
    lower = upper;
  }
  return std::max(mean, 1.0);
}

double LengthHintEstimator::Estimate(const std::string& route,
                                     std::uint64_t hint,
                                     std::uint64_t max_tokens) {
  const double log_hint =
      std::log(static_cast<double>(std::max<std::uint64_t>(hint, 1)));
  const auto limit =
      static_cast<double>(std::max<std::uint64_t>({max_tokens, hint, 1}));
  const bool has_capacity = this->by_route.size() < kMaxKeys;
  const auto found = this->by_route.find(route);
  if (found == this->by_route.end() && !has_capacity) {
    return std::exp(log_hint);
  }
  Hints& hints = this->by_route[route];
  hints.count = std::min(hints.count + 1.0, kMaxHints);
  hints.mean_log += (log_hint - hints.mean_log) / hints.count;
  const double shrunk =
      hints.mean_log + kHintWeight * (log_hint - hints.mean_log);
  return std::clamp(kMeanOverMedian * std::exp(shrunk), 1.0, limit);
}

void LengthModel::Observe(const LengthKey& key, std::uint32_t tokens) {
  const LengthKey keys[] = {
      key, {key.model, key.route, {}}, {key.model, {}, {}}};
  for (const LengthKey& each : keys) {
    const auto it = this->histograms.find(each);
    if (it != this->histograms.end()) {
      it->second.Observe(tokens);
    } else if (this->histograms.size() < kMaxKeys) {
      this->histograms[each].Observe(tokens);
    }
  }
}

const LengthHistogram& LengthModel::Find(const LengthKey& key) const {
  const LengthKey keys[] = {
      key, {key.model, key.route, {}}, {key.model, {}, {}}};
  for (const LengthKey& each : keys) {
    const auto it = this->histograms.find(each);
    const bool enough =
        it != this->histograms.end() && it->second.Weight() >= kMinOutputs;
    if (enough) {
      return it->second;
    }
  }
  return this->unknown;
}

}  // namespace limpetlink
