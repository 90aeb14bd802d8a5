/// @file
/// @brief The users' workloads as arrivals in virtual time.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/base.h"
#include "fleet/fleet.h"

namespace limpetlink::bench {

/// @brief One arrival.
struct Arrival {
  Instant at;
  std::size_t organisation = 0;
  RequestClass request_class = RequestClass::kDraft;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 1;
  std::uint32_t prefix = 0;
  std::uint32_t prefix_tokens = 0;
};

/// @brief A log-normal length, cut to a range.
struct LengthShape {
  double median = 100;
  double sigma = 1.0;
  std::uint32_t least = 1;
  std::uint32_t most = 32768;
};

/// @brief A user's mix.
struct Mix {
  std::string name;
  std::size_t workers = 9;
  Weights weights;
  double verdict_part = 0.5;
  LengthShape verdict_prompt;
  LengthShape verdict_output;
  LengthShape draft_prompt;
  LengthShape draft_output;
  std::vector<double> demand;  ///< of each organisation, relative
  std::vector<double> scale;   ///< of each organisation's draft lengths
  std::uint32_t max_output_tokens = 32768;
  Duration verdict_deadline{std::chrono::seconds(10)};
  Duration draft_deadline{std::chrono::seconds(120)};
};

/// @brief The tasting panel's mix: stall and tail weigh most.
Mix SwanCoast();
/// @brief The committees' mix: preemptions weigh most.
Mix Syrtos();

/// @brief Draws arrivals.
/// @param per_second mean rate
/// @param length until when they arrive
/// @return in order of time; equal seeds give equal arrivals
std::vector<Arrival> DrawArrivals(const Mix& mix, double per_second,
                                  Duration length, std::uint64_t seed);

/// @return mean output tokens of a request of the mix, from a fixed draw
double MeanOutput(const Mix& mix);

/// @return the fleet document of the mix
FleetDocument MixDocument(const Mix& mix);

}  // namespace limpetlink::bench
