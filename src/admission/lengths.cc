#include "admission/detail/lengths.h"

#include <algorithm>
#include <cmath>

namespace limpetlink {
namespace {

constexpr double kDecay = 1.0 - 1.0 / 1024;  // per observed output
constexpr double kPriorWeight = 2.0;         // outputs
constexpr double kPriorTokens = 128.0;       // the prior falls beyond this
constexpr double kEnoughOutputs = 32.0;
constexpr std::size_t kMaxKeys = 8192;

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

double LengthHistogram::Mean(std::uint32_t bound) const {
  double mean = 0;
  double before = 0;
  for (std::size_t i = 0; i < kBuckets && before < bound; ++i) {
    const double edge = std::min<double>(LowerEdge(i + 1), bound);
    const auto middle = static_cast<std::uint32_t>((before + edge) / 2);
    mean += (edge - before) * this->Survival(middle);
    before = edge;
  }
  return std::max(mean, 1.0);
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
        it != this->histograms.end() && it->second.Weight() >= kEnoughOutputs;
    if (enough) {
      return it->second;
    }
  }
  return this->unknown;
}

}  // namespace limpetlink
