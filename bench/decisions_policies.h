/// @file
/// @brief The policies that are compared.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "admission/admission.h"
#include "bench/decisions_trial.h"

namespace limpetlink::bench {

/// @brief When a baseline gives an engine one more request.
enum class BaselineRule {
  kGreedy,     ///< what is in use now leaves room for the prompt
  kWatermark,  ///< the same, up to 80% of memory
  kWorstCase,  ///< the longest possible outputs all fit
  kFirstCome,  ///< at once, to the engine with the fewest
};

/// @brief A baseline: one first-come-first-served queue, exact knowledge of
/// what each engine has in use, the least used engine first.
MakeTrialPolicy Baseline(BaselineRule rule);

/// @brief The dispatcher of one host that owns every worker.
/// @param adjust changes what follows from the weights; may be empty
MakeTrialPolicy Dispatching(std::function<void(AdmissionPolicy&)> adjust = {});

/// @brief A policy with its name.
struct NamedPolicy {
  std::string name;
  MakeTrialPolicy make;
};

/// @return ours first, then the baselines
std::vector<NamedPolicy> ComparedPolicies();

/// @return ours with other bounds on the risk that memory overflows
std::vector<NamedPolicy> RiskSweep();

/// @return ours without one mechanism each
std::vector<NamedPolicy> Ablations();

}  // namespace limpetlink::bench
