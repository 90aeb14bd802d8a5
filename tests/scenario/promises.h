/// @file
/// @brief Checks the responses of callers against the records of upstreams.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "tests/scenario/caller.h"
#include "tests/scenario/scenario.h"

namespace limpetlink::scenario {

/// @brief A request and its response.
struct CallEvidence {
  CallStep call;
  CallerView view;
};

/// @brief Everything recorded during a scenario.
struct GuaranteeEvidence {
  std::vector<CallEvidence> calls;
  nlohmann::json executions = nlohmann::json::array();   ///< of all services
  nlohmann::json generations = nlohmann::json::array();  ///< of all engines
  std::vector<std::uint64_t> applied_bases;  ///< base versions of the changes
  std::vector<std::string> reverted_hosts;
};

/// @brief Checks the guarantees that hold under every fault.
/// @return one line for each violation; empty if there is none. Violations are:
/// - a stream whose tokens are out of order or of several generations
/// - a stream that ended as complete without exactly the tokens of its
///   generation
/// - a request that ran although its outcome was reported as "not_run"
/// - a request without an idempotency key that ran more than once
/// - an idempotency key whose request ran more than once
/// - a response with HTTP 200 to a request that never ran
/// - two changes applied to the same base version
/// - a host whose document reverted to an earlier version
std::vector<std::string> FindViolations(const GuaranteeEvidence& evidence);

}  // namespace limpetlink::scenario
