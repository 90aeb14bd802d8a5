/// @file
/// @brief What the flows of one entry host share.
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

/// @brief State shared by the flows. Orders are gathered in `actions`, the
/// dispatcher's decisions in
///        `decisions`; EntryHost hands both on after each step.
struct HostContext {
  /// @param host_settings who this host is
  explicit HostContext(EntryHostSettings host_settings);

  /// @brief Tells the dispatcher something and keeps its decisions.
  void Dispatch(const DispatchMessage& message);

  /// @brief Opens a call and orders it.
  /// @param owner whose call it is
  /// @param call the order; its id is filled in
  /// @return the call's id
  CallId StartHttp(CallOwner owner, HttpCall call);

  /// @brief Closes a call that may still be open and orders its end.
  void CancelHttp(CallId id);

  /// @brief Writes a log line about a request.
  void Log(LogLevel level, std::string message, const TraceContext& trace,
           std::vector<LogField> fields);

  /// @brief Writes the span of a finished hop.
  void FinishSpan(const TraceContext& trace, std::string name, Instant start,
                  std::vector<LogField> attributes);

  /// @brief Finds an upstream of the document in force.
  /// @return the upstream, or nullptr
  const Upstream* FindUpstream(const UpstreamId& id) const;

  EntryHostSettings settings;
  Random random;
  Instant now;
  Actions actions;
  std::deque<DispatchAction> decisions;
  CallTable calls;
  std::shared_ptr<const FleetDocument>
      document;                     ///< null until the first is adopted
  std::uint64_t fleet_version = 0;  ///< the platform's version of the document
  Dispatcher dispatcher;
  RequestTable requests;
  HostMetrics metrics;
  bool draining = false;
  Instant pause_detected_at =
      Instant::min();  ///< when this host last noticed that it had been paused

  /// @return whether the host was paused a moment ago, so that others may have
  /// taken its work up
  bool RecentlyPaused() const;
};

}  // namespace limpetlink
