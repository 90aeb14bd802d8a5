/// @file
/// @brief GatewayHost: an entry host that passes requests on by declared
/// routes.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "gateway/detail/forwarding.h"
#include "neighbours/neighbours.h"

namespace limpetlink {

/// @brief Composes configuration, discovery and forwarding into one core that
/// does no I/O. It is driven as EntryHost is.
/// @note Example:
/// @code
/// GatewayHost host(settings, codec);
/// CoreHooks hooks = HooksOf(&host);
/// @endcode
class GatewayHost {
 public:
  GatewayHost(GatewaySettings settings, GatewayCodec codec);

  Actions Start(Instant now);
  Actions Step(Instant now, const Event& event);
  Actions Tick(Instant now);
  /// @brief Begins the graceful shutdown.
  Actions Drain(Instant now);
  Instant NextWakeup() const;
  /// @return whether a shutdown has finished
  bool Drained() const;

  /// @return bounds for what callers send, as configured now
  HttpLimits Bounds() const;

  /// @return whether callers may still connect; a host that shuts down lets
  /// them until the balancer has noticed
  bool AcceptsCallers() const { return this->accepts_callers; }

  /// @brief Takes bounds of changed settings; what is in progress keeps its
  /// own.
  void Reload(const GatewayBounds& bounds) { this->settings.bounds = bounds; }

  /// @return whether the host serves requests as it should
  bool Ready(Instant now) const;

 private:
  NeighbourHooks MakeNeighbourHooks();
  /// @return a part of one, different for each host
  double Phase() const;
  /// @brief Spreads the reading of the store over hosts that hear each other.
  void ShareReading();
  void TakeResults(Instant now);
  Actions Collect(Instant now);
  void TakeDeployment(Instant now, const ObjectRecord& record);
  void TakeWorker(Instant now, const ObjectRecord& record);
  void TakeLeaving(Instant now, const UpstreamId& id, const char* source,
                   Duration age);
  void AnswerOperator(Instant now, const CallerRequest& request);
  std::string RenderRequests(Instant now) const;
  void LogStoreMode();
  void Log(LogLevel level, std::string message, std::vector<LogField> fields);

  GatewaySettings settings;
  GatewayCodec codec;
  std::uint64_t last_call = 0;
  HostMetrics metrics;
  MetadataStoreClient store;
  std::shared_ptr<const RouteTable> table;
  WorkerDirectory directory;
  KindWatch deployments;
  KindWatch workers;
  Forwarding forwarding;
  Neighbours neighbours;
  Actions actions;
  StoreMode told_mode = StoreMode::kNormal;
  bool told_ready = false;
  std::optional<Instant> drain_began;
  bool accepts_callers = true;
  bool ended = false;
  Instant latest{};
};

}  // namespace limpetlink
