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

/// @brief What a dispatcher is built with.
struct DispatcherSettings {
  HostId self;
  FailureDomainId failure_domain;
  std::uint64_t seed = 1;  ///< differs between two lives of a host
  std::function<void(AdmissionPolicy&)>
      adjust_policy;  ///< changes what follows from the weights, to compare
                      ///< mechanisms; empty in service
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
  ~Dispatcher();
  Dispatcher(Dispatcher&& other) noexcept;
  Dispatcher& operator=(Dispatcher&& other) noexcept;

  /// @brief Takes one message in and says what follows.
  /// @param now core time, never earlier than at the step before
  /// @param message what happened
  /// @return decisions in order
  std::vector<DispatchAction> Step(Instant now, const DispatchMessage& message);

  /// @return when a DispatchTick is due at the latest; kNever when nothing
  /// waits
  Instant NextWakeup() const;

  /// @brief Gives the time after which a second copy of an idempotent lookup
  /// may be sent, as a SubmitRequest with is_retry and the first worker
  /// excluded.
  /// @param target the service
  /// @param route the matched rule's path prefix
  /// @return the learnt delay, or nothing before enough lookups were seen
  std::optional<Duration> HedgeDelay(const std::string& target,
                                     const std::string& route) const;

  /// @brief Names the workers whose reports this host needs.
  /// @return the workers it owns, by target and name
  std::vector<UpstreamId> OwnedWorkers() const;

 private:
  std::unique_ptr<DispatchCore> core;
};

}  // namespace limpetlink
