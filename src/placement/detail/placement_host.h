/// @file
/// @brief PlacementHost: the core of a process that gives orders to engines
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

/// @brief What a placement host is built with.
struct PlacementHostSettings {
  HostId self;
  std::string platform_url;  ///< "http://ip:port"
  std::string fleet_name;    ///< name of the fleet document's object
  std::string model;         ///< only engines of this model; empty: all
  std::uint64_t seed = 1;    ///< differs for each start of the process
};

/// @brief Composes document, lease and controller behind the same steps as an
/// entry host; any number
///        may run, the lease's holder is active. No I/O, clock, thread or
///        random device inside.
/// @note Example:
/// @code
/// PlacementHost host(settings);
/// CoreLoop loop(HooksOf(&host));
/// @endcode
class PlacementHost {
 public:
  /// @param settings who this host is and whom it talks to
  explicit PlacementHost(PlacementHostSettings settings);

  /// @brief Begins to read the document and to take the lease.
  Actions Start(Instant at);
  /// @brief Takes an event of an HTTP call; others are ignored.
  Actions Step(Instant at, const Event& event);
  /// @brief Lets time pass.
  Actions Tick(Instant at);
  /// @brief Gives the lease back.
  Actions Drain(Instant at);
  /// @return when Tick is due at the latest
  Instant NextWakeup() const;
  /// @return whether Drain was called and the lease is given back, or can't be
  /// for now
  bool Drained() const;

  /// @return whether this host holds the lease
  bool Active(Instant now) const { return this->lease.Held(now); }
  /// @return what was ordered so far
  const PlacementCounters& Counters() const {
    return this->controller.Counters();
  }

 private:
  void On(const HttpHead& head);
  void On(const HttpChunk& chunk);
  void On(const HttpDone& done);
  template <typename Other>
  void On(const Other& /*other*/) {}
  void Adopt(const ConfigurationApplied& adopted);
  Actions Settle();

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
