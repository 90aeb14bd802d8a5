/// @file
/// @brief One run of a policy before modelled engines, and what is measured.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "bench/decisions_mix.h"
#include "bench/engine_model.h"

namespace limpetlink::bench {

/// @brief What a policy may order.
struct TrialOrders {
  std::function<void(std::size_t request, std::size_t worker,
                     std::int32_t priority)>
      place;
  std::function<void(std::size_t request, const std::string& why)> refuse;
  std::function<void(std::size_t request, std::size_t worker,
                     std::int32_t priority)>
      set_priority;
  std::function<void(std::size_t request, std::size_t worker)> cancel;
};

/// @brief A policy as hooks; each is called at the time given.
struct TrialPolicy {
  std::function<void(Instant, std::size_t request)> arrive;
  std::function<void(Instant, std::size_t request, std::uint32_t tokens)>
      produced;
  std::function<void(Instant, std::size_t request, std::uint32_t tokens)> ended;
  std::function<void(Instant, std::size_t worker, const EngineStatus&)> report;
  std::function<void(Instant, std::size_t worker, std::uint64_t sequence,
                     const EngineCacheChange&)>
      cache;
  std::function<void(Instant)> tick;
};

/// @brief Makes a policy for one run.
using MakeTrialPolicy =
    std::function<TrialPolicy(const Mix&, const EngineSettings&,
                              const std::vector<Arrival>&, TrialOrders)>;

/// @brief Counts values in geometric buckets, two in a hundred apart.
class Quantiles {
 public:
  void Add(double seconds);
  /// @return the value that a part of the values stays under, 0 when empty
  double At(double part) const;
  std::uint64_t Count() const { return this->count; }

 private:
  std::array<std::uint32_t, 1200> buckets{};
  std::uint64_t count = 0;
};

/// @brief What a run measured after its warm-up.
struct TrialResult {
  double stall_seconds =
      0;  ///< beyond ten times the stated time between tokens
  std::uint64_t preemptions = 0;
  Quantiles gaps;           ///< between tokens
  Quantiles verdict_first;  ///< arrival to first token, verdicts
  Quantiles draft_first;    ///< arrival to first token, drafts
  double goodput = 0;       ///< tokens/s of outputs that were completed
  double token_rate = 0;    ///< tokens/s of all outputs
  double jain = 0;          ///< of what each organisation got against its due
  std::uint64_t arrived = 0;
  std::uint64_t completed = 0;
  std::map<std::string, std::uint64_t> refused;
};

/// @brief How a run is made.
struct TrialSettings {
  double per_second = 10;
  Duration warm_up{std::chrono::seconds(120)};
  Duration length{std::chrono::seconds(480)};  ///< with the warm-up
  std::uint64_t seed = 1;
  EngineSettings engine;
  Duration report_every{std::chrono::milliseconds(250)};
  Duration report_lag{std::chrono::milliseconds(500)};
  Duration cache_lag{std::chrono::seconds(1)};
  double cache_lost = 0.02;  ///< part of the cache events that never come
};

/// @brief Runs a policy. Deterministic.
TrialResult RunTrial(const Mix& mix, const TrialSettings& settings,
                     const MakeTrialPolicy& make);

}  // namespace limpetlink::bench
