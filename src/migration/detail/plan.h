/// @file
/// @brief Schedules the migration of a leaving worker's streams over its
/// network link.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/base.h"

namespace limpetlink {

/// @brief A running stream of a worker.
struct RunningStream {
  std::string request_id;
  std::uint64_t memory_tokens = 0;
  std::uint64_t events = 0;  ///< generated so far
};

/// @brief Speed of KV cache transfers between workers.
struct TransferSpeed {
  double bytes_per_token = 0;
  double link_mbps = 0;  ///< per worker, Mbit/s; transfers on it run serially

  /// @brief Returns the duration of one transfer; zero if the speed is unknown.
  /// @param cross_domain whether the workers are in different failure domains
  Duration TransferTime(std::uint64_t tokens, bool cross_domain) const;
};

/// @brief A worker that streams may migrate to.
struct MigrationDestination {
  UpstreamId worker;
  bool cross_domain = false;  ///< not in the source's failure domain
};

/// @brief Estimated growth of a stream's KV cache until its transfer starts.
struct StreamGrowth {
  double tokens_per_second = 120;  ///< per stream on an unloaded engine
  Duration report_lag{std::chrono::milliseconds(500)};
  /// A stream with fewer events may have been reported during its prefill, so
  /// its cache is assumed to hold at least a typical prompt.
  std::uint64_t min_reliable_events = 10;
  std::uint64_t typical_prompt_tokens = 3000;
};

/// @brief Start time and destination of one stream's transfer.
struct MigrationSlot {
  std::string request_id;
  std::size_t destination = 0;  ///< index into the destinations
  Duration start{0};            ///< relative to the notice
};

/// @brief Plans the migrations off one leaving worker. Every host computes the
/// same plan from the worker's own report and executes the slots of its own
/// streams. No transfer then waits for another, which keeps the pause of a
/// handover short, and hosts exchange no messages. If their reports differ,
/// only efficiency suffers.
/// @param source the leaving worker
/// @param streams the streams in its report, of all hosts
/// @param late local streams that are scheduled after all others: those missing
/// from the report, and those of a host so far from the source that its
/// commands would arrive after the next stream's
/// @param destinations workers that accept new work; those in other failure
/// domains are used only if there is none in the source's
/// @return slots by start time; the smallest caches first, so that as many
/// streams as possible are saved within the notice
/// @note Complexity: O(n log n) in the number of streams.
std::vector<MigrationSlot> PlanMigrations(
    const UpstreamId& source, std::vector<RunningStream> streams,
    std::vector<RunningStream> late,
    const std::vector<MigrationDestination>& destinations,
    const TransferSpeed& speed);

}  // namespace limpetlink
