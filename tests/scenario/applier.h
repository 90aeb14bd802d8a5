/// @file
/// @brief An operator of a scenario: one change of the fleet document, applied
/// in the background.
#pragma once

#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>

#include "operators/operators.h"

namespace limpetlink::scenario {

/// @brief Applies a change on a thread of its own.
class Applier {
 public:
  /// @brief Begins at once.
  /// @param platform_url "http://ip:port"
  /// @param change what is wanted
  Applier(std::string platform_url, FleetChange change);
  /// @brief Waits for the change's end.
  ~Applier();
  Applier(const Applier&) = delete;
  Applier& operator=(const Applier&) = delete;

  /// @return how it ended, once it has
  std::optional<ApplyResult> Result() const;

  /// @return the version that the change began from
  std::uint64_t BaseVersion() const { return this->base_version; }

  /// @return ended, outcome, version, current_version
  nlohmann::json Observe() const;

 private:
  std::uint64_t base_version;
  mutable std::mutex mutex;
  std::optional<ApplyResult> result;
  std::thread thread;
};

/// @brief Makes the change that a document describes.
/// @param document what is to be in force
/// @param author who wants it
/// @param base_version version it replaces
FleetChange MakeChange(FleetDocument document, const std::string& author,
                       std::uint64_t base_version);

}  // namespace limpetlink::scenario
