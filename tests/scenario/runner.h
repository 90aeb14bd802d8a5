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

/// @brief What a scenario acts on. Every hook but `pause` returns once its
/// effect is begun; `observe` says what came of it.
struct Fleet {
  std::function<absl::Status(const Scenario& scenario)> set_up;
  std::function<absl::Status(const ProcessStep& step)> process;
  std::function<absl::Status(const FaultStep& step)> fault;
  std::function<absl::Status(const RaceStep& steps)> begin;
  /// The subject as it is now, or null when there is nothing to see.
  std::function<nlohmann::json(const std::string& subject)> observe;
  std::function<std::chrono::milliseconds()> now;
  std::function<void()> pause;  ///< between two looks
};

/// @brief How a scenario ended.
struct ScenarioResult {
  bool passed = false;
  std::size_t steps_done = 0;
  std::string problem;  ///< the step that failed and what was seen
};

/// @brief Runs all steps in order; each waits for its condition, none for a
/// time.
/// @param scenario as read by ParseScenario
/// @param fleet what to act on
/// @param report called with each step's JSON once the step is done
ScenarioResult RunScenario(
    const Scenario& scenario, const Fleet& fleet,
    const std::function<void(const std::string& line)>& report);

}  // namespace limpetlink::scenario
