/// @file
/// @brief Output lengths learnt online.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "base/base.h"

namespace limpetlink {

/// @brief Decaying histogram of output lengths with geometric buckets, four an
/// octave.
/// @note Beyond what was observed the distribution falls as 1/length, so an
/// empty histogram is a usable prior.
class LengthHistogram {
 public:
  /// @brief Counts one finished output. Older outputs lose weight.
  /// @param tokens the output's length
  /// @note Complexity: linear in the number of buckets (a constant).
  void Observe(std::uint32_t tokens);

  /// @brief Gives the share of outputs that are longer than a length.
  /// @param tokens the length
  /// @return a fraction in (0, 1]; falls as the length grows
  /// @note Complexity: constant.
  double Survival(std::uint32_t tokens) const;

  /// @brief Gives the share of outputs that go on for `ahead` more tokens, of
  /// those that have reached `produced`.
  double ContinuationProbability(std::uint32_t produced,
                                 std::uint32_t ahead) const {
    return this->Survival(produced + ahead) / this->Survival(produced);
  }

  /// @brief Estimates the length of a whole output.
  /// @param bound the longest output possible
  /// @return expected tokens, at least 1
  double Mean(std::uint32_t max_tokens) const;

  /// @return weight of the outputs observed, after decay
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

/// @brief Estimates output lengths from callers' guesses alone. Guesses are
/// right at the median and often far off, so each is drawn towards the
/// median of the guesses for its route. No output has to end first: a host
/// with few requests learns from a handful of arrivals.
class LengthHintEstimator {
 public:
  /// @brief Counts a guess and estimates its output's length.
  /// @param route requests with like outputs
  /// @param guess of the caller, tokens
  /// @param bound the longest output possible, tokens
  /// @return expected tokens, at least 1
  /// @note Complexity: logarithmic in the number of routes.
  double Estimate(const std::string& route, std::uint64_t hint,
                  std::uint64_t max_tokens);

 private:
  struct Hints {
    double count = 0;
    double mean_log = 0;  ///< of the latest guesses
  };

  std::map<std::string, Hints> by_route;
};

/// @brief What an output's length may depend on.
struct LengthKey {
  std::string model;
  std::string route;
  OrganisationId organisation;

  friend bool operator<(const LengthKey& a, const LengthKey& b) {
    return std::tie(a.model, a.route, a.organisation) <
           std::tie(b.model, b.route, b.organisation);
  }
};

/// @brief Histograms by (model, route, organisation) with coarser keys behind
/// them.
class LengthModel {
 public:
  /// @brief Counts a finished output under its key and the coarser ones.
  void Observe(const LengthKey& key, std::uint32_t tokens);

  /// @brief Finds the finest histogram that has seen enough outputs.
  /// @return a histogram that lives as long as this model
  /// @note Complexity: logarithmic in the number of keys.
  const LengthHistogram& Find(const LengthKey& key) const;

 private:
  std::map<LengthKey, LengthHistogram> histograms;
  LengthHistogram unknown;
};

}  // namespace limpetlink
