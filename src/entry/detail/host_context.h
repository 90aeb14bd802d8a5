/// @file
/// @brief State shared by the components of an entry host.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include "base/base.h"
#include "dispatch/dispatch.h"
#include "entry/detail/call_table.h"
#include "entry/detail/entry_host.h"
#include "entry/detail/host_metrics.h"
#include "entry/detail/trace.h"
#include "fleet/fleet.h"
#include "ports/ports.h"
#include "requests/requests.h"

namespace limpetlink {

/// @brief State shared by the components of an entry host.
///
/// `actions` collects the actions for the adapters, `decisions` those of the
/// dispatcher; EntryHost processes both after each step.
struct HostContext {
  /// @param host_settings settings of the host
  explicit HostContext(EntryHostSettings host_settings);

  /// @brief Sends a message to the dispatcher and queues its decisions.
  void Dispatch(const DispatchMessage& message);

  /// @brief Registers an HTTP call and adds the action that starts it.
  /// @param owner component that handles the events of the call
  /// @param call the call; its id is assigned here
  /// @return the call's id
  CallId StartHttp(CallOwner owner, HttpCall call);

  /// @brief Closes a call and adds the action that cancels it; does nothing if
  /// the call is not open.
  void CancelHttp(CallId id);

  /// @brief Logs an event of a request with its trace and span ids.
  void Log(LogLevel level, std::string message, const TraceContext& trace,
           std::vector<LogField> fields);

  /// @brief Records a span that ends now.
  void FinishSpan(const TraceContext& trace, std::string name, Instant start,
                  std::vector<LogField> attributes);

  /// @brief Finds an upstream of the active fleet document.
  /// @return the upstream, or nullptr if there is none
  const Upstream* FindUpstream(const UpstreamId& id) const;

  EntryHostSettings settings;
  Random random;
  Instant now;
  Actions actions;
  std::deque<DispatchAction> decisions;
  CallTable calls;
  std::shared_ptr<const FleetDocument>
      document;  ///< active document; null before the first one
  std::uint64_t fleet_version = 0;  ///< version of the document on the platform
  Dispatcher dispatcher;
  RequestTable requests;
  HostMetrics metrics;
  bool draining = false;
  Instant pause_detected_at =
      Instant::min();  ///< when a pause of this process was last detected

  /// @return whether a pause of this process was detected in the last 10 s, so
  /// that other hosts may have continued its requests
  bool RecentlyPaused() const;
};

}  // namespace limpetlink
