/// @file
/// @brief Metrics of an entry host.
#pragma once

#include <array>
#include <boost/histogram.hpp>
#include <cstdint>
#include <string>

#include "base/base.h"

namespace limpetlink {

/// @brief Counters since the start of the host.
enum class Counter {
  kRequests,
  kRefusals,
  kTokensDelivered,
  kStreamsResumed,
  kStreamsRestarted,
  kStreamsLost,
  kFramesDropped,
  kRetries,
  kReplays,
  kDeadlinesReached,
  kResponsesSuppressed,
  kMalformedInput,
  kPeerFramesRefused,
  kDocumentsApplied,
  kWorkerCrashes,
  kQuarantineRefusals,
  kRelayedRequests,
  kCount,
};

/// @brief Histograms of durations, in seconds.
enum class Timing { kFirstToken, kBetweenTokens, kQueueWait, kRequest, kCount };

/// @brief Counters and histograms of one host.
class HostMetrics {
 public:
  HostMetrics();

  /// @brief Increases a counter. Constant time.
  void Add(Counter counter, std::uint64_t amount = 1);

  /// @return the value of a counter
  std::uint64_t Value(Counter counter) const;

  /// @brief Records a duration. Constant time.
  void Record(Timing timing, Duration value);

  /// @brief Renders all metrics in the Prometheus text format, with units and
  /// help.
  std::string Render() const;

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Histogram =
      decltype(boost::histogram::make_histogram(std::declval<Axis>()));

  std::array<std::uint64_t, static_cast<std::size_t>(Counter::kCount)>
      counters{};
  std::array<Histogram, static_cast<std::size_t>(Timing::kCount)> timings;
  std::array<double, static_cast<std::size_t>(Timing::kCount)> sums{};
};

}  // namespace limpetlink
