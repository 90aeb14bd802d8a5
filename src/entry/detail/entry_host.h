/// @file
/// @brief EntryHost combines the components of an entry host behind one step
/// function.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/base.h"
#include "ports/ports.h"

namespace limpetlink {

/// @brief Settings of an entry host.
struct EntryHostSettings {
  HostId self;
  FailureDomainId failure_domain;
  std::string peer_address;  ///< "ip:port" at which peers reach this host
  std::string platform_url;  ///< "http://ip:port" of the platform's object API
  std::string fleet_name;    ///< name of the fleet document's object
  std::string
      resume_secret;  ///< MAC key of the resume tokens; equal on all hosts
  std::string operator_key_digest;  ///< SHA-256 of the operators' key in
                                    ///< hexadecimal; empty if there is none
  std::uint64_t seed = 1;
};

/// @brief Decision logic of an entry host, without I/O, clock, threads or
/// random device.
/// @note Example:
/// @code
/// EntryHost host(settings);
/// for (const Action& action : host.Start(now)) { execute(action); }
/// for (const Action& action : host.Step(now, event)) { execute(action); }
/// // At host.NextWakeup() or earlier:
/// for (const Action& action : host.Tick(now)) { execute(action); }
/// @endcode
class EntryHost {
 public:
  /// @param settings identity, addresses and keys of the host
  explicit EntryHost(EntryHostSettings settings);
  ~EntryHost();
  EntryHost(const EntryHost&) = delete;
  EntryHost& operator=(const EntryHost&) = delete;

  /// @brief Starts reading the fleet document and joins the other hosts.
  Actions Start(Instant now);

  /// @brief Handles one event.
  /// @param now core time; must not be earlier than in the previous call
  /// @param event the event
  /// @return actions, to be executed in sequence
  Actions Step(Instant now, const Event& event);

  /// @brief Runs the timers: deadlines, probes and refreshes.
  Actions Tick(Instant now);

  /// @brief Begins a graceful shutdown: the host becomes unready at once and
  /// completes the requests in progress.
  Actions Drain(Instant now);

  /// @return the latest time at which Tick must be called
  Instant NextWakeup() const;

  /// @return whether a shutdown has begun and no request or log write is in
  /// progress
  bool Drained() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace limpetlink
