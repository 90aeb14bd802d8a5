/// @file
/// @brief Admission policies compared by the benchmark.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "admission/admission.h"
#include "bench/decisions_trial.h"

namespace limpetlink::bench {

/// @brief Condition under which a baseline places a request at an engine.
enum class BaselineRule {
  kGreedy,     ///< the prompt fits into the memory not in use now
  kWatermark,  ///< like kGreedy, with 80% of the memory
  kWorstCase,  ///< all streams fit at their maximum output
  kFirstCome,  ///< always, at the engine with the fewest streams
};

/// @brief Creates a baseline policy.
///
/// A baseline has one first-come-first-served queue, knows the memory in use at
/// each engine exactly and prefers the least used engine.
TrialPolicyFactory MakeBaselinePolicy(BaselineRule rule);

/// @brief Creates a policy that runs the dispatcher of one host that owns every
/// worker.
/// @param adjust modifies the admission policy derived from the weights; may be
/// empty
TrialPolicyFactory MakeDispatcherPolicy(
    std::function<void(AdmissionPolicy&)> adjust = {});

/// @brief A policy and its name in the tables.
struct NamedPolicy {
  std::string name;
  TrialPolicyFactory make;
};

/// @return the dispatcher, followed by the baselines
std::vector<NamedPolicy> ComparedPolicies();

/// @return the dispatcher with other limits on the risk of memory overflow
std::vector<NamedPolicy> RiskSweep();

/// @return the dispatcher unchanged, then with one mechanism disabled each
std::vector<NamedPolicy> Ablations();

}  // namespace limpetlink::bench
