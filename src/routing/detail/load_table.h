/// @file
/// @brief Estimates the load of each worker and chooses the one for a request.
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

/// @brief What a worker said of its load.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  std::optional<std::uint64_t> memory_tokens;  ///< in use, where it was told
  Duration lag{0};  ///< how old the figures were when they were told
};

/// @brief One host's requests at a worker.
struct WorkerLoad {
  UpstreamId worker;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;         ///< without a first byte of their answer
  std::uint64_t waiting_tokens = 0;  ///< prompts of those that wait
  std::uint64_t tokens = 0;          ///< of memory when all have ended
};

/// @brief What a request will take at a worker; zeros when its service runs no
/// model.
struct RequestSize {
  std::uint64_t prompt_tokens = 0;  ///< to be read before the first byte
  std::uint64_t tokens = 0;         ///< of memory when it has ended
};

/// @brief A worker that may be chosen.
struct LoadCandidate {
  UpstreamId worker;
  FailureDomainId domain;
  Distance distance = Distance::kSameDomain;
  std::uint32_t slots = 1;
  std::uint64_t memory_tokens = 0;  ///< 0: its service runs no model
};

/// @brief The chosen worker and the inputs of the choice.
struct LoadChoice {
  UpstreamId worker;
  double delay_ms = 0;            ///< estimated, to the first byte
  std::uint32_t own_running = 0;  ///< requests of this host there
  WorkerLoad other_hosts;         ///< as other hosts told
  std::optional<Duration> report_age;
};

/// @brief Keeps, for each worker, this host's own requests, the worker's last
/// report and how often it failed. Reports lag and all hosts read the same
/// ones; own requests begun after a report are counted on top of it.
class LoadTable {
 public:
  /// @param seed of the random part of the choice, which keeps hosts that know
  /// the same from choosing the same
  explicit LoadTable(std::uint64_t seed) : random(seed) {}

  /// @brief Another host told of its own requests at the workers; replaces what
  /// it told before.
  void ApplyHostLoads(Instant now, const HostId& host,
                      const std::vector<WorkerLoad>& shares);

  /// @brief Another host fell silent; what it told counts no more.
  void RemoveHost(const HostId& host);

  /// @brief All hosts of another failure domain were summed up; replaces what
  /// was told of them before.
  void ApplyDomainLoads(Instant now, const FailureDomainId& domain,
                        const std::vector<WorkerLoad>& loads);

  /// @brief Another failure domain fell silent.
  void RemoveDomain(const FailureDomainId& domain);

  /// @return hosts that tell of their own requests
  std::size_t AdvertisingHosts() const { return this->told.size(); }

  /// @return this host's own requests at the workers
  std::vector<WorkerLoad> LocalLoads() const;

  /// @return the requests of this host and of those that told it of theirs
  std::vector<WorkerLoad> DomainLoads() const;

  /// @brief The first byte of an answer came.
  void RecordFirstByte(const UpstreamId& worker, const RequestSize& size);

  /// @brief A request was sent to the worker.
  void Begin(Instant now, const UpstreamId& worker, const RequestSize& size);

  /// @brief A request that was sent there has ended.
  /// @param started the first byte of its answer had come
  void End(Instant now, const UpstreamId& worker, const RequestSize& size,
           bool started);

  /// @brief The worker reported its load.
  void ApplyReport(Instant now, const UpstreamId& worker,
                   const LoadReport& report);

  /// @brief An attempt ended at the worker.
  /// @param failed the worker did not answer as it should
  /// @param silent no answer came at all
  void RecordAttempt(Instant now, const UpstreamId& worker, bool failed,
                     bool silent);

  /// @brief Forgets a worker; also when it starts again under its id.
  void Remove(const UpstreamId& worker);

  /// @brief Chooses the worker with the least estimated delay, near ones first.
  /// Ejected workers are taken only when there is no other. A worker whose
  /// memory is not told is taken to be loaded as the others are. Of many
  /// candidates at the least distance only a random part is compared: many
  /// hosts read the same lagging reports, and would all choose the same worker.
  /// @param candidates workers that take new work
  /// @return the choice, or nothing when there is no candidate
  std::optional<LoadChoice> Choose(Instant now,
                                   std::vector<LoadCandidate> candidates,
                                   const RequestSize& size);

 private:
  /// @brief A request of this host that a lagging report may not hold yet.
  struct Begun {
    Instant at{};
    std::uint64_t tokens = 0;
  };

  struct Entry {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t waiting_tokens = 0;
    std::uint64_t tokens = 0;
    std::uint32_t own_at_report = 0;
    std::deque<Begun> begun;  ///< younger than the longest lag
    LoadReport report;
    Instant reported_at{};
    bool reported = false;
    double failures = 0;  ///< share of the latest attempts
    WorkerHealth health;
  };

  using LoadsByWorker = std::map<UpstreamId, WorkerLoad>;

  /// @brief Replaces what one host or domain told, and its part of the sums.
  void Replace(LoadsByWorker* told, const std::vector<WorkerLoad>& loads);
  std::vector<LoadCandidate> Sample(std::vector<LoadCandidate> candidates);
  bool MemoryTold(Instant now, const Entry& entry) const;
  double UsualDelay(Instant now, const std::vector<LoadCandidate>& candidates,
                    const RequestSize& size);
  double ReportedMemory(Instant now, const Entry& entry) const;
  double SlotDelay(Instant now, const Entry& entry,
                   const LoadCandidate& candidate) const;
  double EngineDelay(Instant now, const Entry& entry,
                     const LoadCandidate& candidate,
                     const RequestSize& size) const;

  /// @brief What all other hosts told of a worker.
  WorkerLoad OthersAt(const UpstreamId& worker) const;

  /// @return whether the requests at a worker are known well enough to compare
  bool LoadTold(Instant now, const Entry& entry,
                const LoadCandidate& candidate) const;

  std::map<UpstreamId, Entry> entries;
  LoadsByWorker others;  ///< sums over all that was told
  std::map<HostId, LoadsByWorker> told;
  std::map<FailureDomainId, LoadsByWorker> told_by_domain;
  Random random;
};

}  // namespace limpetlink
