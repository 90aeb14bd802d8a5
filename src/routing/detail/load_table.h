/// @file
/// @brief LoadTable: estimates the load of each worker and selects one for a
/// request.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "base/base.h"
#include "routing/detail/health.h"
#include "routing/detail/router.h"

namespace limpetlink {

/// @brief The load that a worker reported.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  std::optional<std::uint64_t> memory_tokens;  ///< in use, if reported
  Duration lag{0};  ///< age of the figures when the report was received
};

/// @brief The requests that one host, or a group of hosts, placed at a worker.
struct WorkerLoad {
  UpstreamId worker;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;         ///< of these, before their first byte
  std::uint64_t waiting_tokens = 0;  ///< prompt tokens of the waiting ones
  std::uint64_t tokens = 0;          ///< memory in use when all have ended
};

/// @brief The resources that a request takes at a worker; zeros if its service
/// runs no model.
struct RequestSize {
  std::uint64_t prompt_tokens = 0;  ///< processed before the first byte
  std::uint64_t tokens = 0;         ///< memory in use when it has ended
};

/// @brief A worker that may be selected.
struct LoadCandidate {
  UpstreamId worker;
  FailureDomainId domain;
  Distance distance = Distance::kSameDomain;
  std::uint32_t slots = 1;
  std::uint64_t memory_tokens = 0;  ///< capacity; 0: service runs no model
};

/// @brief The selected worker and the inputs of the selection.
struct LoadChoice {
  UpstreamId worker;
  double delay_ms = 0;            ///< estimated time to the first byte
  std::uint32_t own_running = 0;  ///< requests of this host at the worker
  WorkerLoad other_hosts;         ///< as advertised by other hosts
  std::optional<Duration> report_age;
};

/// @brief Tracks, for each worker, the requests of this host, the loads that
/// other hosts advertise, the worker's last report and its failure rate.
///
/// Reports lag, and all hosts read the same ones. Requests that this host
/// placed after a report are therefore added to the reported load.
class LoadTable {
 public:
  /// @param seed of the random tie-break, which must differ between hosts:
  /// hosts with equal information would otherwise select the same worker
  explicit LoadTable(std::uint64_t seed) : random(seed) {}

  /// @brief Replaces the loads that another host advertises.
  void ApplyHostLoads(Instant now, const HostId& host,
                      const std::vector<WorkerLoad>& loads);

  /// @brief Removes the loads of a host that became unresponsive.
  void RemoveHost(const HostId& host);

  /// @brief Replaces the loads advertised for another failure domain, summed
  /// over all of its hosts.
  void ApplyDomainLoads(Instant now, const FailureDomainId& domain,
                        const std::vector<WorkerLoad>& loads);

  /// @brief Removes the loads of a failure domain that became unresponsive.
  void RemoveDomain(const FailureDomainId& domain);

  /// @return the number of hosts that advertise their loads
  std::size_t AdvertisingHosts() const { return this->loads_by_host.size(); }

  /// @return the loads that this host placed
  std::vector<WorkerLoad> LocalLoads() const;

  /// @return the loads of this host and of all advertising hosts, summed
  std::vector<WorkerLoad> DomainLoads() const;

  /// @return the requests at a worker of this host and of the advertising hosts
  /// of its failure domain
  std::uint32_t DomainRequestsAt(const UpstreamId& worker) const;

  /// @brief Records the first byte of a response.
  void RecordFirstByte(const UpstreamId& worker, const RequestSize& size);

  /// @brief Records that a request was sent to the worker.
  void Begin(Instant now, const UpstreamId& worker, const RequestSize& size);

  /// @brief Records the end of a request that was sent to the worker.
  /// @param started whether the first byte of its response had arrived
  void End(Instant now, const UpstreamId& worker, const RequestSize& size,
           bool started);

  /// @brief Stores a load report of the worker. A report without memory usage
  /// does not replace a fresh one that has it.
  void ApplyReport(Instant now, const UpstreamId& worker,
                   const LoadReport& report);

  /// @brief Records the outcome of an attempt at the worker.
  /// @param failed whether the attempt failed
  /// @param unusable whether there was no response, or one that isn't valid
  void RecordAttempt(Instant now, const UpstreamId& worker, bool failed,
                     bool unusable);

  /// @brief Removes a worker; also called when a new incarnation of the worker
  /// registers under the same id.
  void Remove(const UpstreamId& worker);

  /// @brief Selects the worker with the least estimated delay.
  ///
  /// Distance adds to the delay, so that near workers are preferred. Ejected
  /// workers are selected only if there is no other. An engine of unknown load
  /// is assumed to be at least as loaded as the mean of the others.
  ///
  /// While no other host advertises its load, only a random sample of many
  /// candidates in the own failure domain is compared: the hosts all read the
  /// same lagging reports and would otherwise all select the same worker.
  /// @param candidates workers that take new work
  /// @return the selection, or nothing if there is no candidate
  std::optional<LoadChoice> Choose(Instant now,
                                   std::vector<LoadCandidate> candidates,
                                   const RequestSize& size);

 private:
  /// @brief A request of this host that a lagging report may not include yet.
  struct RecentPlacement {
    Instant at{};
    std::uint64_t tokens = 0;
  };

  struct Entry {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t waiting_tokens = 0;
    std::uint64_t tokens = 0;
    std::uint32_t own_at_report = 0;     ///< own requests at the last report
    std::deque<RecentPlacement> recent;  ///< younger than the longest lag
    LoadReport report;
    Instant reported_at{};
    bool reported = false;
    double failure_rate = 0;  ///< moving average over attempts, in [0, 1]
    WorkerHealth health;
  };

  using LoadsByWorker = std::map<UpstreamId, WorkerLoad>;

  /// @brief Replaces the loads that one host or domain advertised and updates
  /// the sums.
  void Replace(LoadsByWorker* advertised, const std::vector<WorkerLoad>& loads);
  std::vector<LoadCandidate> Sample(std::vector<LoadCandidate> candidates);
  bool HasFreshMemoryReport(Instant now, const Entry& entry) const;

  /// @brief Returns the mean delay of the engines whose load is known, in
  /// milliseconds; 0 if there are none.
  double MeanEngineDelay(Instant now,
                         const std::vector<LoadCandidate>& candidates,
                         const RequestSize& size);

  /// @brief Returns the reported memory usage plus own requests that the report
  /// does not include yet, in tokens; 0 without a fresh report.
  double ReportedMemory(Instant now, const Entry& entry) const;

  /// @brief Estimates the delay at a worker without a model, in milliseconds.
  double SlotDelay(Instant now, const Entry& entry,
                   const LoadCandidate& candidate) const;

  /// @brief Estimates the delay at a worker with a model, in milliseconds.
  double EngineDelay(Instant now, const Entry& entry,
                     const LoadCandidate& candidate,
                     const RequestSize& size) const;

  /// @brief Returns the load of a worker that all other hosts advertised.
  WorkerLoad OtherHostsLoadAt(const UpstreamId& worker) const;

  /// @return whether the load of a worker is known well enough to compare it
  bool IsLoadKnown(Instant now, const Entry& entry,
                   const LoadCandidate& candidate) const;

  std::map<UpstreamId, Entry> entries;
  LoadsByWorker other_hosts;  ///< sums over loads_by_host and loads_by_domain
  std::map<HostId, LoadsByWorker> loads_by_host;
  std::map<FailureDomainId, LoadsByWorker> loads_by_domain;
  Random random;
};

}  // namespace limpetlink
