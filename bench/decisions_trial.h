/// @file
/// @brief Simulates one run of a policy on modelled engines and measures it.
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

/// @brief Actions available to a policy.
struct TrialActions {
  std::function<void(std::size_t request, std::size_t worker,
                     std::int32_t priority)>
      place;
  std::function<void(std::size_t request, const std::string& reason)> refuse;
  std::function<void(std::size_t request, std::size_t worker,
                     std::int32_t priority)>
      set_priority;
  std::function<void(std::size_t request, std::size_t worker)> cancel;
};

/// @brief Event handlers of a policy; each receives the current virtual time.
struct TrialPolicy {
  std::function<void(Instant, std::size_t request)> on_arrival;
  std::function<void(Instant, std::size_t request, std::uint32_t tokens)>
      on_progress;
  std::function<void(Instant, std::size_t request, std::uint32_t tokens)>
      on_finished;
  std::function<void(Instant, std::size_t worker, const EngineStatus&)>
      on_report;
  std::function<void(Instant, std::size_t worker, std::uint64_t sequence,
                     const EngineCacheChange&)>
      on_cache_change;
  std::function<void(Instant)> on_tick;
};

/// @brief Creates the policy for one run.
using TrialPolicyFactory =
    std::function<TrialPolicy(const Mix&, const EngineSettings&,
                              const std::vector<Arrival>&, TrialActions)>;

/// @brief Histogram with geometric buckets, each 2% wider than the previous.
class Histogram {
 public:
  void Add(double seconds);
  /// @return the quantile at the given fraction in seconds, 0 when empty
  double Quantile(double fraction) const;
  std::uint64_t Count() const { return this->count; }

 private:
  std::array<std::uint32_t, 1200> buckets{};
  std::uint64_t count = 0;
};

/// @brief Measurements of a run after its warm-up.
struct TrialResult {
  double stall_seconds = 0;  ///< beyond ten times the nominal token gap
  std::uint64_t preemptions = 0;
  Histogram gaps;                 ///< seconds between consecutive tokens
  Histogram verdict_first_token;  ///< from arrival, verdicts
  Histogram draft_first_token;    ///< from arrival, drafts
  double goodput = 0;             ///< tokens/s of completed outputs
  double token_rate = 0;          ///< tokens/s of all outputs
  /// Jain's fairness index of received tokens relative to the fair share.
  double jain_index = 0;
  std::uint64_t arrived = 0;
  std::uint64_t completed = 0;
  std::map<std::string, std::uint64_t> refused;
};

/// @brief Settings of a run.
struct TrialSettings {
  double requests_per_second = 10;
  Duration warm_up{std::chrono::seconds(120)};
  Duration duration{std::chrono::seconds(480)};  ///< includes the warm-up
  std::uint64_t seed = 1;
  EngineSettings engine;
  Duration report_interval{std::chrono::milliseconds(250)};
  Duration report_delay{std::chrono::milliseconds(500)};
  Duration cache_event_delay{std::chrono::seconds(1)};
  double cache_event_loss_rate = 0.02;  ///< fraction of cache events dropped
};

/// @brief Runs a policy; deterministic for equal settings.
TrialResult RunTrial(const Mix& mix, const TrialSettings& settings,
                     const TrialPolicyFactory& factory);

}  // namespace limpetlink::bench
