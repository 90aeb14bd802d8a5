/// @file
/// @brief The dispatcher of one entry host.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "admission/admission.h"
#include "dispatch/detail/messages.h"

namespace limpetlink {

class DispatchCore;

/// @brief Construction parameters of a dispatcher.
struct DispatcherSettings {
  HostId self;
  FailureDomainId failure_domain;
  std::uint64_t seed = 1;  ///< differs between two incarnations of a host
  /// Modifies the policy derived from the weights, to compare mechanisms; empty
  /// in production.
  std::function<void(AdmissionPolicy&)> adjust_policy;
};

/// @brief Places requests on workers, queues them or refuses them.
/// Deterministic: equal settings and messages give equal decisions.
/// @note Example:
/// @code
/// Dispatcher dispatcher({HostId{"a"}, FailureDomainId{"perth-a"}, 1});
/// dispatcher.Step(now, Configure{document});
/// // Returns Place, Refuse or Waiting.
/// auto actions = dispatcher.Step(now, SubmitRequest{...});
/// @endcode
class Dispatcher {
 public:
  /// @param settings identity of this host
  explicit Dispatcher(DispatcherSettings settings);
  ~Dispatcher();
  Dispatcher(Dispatcher&& other) noexcept;
  Dispatcher& operator=(Dispatcher&& other) noexcept;

  /// @brief Handles one message and returns the resulting actions.
  /// @param now core time, never earlier than in the previous step
  /// @param message the event to handle
  /// @return actions, in the order in which to perform them
  std::vector<DispatchAction> Step(Instant now, const DispatchMessage& message);

  /// @return the latest time at which DispatchTick must be sent; kNever when
  /// nothing is pending
  Instant NextWakeup() const;

  /// @brief Returns the delay after which a hedge of an idempotent lookup may
  /// be sent, as a SubmitRequest with is_retry and the first worker excluded.
  /// @param target the service
  /// @param route the matched rule's path prefix
  /// @return the delay estimated from observed lookups, or nothing while too
  /// few were observed
  std::optional<Duration> HedgeDelay(const std::string& target,
                                     const std::string& route) const;

  /// @brief Lists the workers whose reports this host needs.
  /// @return the workers owned by this host, by target and name
  std::vector<UpstreamId> OwnedWorkers() const;

 private:
  std::unique_ptr<DispatchCore> core;
};

}  // namespace limpetlink
