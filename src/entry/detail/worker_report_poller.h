/// @file
/// @brief Polls the load reports of the workers that this host owns.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "absl/status/statusor.h"
#include "entry/detail/host_context.h"

namespace limpetlink {

/// @brief Polls the load of each owned worker and forwards the reports to the
/// dispatcher. The interval grows with the number of workers, so that the total
/// bytes per second stay limited.
class WorkerReportPoller {
 public:
  /// @brief Called with the draining flag of each load report.
  using DrainingHook =
      std::function<void(const UpstreamId& worker, bool draining)>;

  /// @brief Returns whether the membership, and so the ownership of workers, is
  /// current.
  using MembershipCurrentHook = std::function<bool()>;

  /// @param shared state of the host; must outlive this object
  /// @param on_draining called with the draining flag of each report
  /// @param membership_current the set of polled workers is updated only
  /// while it returns true, as a host that has just started would otherwise
  /// poll all workers
  WorkerReportPoller(HostContext& shared, DrainingHook on_draining,
                     MembershipCurrentHook membership_current);

  /// @brief Updates the set of owned workers from the dispatcher; called after
  /// the document or the live hosts changed.
  void Refresh();

  // ---- Events from the adapters ----
  void OnHead(const UpstreamId& worker, const HttpHead& head);
  void OnChunk(const UpstreamId& worker, const HttpChunk& chunk);
  void OnDone(const UpstreamId& worker, const HttpDone& done);

  /// @brief Polls the workers that are due.
  void Tick();

  /// @return the latest time at which Tick must be called
  Instant NextWakeup() const;

 private:
  struct Poll {
    std::string url;
    CallId call;  ///< 0 if no call is open
    int status = 0;
    std::string response_body;
    Instant due;
  };

  Duration PollInterval() const;
  void HandleReport(const UpstreamId& worker, const Poll& poll);

  HostContext& shared;
  DrainingHook on_draining;
  MembershipCurrentHook membership_current;
  bool refresh_pending = false;  ///< delayed until the membership is current
  std::map<UpstreamId, Poll> polls;
};

/// @brief Parses the load report of a worker.
/// @param worker the worker that sent the report
/// @param text JSON body of GET /v1/load
/// @return the report, or upstream.104 if it is not a JSON object
absl::StatusOr<WorkerReport> ParseWorkerReport(const UpstreamId& worker,
                                               std::string_view text);

}  // namespace limpetlink
