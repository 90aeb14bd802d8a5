/// @file
/// @brief What entry hosts tell each other.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "base/base.h"
#include "routing/routing.h"

namespace limpetlink {

/// @brief A start of a worker that leaves.
struct LeavingWorker {
  UpstreamId worker;
  std::int64_t started_at = 0;  ///< as in its registration
  Duration age{0};              ///< since the first host noticed
};

/// @brief Where a host can be told things.
struct NeighbourAddress {
  HostId host;
  std::string address;  ///< "ip:port"
};

/// @brief A host of another failure domain that tells its own what it is told.
struct DomainContact {
  FailureDomainId domain;
  NeighbourAddress host;
};

/// @brief What all hosts of a failure domain have at the workers.
struct DomainLoads {
  FailureDomainId domain;
  std::vector<WorkerLoad> loads;
};

/// @brief A linearizable call of a host, as it tells others.
struct ToldProof {
  std::string kind;
  std::uint64_t changed_at = 0;  ///< no change of the kind lies between this
  std::uint64_t revision = 0;    ///< and this revision
  Duration age{0};               ///< since the call left
};

/// @brief A host's whole state as its neighbours need it. Each message replaces
/// the one before, so that a lost datagram costs its own news only.
struct NeighbourMessage {
  HostId host;
  FailureDomainId domain;
  std::string address;
  std::uint64_t sequence = 0;  ///< rises with each message of a start
  bool asks = false;           ///< wants to be told who its neighbours are
  std::vector<WorkerLoad> shares;
  std::vector<LeavingWorker> leaving;
  std::vector<NeighbourAddress> neighbours;  ///< the answer to a question
  std::vector<DomainContact> contacts;       ///< in the same answer
  /// The sender's clock; it comes back to the sender in `echo_ms`.
  std::int64_t sent_at_ms = 0;
  /// The receiver's clock in its last message that the sender has. Ages in
  /// this message are no older than that by the receiver's clock, however long
  /// the message was on its way and whoever was frozen meanwhile.
  std::optional<std::int64_t> echo_ms;
  std::vector<ToldProof> proofs;
  std::optional<DomainLoads> domain_loads;  ///< of a domain, not of the host
};

/// @brief Writes a message as CBOR.
std::string EncodeNeighbourMessage(const NeighbourMessage& message);

/// @brief Reads a message; every count and length is bounded.
absl::StatusOr<NeighbourMessage> DecodeNeighbourMessage(std::string_view bytes);

}  // namespace limpetlink
