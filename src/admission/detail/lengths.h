/// @file
/// @brief Online estimates of output lengths.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "base/base.h"

namespace limpetlink {

/// @brief Decaying histogram of output lengths with geometric buckets, four per
/// octave.
/// @note Beyond the observed lengths the distribution falls as 1/length, so an
/// empty histogram is a usable prior.
class LengthHistogram {
 public:
  /// @brief Records one finished output. Older outputs lose weight.
  /// @param tokens the output's length
  /// @note Complexity: linear in the number of buckets (a constant).
  void Observe(std::uint32_t tokens);

  /// @brief Estimates the fraction of outputs that are longer than a length.
  /// @param tokens the length
  /// @return a fraction in (0, 1]; falls as the length grows
  /// @note Complexity: constant.
  double Survival(std::uint32_t tokens) const;

  /// @brief Estimates the probability that an output of `produced` tokens
  /// continues for `ahead` more tokens.
  double ContinuationProbability(std::uint32_t produced,
                                 std::uint32_t ahead) const {
    return this->Survival(produced + ahead) / this->Survival(produced);
  }

  /// @brief Estimates the mean length of an output.
  /// @param max_tokens the longest possible output
  /// @return expected tokens, at least 1
  double Mean(std::uint32_t max_tokens) const;

  /// @return total weight of the observed outputs, after decay
  double Weight() const { return this->total; }

 private:
  static constexpr std::size_t kOctaves = 17;
  static constexpr std::size_t kPerOctave = 4;
  static constexpr std::size_t kBuckets = kOctaves * kPerOctave;

  static std::size_t BucketOf(std::uint32_t tokens);
  static double LowerEdge(std::size_t bucket);
  static double Prior(double tokens);

  std::array<float, kBuckets> counts{};
  std::array<float, kBuckets + 1> above{};  ///< weight at and above a bucket
  double total = 0;
};

/// @brief Estimates output lengths from callers' length hints alone. Hints are
/// right at the median but often far off, so each is shrunk towards the median
/// of the hints for its route. No output has to finish first: a host with few
/// requests adapts after a handful of arrivals.
class LengthHintEstimator {
 public:
  /// @brief Records a hint and estimates its output's length.
  /// @param route groups requests with similar outputs
  /// @param hint the caller's estimate, tokens
  /// @param max_tokens the longest possible output, tokens
  /// @return expected tokens, at least 1
  /// @note Complexity: logarithmic in the number of routes.
  double Estimate(const std::string& route, std::uint64_t hint,
                  std::uint64_t max_tokens);

 private:
  struct Hints {
    double count = 0;
    double mean_log = 0;  ///< of the latest hints
  };

  std::map<std::string, Hints> by_route;
};

/// @brief The properties of a request that its output length may depend on.
struct LengthKey {
  std::string model;
  std::string route;
  OrganisationId organisation;

  friend bool operator<(const LengthKey& a, const LengthKey& b) {
    return std::tie(a.model, a.route, a.organisation) <
           std::tie(b.model, b.route, b.organisation);
  }
};

/// @brief Histograms by (model, route, organisation), with coarser keys as
/// fallback.
class LengthModel {
 public:
  /// @brief Records a finished output under its key and the coarser ones.
  void Observe(const LengthKey& key, std::uint32_t tokens);

  /// @brief Finds the histogram of the finest key with enough observed outputs.
  /// @return a histogram that lives as long as this model
  /// @note Complexity: logarithmic in the number of keys.
  const LengthHistogram& Find(const LengthKey& key) const;

 private:
  std::map<LengthKey, LengthHistogram> histograms;
  LengthHistogram unknown;
};

}  // namespace limpetlink
