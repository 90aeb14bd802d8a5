/// @file
/// @brief What entry hosts of one failure domain tell each other.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "base/base.h"

namespace limpetlink {

/// @brief A host's own requests at one worker.
struct WorkerShare {
  UpstreamId worker;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;  ///< without a first byte of their answer
  std::uint64_t tokens = 0;   ///< of memory when they have ended
};

/// @brief A start of a worker that leaves.
struct LeavingWorker {
  UpstreamId worker;
  std::int64_t started_at = 0;  ///< as in its registration
};

/// @brief Where a host can be told things.
struct NeighbourAddress {
  HostId host;
  std::string address;  ///< "ip:port"
};

/// @brief A host's whole state as its neighbours need it. Each message replaces
/// the one before, so that a lost datagram costs its own news only.
struct NeighbourMessage {
  HostId host;
  FailureDomainId domain;
  std::string address;
  std::uint64_t sequence = 0;  ///< rises with each message of a start
  bool asks = false;           ///< wants to be told who its neighbours are
  std::vector<WorkerShare> shares;
  std::vector<LeavingWorker> leaving;
  std::vector<NeighbourAddress> neighbours;  ///< the answer to a question
};

/// @brief Writes a message as CBOR.
std::string EncodeNeighbourMessage(const NeighbourMessage& message);

/// @brief Reads a message; every count and length is bounded.
absl::StatusOr<NeighbourMessage> DecodeNeighbourMessage(std::string_view bytes);

}  // namespace limpetlink
