/// @file
/// @brief Applies one change of the fleet document in the background.
#pragma once

#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>

#include "operators/operators.h"

namespace limpetlink::scenario {

/// @brief Applies a change on its own thread.
class Applier {
 public:
  /// @brief Starts applying the change.
  /// @param platform_url "http://ip:port"
  /// @param change the change to apply
  Applier(std::string platform_url, FleetChange change);
  /// @brief Waits until the change has ended.
  ~Applier();
  Applier(const Applier&) = delete;
  Applier& operator=(const Applier&) = delete;

  /// @return the result, or std::nullopt while the change is in progress
  std::optional<ApplyResult> Result() const;

  /// @return the version that the change is based on
  std::uint64_t BaseVersion() const { return this->base_version; }

  /// @brief Renders the state as an observation of the scenario language.
  /// @return the members ended, outcome, version and current_version
  nlohmann::json Observe() const;

 private:
  std::uint64_t base_version;
  mutable std::mutex mutex;
  std::optional<ApplyResult> result;
  std::thread thread;
};

/// @brief Builds the change that replaces the fleet document.
/// @param document the new document
/// @param author name recorded as the author
/// @param base_version version that the change replaces
FleetChange MakeChange(FleetDocument document, const std::string& author,
                       std::uint64_t base_version);

}  // namespace limpetlink::scenario
