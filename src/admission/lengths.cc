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
// Part of a guess's distance from the usual one that is believed: guesses
// scatter about one and a half times as widely as lengths do.
constexpr double kGuessTrust = 0.33;
// Mean over median of lengths that scatter by a factor of two.
constexpr double kMeanOverMedian = 1.25;
constexpr double kMostGuesses = 200.0;  // older ones lose weight

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

double LengthHintEstimator::Estimate(const std::string& route,
                                     std::uint64_t guess, std::uint64_t bound) {
  const double log_guess =
      std::log(static_cast<double>(std::max<std::uint64_t>(guess, 1)));
  const auto most =
      static_cast<double>(std::max<std::uint64_t>({bound, guess, 1}));
  const bool room = this->by_route.size() < kMaxKeys;
  const auto found = this->by_route.find(route);
  if (found == this->by_route.end() && !room) {
    return std::exp(log_guess);
  }
  Guesses& guesses = this->by_route[route];
  guesses.count = std::min(guesses.count + 1.0, kMostGuesses);
  guesses.mean_log += (log_guess - guesses.mean_log) / guesses.count;
  const double drawn =
      guesses.mean_log + kGuessTrust * (log_guess - guesses.mean_log);
  return std::clamp(kMeanOverMedian * std::exp(drawn), 1.0, most);
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
