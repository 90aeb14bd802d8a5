/// @file
/// @brief EntryHost composes the slices behind one step function.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/base.h"
#include "ports/ports.h"

namespace limpetlink {

/// @brief What an entry host is built with.
struct EntryHostSettings {
  HostId self;
  FailureDomainId failure_domain;
  std::string peer_address;  ///< "ip:port" at which peers reach this host
  std::string platform_url;  ///< "http://ip:port" of the platform's object API
  std::string fleet_name;    ///< name of the fleet document's object
  std::string
      resume_secret;  ///< key of the resume tokens' MAC; equal on all hosts
  std::string operator_key_digest;  ///< SHA-256 of the operators' key,
                                    ///< hexadecimal; empty: none
  std::uint64_t seed = 1;
};

/// @brief The decisions of one entry host; no I/O, clock, thread or random
/// device inside.
/// @note Example:
/// @code
/// EntryHost host(settings);
/// for (const Action& action : host.Start(now)) { carry_out(action); }
/// for (const Action& action : host.Step(now, event)) { carry_out(action); }
/// for (const Action& action : host.Tick(now)) { carry_out(action); }  // by
/// NextWakeup()
/// @endcode
class EntryHost {
 public:
  /// @param settings who this host is and whom it talks to
  explicit EntryHost(EntryHostSettings settings);
  ~EntryHost();
  EntryHost(const EntryHost&) = delete;
  EntryHost& operator=(const EntryHost&) = delete;

  /// @brief Begins: reads the fleet document, joins the other hosts.
  Actions Start(Instant now);

  /// @brief Takes one event in and says what follows.
  /// @param now core time, never earlier than at the step before
  /// @param event what happened
  /// @return orders in sequence
  Actions Step(Instant now, const Event& event);

  /// @brief Lets time pass: deadlines, probes, refreshes.
  Actions Tick(Instant now);

  /// @brief Begins a graceful shutdown: unready at once, nothing in progress is
  /// cut.
  Actions Drain(Instant now);

  /// @return when Tick is due at the latest
  Instant NextWakeup() const;

  /// @return whether a shutdown was begun and nothing is in progress any more
  bool Drained() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace limpetlink
