/// @file
/// @brief Holds what callers were told against what upstreams saw.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "tests/scenario/caller.h"
#include "tests/scenario/scenario.h"

namespace limpetlink::scenario {

/// @brief A request and what its caller got.
struct CallEvidence {
  CallStep call;
  CallerView view;
};

/// @brief All that a run has shown.
struct PromiseEvidence {
  std::vector<CallEvidence> calls;
  nlohmann::json executions = nlohmann::json::array();   ///< of all services
  nlohmann::json generations = nlohmann::json::array();  ///< of all engines
  std::vector<std::uint64_t> applied_bases;  ///< of each applied change
  std::vector<std::string> reverted_hosts;
};

/// @brief Checks the promises that must hold whatever fails.
/// @return one line for each promise broken; empty when all hold:
/// tokens of a stream that are not of one generation in order; a stream that
/// ended as whole with fewer tokens than its generation has; a request told
/// "not_run" that ran; a keyed order that ran twice; two changes applied from
/// one base version; a host whose document reverted; an answer of HTTP 200
/// without an execution
std::vector<std::string> BrokenPromises(const PromiseEvidence& evidence);

}  // namespace limpetlink::scenario
