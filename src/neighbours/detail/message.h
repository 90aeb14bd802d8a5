/// @file
/// @brief Messages between neighbouring entry hosts, and their CBOR.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "base/base.h"
#include "discovery/discovery.h"
#include "limits/limits.h"
#include "quarantine/quarantine.h"
#include "reachability/reachability.h"
#include "routing/routing.h"

namespace limpetlink {

/// @brief One incarnation of a worker that is leaving.
struct LeavingWorker {
  UpstreamId worker;
  std::int64_t started_at = 0;  ///< Unix milliseconds, from its registration
  Duration age{0};              ///< since the first host noticed
};

/// @brief A host and the address at which it receives neighbour messages.
struct NeighbourAddress {
  HostId host;
  std::string address;  ///< "ip:port"
};

/// @brief The contact host of another failure domain. It relays the messages
/// that it receives to the hosts of its own domain.
struct DomainContact {
  FailureDomainId domain;
  NeighbourAddress host;
};

/// @brief The load that all hosts of a failure domain place on the workers.
struct DomainLoads {
  FailureDomainId domain;
  std::vector<WorkerLoad> loads;
};

/// @brief A linearizable read of the metadata store, as a host advertises it.
struct AdvertisedRead {
  std::string kind;
  std::uint64_t changed_at = 0;  ///< the kind did not change between this
  std::uint64_t revision = 0;    ///< and this revision
  Duration age{0};               ///< since the read was sent
  std::uint64_t era = 0;         ///< of the store; scopes the revisions
};

/// @brief What hosts have learnt about workers and repeat to each other. It may
/// arrive late, repeatedly and in any order.
struct Gossip {
  CrashEvidence evidence;
  std::vector<LimitNotice> limits{};  ///< the first kMaxLimitNotices are sent
  std::vector<RoomNotice> rooms{};    ///< the first kMaxLimitNotices are sent
  /// Of the sender itself; only sent to hosts of its failure domain.
  std::optional<RelayOffer> relay{};

  bool Empty() const {
    return this->evidence.Empty() && this->limits.empty() &&
           this->rooms.empty() && !this->relay.has_value();
  }
};

/// Limit notices in a message, which has to fit a datagram.
inline constexpr std::size_t kMaxLimitNotices = 32;

/// Relay offers in a response to a request for them.
inline constexpr std::size_t kMaxRelayOffers = 8;

/// @brief The complete state of a host that its neighbours need. Each message
/// replaces the previous one, so a lost datagram loses only its own update.
struct NeighbourMessage {
  HostId host;
  FailureDomainId domain;
  std::string address;
  std::uint64_t sequence = 0;  ///< increases with each message of a process
  bool requests_neighbours = false;  ///< asks for a list of neighbours
  std::vector<WorkerLoad> worker_loads;
  std::vector<LeavingWorker> leaving;
  std::vector<NeighbourAddress> neighbours;  ///< response to a request
  std::vector<DomainContact> contacts;       ///< in the same response
  /// The sender's clock; the receiver returns it in `echo_ms`.
  std::int64_t sent_at_ms = 0;
  /// The receiver's clock, from its last message to the sender. The receiver
  /// subtracts the ages of the reads from this value. The result is no later
  /// than the actual times by its own clock, however long the message was in
  /// transit and whichever host was frozen in the meantime.
  std::optional<std::int64_t> echo_ms;
  std::vector<AdvertisedRead> linearizable_reads;
  std::optional<DomainLoads> domain_loads;  ///< of a domain, not of the host
  /// Changes in the metadata store that the sender has read. A message with
  /// changes carries nothing else.
  std::vector<KindChanges> changes;
  /// Changes that the sender misses and cannot read itself. The receiver sends
  /// them back if it has them.
  std::optional<MissingChanges> missing;
  /// Whether a call of the sender to the metadata store has just failed. The
  /// message carries nothing else.
  bool store_failed = false;
  /// Sent with reads and changes: how long the sender delays removals of
  /// workers, whose registrations may have expired during an outage of the
  /// store.
  Duration removal_delay{0};
  /// Whether the sender asks a host of another failure domain for hosts there
  /// that relay requests. The message carries nothing else.
  bool requests_relays = false;
  std::vector<RelayOffer> relays;  ///< response to such a request
  /// Sent with the state of a host or domain, after a change and each second.
  Gossip gossip;
};

/// @brief Encodes a message as CBOR.
std::string EncodeNeighbourMessage(const NeighbourMessage& message);

/// @brief Decodes a message; every count and length is limited.
/// @return the message; peer.101 when malformed or outside the limits
absl::StatusOr<NeighbourMessage> DecodeNeighbourMessage(std::string_view bytes);

}  // namespace limpetlink
