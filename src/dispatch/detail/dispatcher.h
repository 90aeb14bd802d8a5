/// @file
/// @brief The dispatcher of one entry host.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "dispatch/detail/messages.h"

namespace limpetlink {

/// @brief What a dispatcher is built with.
struct DispatcherSettings {
  HostId self;
  FailureDomainId failure_domain;
  std::uint64_t seed = 1;
};

/// @brief Deterministic: equal settings and messages give equal decisions.
/// @note Example:
/// @code
/// Dispatcher dispatcher({HostId{"a"}, FailureDomainId{"perth-a"}, 1});
/// dispatcher.Step(now, Configure{document});
/// auto actions = dispatcher.Step(now, SubmitRequest{...});  // Place, Refuse
/// or Waiting
/// @endcode
class Dispatcher {
 public:
  /// @param settings who this host is
  explicit Dispatcher(DispatcherSettings settings);

  /// @brief Takes one message in and says what follows.
  /// @param now core time, never earlier than at the step before
  /// @param message what happened
  /// @return decisions in order
  std::vector<DispatchAction> Step(Instant now, const DispatchMessage& message);

  /// @return when a DispatchTick is due at the latest; kNever when nothing
  /// waits
  Instant NextWakeup() const;

 private:
  struct Running {
    UpstreamId worker;
  };

  DispatcherSettings settings;
  std::shared_ptr<const FleetDocument> document;
  std::unordered_map<RequestId, Running> running;
  std::unordered_map<UpstreamId, std::uint32_t> load;
  std::unordered_map<UpstreamId, WorkerState> states;
};

}  // namespace limpetlink
