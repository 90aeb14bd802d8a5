/// @file
/// @brief Reads the load reports of the workers that this host owns.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "absl/status/statusor.h"
#include "entry/detail/host_context.h"

namespace limpetlink {

/// @brief Asks each owned worker for its load, each at an interval that keeps
/// the sum of bytes a
///        second within bounds, and hands reports to the dispatcher.
class WorkerReportPoller {
 public:
  /// @brief Takes whether a worker's own report says that it drains.
  using DrainingHook =
      std::function<void(const UpstreamId& worker, bool draining)>;

  /// @brief Says whether the view of the hosts, and so who owns which worker,
  /// can be trusted.
  using MembershipCurrentHook = std::function<bool()>;

  /// @param shared the host's state; outlives this
  /// @param on_drain told with each report
  /// @param settled asked before any worker is; a host that just started would
  /// ask them all
  WorkerReportPoller(HostContext& shared, DrainingHook on_draining,
                     MembershipCurrentHook membership_current);

  /// @brief Asks the dispatcher anew which workers this host owns: the document
  /// or the live hosts
  ///        changed.
  void Refresh();

  // ---- Events of the adapters ----
  void OnHead(const UpstreamId& worker, const HttpHead& head);
  void OnChunk(const UpstreamId& worker, const HttpChunk& chunk);
  void OnDone(const UpstreamId& worker, const HttpDone& done);

  /// @brief Asks the workers that are due.
  void Tick();

  /// @return when Tick is due at the latest
  Instant NextWakeup() const;

 private:
  struct Poll {
    std::string url;
    CallId call;  ///< 0: none is open
    int status = 0;
    std::string response_body;
    Instant due;
  };

  Duration PollInterval() const;
  void HandleReport(const UpstreamId& worker, const Poll& poll);

  HostContext& shared;
  DrainingHook on_draining;
  MembershipCurrentHook membership_current;
  bool refresh_pending = false;  ///< waits for the view of the hosts to settle
  std::map<UpstreamId, Poll> polls;
};

/// @brief Reads a worker's load report.
/// @param worker whose report it is
/// @param text JSON as of GET /v1/load
/// @return the report, or upstream.104
absl::StatusOr<WorkerReport> ParseWorkerReport(const UpstreamId& worker,
                                               std::string_view text);

}  // namespace limpetlink
