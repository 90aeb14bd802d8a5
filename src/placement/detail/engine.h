/// @file
/// @brief Desired and reported state of an engine.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"

namespace limpetlink {

/// @brief What an engine serves. A command carries the complete desired state
/// and not a step towards it.
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

/// @brief State reported by an engine.
struct EngineStateReport {
  EngineState state;
  bool draining = false;
  std::uint64_t fence = 0;    ///< highest fencing number accepted so far
  std::string command_id;     ///< of the engine's last command
  std::string command_state;  ///< such as "loading", "done" or "failed"
};

/// @brief Parses the response of GET /v1/load.
/// @return the report, or nullopt when malformed
std::optional<EngineStateReport> ParseEngineStateReport(std::string_view json);

/// @brief Returns the JSON body of POST /v1/orders.
std::string SerializeCommand(std::uint64_t fence, const std::string& command_id,
                             const EngineState& desired);

}  // namespace limpetlink
