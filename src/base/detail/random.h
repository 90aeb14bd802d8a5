/// @file
/// @brief Pseudo-random numbers with the same sequence on every platform.
#pragma once

#include <cstdint>

namespace limpetlink {

/// @brief SplitMix64 generator that satisfies UniformRandomBitGenerator.
class Random {
 public:
  using result_type = std::uint64_t;

  /// @param seed equal seeds give equal sequences
  explicit Random(std::uint64_t seed) : state(seed) {}

  static constexpr result_type min() { return 0; }
  static constexpr result_type max() { return UINT64_MAX; }

  /// @brief Returns 64 uniformly distributed bits. Constant time.
  result_type operator()() {
    this->state += 0x9E3779B97F4A7C15ULL;
    std::uint64_t z = this->state;
    z = (z ^ (z >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    z = (z ^ (z >> 27U)) * 0x94D049BB133111EBULL;
    return z ^ (z >> 31U);
  }

  /// @brief Returns a random integer below a bound.
  /// @param bound must be greater than 0
  /// @return a number in [0, bound)
  std::uint64_t Below(std::uint64_t bound) { return (*this)() % bound; }

  /// @brief Returns a random floating-point number.
  /// @return a number in [0, 1)
  double Fraction() {
    return static_cast<double>((*this)() >> 11U) * 0x1.0p-53;
  }

 private:
  std::uint64_t state;
};

}  // namespace limpetlink
