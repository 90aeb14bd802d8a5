/// @file
/// @brief Request mixes of the users, generated as arrivals in virtual time.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/base.h"
#include "fleet/fleet.h"

namespace limpetlink::bench {

/// @brief One request and its arrival time.
struct Arrival {
  Instant at;
  std::size_t organisation = 0;
  RequestClass request_class = RequestClass::kDraft;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 1;
  std::uint32_t prefix = 0;
  std::uint32_t prefix_tokens = 0;
};

/// @brief Log-normal distribution of lengths in tokens, clamped to a range.
struct LengthDistribution {
  double median = 100;
  double sigma = 1.0;
  std::uint32_t min = 1;
  std::uint32_t max = 32768;
};

/// @brief Request mix of one user.
struct Mix {
  std::string name;
  std::size_t workers = 9;
  Weights weights;
  double verdict_fraction = 0.5;
  LengthDistribution verdict_prompt;
  LengthDistribution verdict_output;
  LengthDistribution draft_prompt;
  LengthDistribution draft_output;
  std::vector<double> demand;        ///< relative, per organisation
  std::vector<double> length_scale;  ///< draft length factor, per organisation
  std::uint32_t max_output_tokens = 32768;
  Duration verdict_deadline{std::chrono::seconds(10)};
  Duration draft_deadline{std::chrono::seconds(120)};
};

/// @brief Mix of the tasting panel; weights stalls and tail latency most.
Mix SwanCoast();
/// @brief Mix of the committees; weights preemptions most.
Mix Syrtos();

/// @brief Generates a Poisson sequence of arrivals.
/// @param requests_per_second mean arrival rate
/// @param duration arrivals are generated up to this time
/// @return arrivals ordered by time; equal seeds give equal arrivals
std::vector<Arrival> GenerateArrivals(const Mix& mix,
                                      double requests_per_second,
                                      Duration duration, std::uint64_t seed);

/// @return mean output tokens per request, estimated from a sample with a fixed
/// seed
double MeanOutputTokens(const Mix& mix);

/// @return a fleet document with the workers, organisations and routes of the
/// mix
FleetDocument MakeFleetDocument(const Mix& mix);

}  // namespace limpetlink::bench
