/// @file
/// @brief PlacementHost: the core of a process that sends commands to engines
/// while it holds the lease.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "configuration/configuration.h"
#include "leases/leases.h"
#include "metadata_store/metadata_store.h"
#include "placement/detail/controller.h"
#include "ports/ports.h"

namespace limpetlink {

/// @brief Configuration of a PlacementHost.
struct PlacementHostSettings {
  HostId self;
  std::string platform_url;  ///< "http://ip:port"
  std::string fleet_name;    ///< name of the fleet document's object
  std::string model;         ///< only engines of this model; empty: all
  std::uint64_t seed = 1;  ///< must differ between incarnations of the process
};

/// @brief Combines configuration, lease and controller behind the same
/// interface as an entry host. Any number of placement hosts may run; the one
/// that holds the lease is active. Uses no I/O, clock, thread or random device.
/// @note Example:
/// @code
/// PlacementHost host(settings);
/// CoreLoop loop(HooksOf(&host));
/// @endcode
class PlacementHost {
 public:
  /// @param settings identity of this host and address of the platform
  explicit PlacementHost(PlacementHostSettings settings);

  /// @brief Starts reading the fleet document and acquiring the lease.
  Actions Start(Instant at);
  /// @brief Handles an event of an HTTP call; ignores other events.
  Actions Step(Instant at, const Event& event);
  /// @brief Advances the timers.
  Actions Tick(Instant at);
  /// @brief Starts releasing the lease.
  Actions Drain(Instant at);
  /// @return the latest time for the next Tick
  Instant NextWakeup() const;
  /// @return whether Drain was called and the time limit for releasing the
  /// lease has passed
  bool Drained() const;

  /// @return whether this host holds the lease
  bool Active(Instant now) const { return this->lease.Held(now); }
  /// @return the controller's counters
  const PlacementCounters& Counters() const {
    return this->controller.Counters();
  }

 private:
  void On(const HttpHead& head);
  void On(const HttpChunk& chunk);
  void On(const HttpDone& done);
  template <typename Other>
  void On(const Other& /*other*/) {}
  void ApplyConfiguration(const ConfigurationApplied& applied);
  Actions ProcessResults();

  PlacementHostSettings settings;
  Instant now;
  std::uint64_t last_call = 0;
  MetadataStoreClient platform;
  ConfigurationStore configuration;
  Lease lease;
  PlacementController controller;
  Actions actions;
  Instant drain_until = kNever;  ///< set by Drain
};

}  // namespace limpetlink
