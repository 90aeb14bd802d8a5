/// @file
/// @brief What an engine reports and what is wanted of it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"

namespace limpetlink {

/// @brief What an engine is to serve; an order names this state and not a step.
struct EngineState {
  std::string model;
  std::string version;
  std::vector<std::string> adapters;  ///< sorted
  std::string role;

  friend bool operator==(const EngineState& a, const EngineState& b) {
    return a.model == b.model && a.version == b.version &&
           a.adapters == b.adapters && a.role == b.role;
  }
  friend bool operator!=(const EngineState& a, const EngineState& b) {
    return !(a == b);
  }
};

/// @brief An engine's own report.
struct EngineReport {
  EngineState state;
  bool draining = false;
  std::uint64_t fence = 0;  ///< highest fencing number that it accepted
  std::string order_id;     ///< of its last order
  std::string order_state;  ///< as "loading", "done" or "failed"
};

/// @brief Reads the answer of GET /v1/load.
/// @return the report, or nothing when malformed
std::optional<EngineReport> ReadEngineReport(std::string_view json);

/// @brief Writes the body of POST /v1/orders.
std::string WriteOrder(std::uint64_t fence, const std::string& order_id,
                       const EngineState& wanted);

}  // namespace limpetlink
