/// @file
/// @brief Shares out the link of a leaving worker among the streams that it
/// runs.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/base.h"

namespace limpetlink {

/// @brief A stream that a worker runs.
struct RunningStream {
  std::string request_id;
  std::uint64_t memory_tokens = 0;
  std::uint64_t events = 0;  ///< made so far
};

/// @brief How fast the memory of a stream moves between workers.
struct MoveSpeed {
  double bytes_per_token = 0;
  double link_mbps = 0;  ///< of each worker; moves there run one after another

  /// @brief Gives the time of one copy.
  /// @param far the workers stand in different failure domains
  Duration CopyTime(std::uint64_t tokens, bool far) const;
};

/// @brief A worker that streams may move to.
struct MoveDestination {
  UpstreamId worker;
  bool far = false;  ///< in another failure domain than the source
};

/// @brief What a stream's memory does while its copy waits.
struct StreamGrowth {
  double tokens_per_second = 120;  ///< of one running stream, unloaded engine
  Duration report_lag{std::chrono::milliseconds(500)};
  /// A stream with so few events may have been reported while its prompt was
  /// still being read, and is counted to hold the usual prompt at least.
  std::uint64_t young_events = 10;
  std::uint64_t usual_prompt = 3000;
};

/// @brief When the copy of one stream begins, and where it goes.
struct MoveSlot {
  std::string request_id;
  std::size_t destination = 0;  ///< index into the destinations
  Duration start{0};            ///< after the notice
};

/// @brief Plans the moves off one leaving worker. Every host computes the same
/// plan from the worker's own report and carries out the slots of its own
/// streams, so that no copy waits behind another and the pause of a hand-over
/// stays short; no messages are needed. Hosts whose reports differ cost
/// efficiency only.
/// @param source the leaving worker
/// @param runs the streams in its report, of all hosts
/// @param late own streams that go after all others: those that the report
/// does not name yet, and those of a host so far from the source that its
/// orders would arrive behind the next stream's
/// @param destinations workers that take new work; near ones are used while
/// there are any
/// @return slots in order of their start; the smallest memory first, so that
/// the most streams are saved within the notice
/// @note Complexity: n log n in the streams.
std::vector<MoveSlot> PlanMoves(
    const UpstreamId& source, std::vector<RunningStream> runs,
    std::vector<RunningStream> late,
    const std::vector<MoveDestination>& destinations, const MoveSpeed& speed);

}  // namespace limpetlink
