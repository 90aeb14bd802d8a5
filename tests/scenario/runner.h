/// @file
/// @brief Runs a scenario against a fleet of processes.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "tests/scenario/scenario.h"

namespace limpetlink::scenario {

/// @brief Access to the processes under test. Every hook except `pause` returns
/// once its effect has started; `observe` returns the state it has led to.
struct FleetHooks {
  std::function<absl::Status(const Scenario& scenario)> set_up;
  std::function<absl::Status(const ProcessStep& step)> process;
  std::function<absl::Status(const FaultStep& step)> fault;
  std::function<absl::Status(const RaceStep& steps)> begin;
  /// Returns the current state of the subject; null if it is unknown.
  std::function<nlohmann::json(const std::string& subject)> observe;
  std::function<std::chrono::milliseconds()> now;
  std::function<void()> pause;  ///< waits between two observations
};

/// @brief Result of a scenario.
struct ScenarioResult {
  bool passed = false;
  std::size_t steps_done = 0;
  std::string problem;  ///< the failed step and the last observation
};

/// @brief Runs all steps in order. Steps wait for conditions, never for a fixed
/// time.
/// @param scenario a scenario returned by ParseScenario()
/// @param fleet access to the processes under test
/// @param report called with the JSON of each step after the step has succeeded
ScenarioResult RunScenario(
    const Scenario& scenario, const FleetHooks& fleet,
    const std::function<void(const std::string& line)>& report);

}  // namespace limpetlink::scenario
