/// @file
/// @brief Exchange of load and worker state between entry hosts.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/base.h"
#include "neighbours/detail/message.h"
#include "ports/ports.h"

namespace limpetlink {

/// @brief Settings of a host's Neighbours.
struct NeighbourSettings {
  HostId self;
  FailureDomainId domain;
  std::string address;  ///< of this host, "ip:port"; empty disables neighbours
  std::vector<std::string> seeds;  ///< hosts that know others; may be down
};

/// @brief Callbacks that supply this host's state and receive that of others.
struct NeighbourHooks {
  /// Returns the load that this host places on the workers.
  std::function<std::vector<WorkerLoad>()> local_loads;
  /// Receives the load that a neighbour places on the workers.
  std::function<void(Instant, const HostId&, const std::vector<WorkerLoad>&)>
      host_loads;
  std::function<void(const HostId&)> neighbour_found;
  std::function<void(const HostId&)> neighbour_lost;  ///< is unresponsive
  std::function<void(Instant, const LeavingWorker&)> worker_leaving;
  /// Returns the last linearizable reads of this host.
  std::function<std::vector<AdvertisedRead>(Instant)> local_reads;
  /// Receives a read of a neighbour. By this host's clock, the read was sent no
  /// earlier than the given instant.
  std::function<void(Instant now, Instant sent_at, const AdvertisedRead&)>
      neighbour_read;
  /// Returns the latest changes in the metadata store that this host has read.
  std::function<std::vector<KindChanges>(Instant)> local_changes;
  /// Returns the changes that a neighbour misses, if this host has them.
  std::function<std::optional<KindChanges>(const MissingChanges&)>
      changes_since;
  /// Called when a call of a neighbour to the metadata store failed.
  std::function<void(Instant)> neighbour_store_failure;
  /// Returns how long this host delays removals of workers.
  std::function<Duration(Instant)> local_removal_delay;
  /// Called before the reads and changes of a neighbour, with its delay of
  /// removals.
  std::function<void(Instant, Duration)> neighbour_removal_delay;
  /// Receives the changes that a neighbour has read.
  std::function<void(Instant, const KindChanges&)> neighbour_changes;
  /// Returns the load of all hosts of this host's failure domain.
  std::function<std::vector<WorkerLoad>()> own_domain_loads;
  /// Receives the load of another failure domain, which replaces its previous
  /// one.
  std::function<void(Instant, const DomainLoads&)> remote_domain_loads;
  /// Returns what this host has learnt about workers; with what it received
  /// from others if `include_received`.
  std::function<Gossip(Instant, bool include_received)> local_gossip;
  /// Receives the gossip of another host.
  /// @return whether any of it is new here
  std::function<bool(Instant, const Gossip&)> remote_gossip;
  /// Returns offers to relay requests, of this host and its neighbours.
  std::function<std::vector<RelayOffer>(Instant)> relay_offers;
  /// Receives the offer of another host.
  std::function<void(Instant, const RelayOffer&)> remote_relay_offer;
  /// Called when no loads of a failure domain were received in time.
  std::function<void(const FailureDomainId&)> domain_lost;
};

/// @brief Exchanges state with the live hosts of the same failure domain over
/// datagrams: immediately after a change, and every second. Requests the list
/// of neighbours from the seeds.
///
/// In each failure domain the host with the lowest id sends the domain's loads
/// to the contact host of every other domain, which relays them to its
/// neighbours. The exchanged state is advisory: a host without neighbours
/// serves requests as well, but places them less evenly.
class Neighbours {
 public:
  Neighbours(NeighbourSettings settings, NeighbourHooks hooks)
      : settings(std::move(settings)), hooks(std::move(hooks)) {}

  /// @brief Handles a datagram.
  /// @return whether it could be decoded
  bool OnFrame(Instant now, const PeerFrame& frame);

  /// @brief Schedules a state message to the neighbours after a change here.
  void OnStateChanged(Instant now);

  /// @brief Schedules messages with this host's gossip.
  void OnGossipChanged(Instant now);

  /// @brief Advertises a completed linearizable read with the next Tick.
  void OnLinearizableRead(Instant now) { this->next_linearizable_reads = now; }

  /// @brief Sends changes in the metadata store with the next Tick.
  void OnChangesRead(Instant now) { this->next_changes = now; }

  /// @brief Asks one neighbour, a different one each time, for changes.
  void RequestChanges(Instant now, const MissingChanges& missing);

  /// @brief Asks the contact hosts of other domains for hosts that relay
  /// requests, at most once a second.
  void RequestRelays(Instant now);

  /// @brief Tells the neighbours that a call to the metadata store failed,
  /// unless one of them has just told.
  void OnStoreFailure(Instant now);

  /// @return the number of neighbours with a lower id; nullopt without
  /// neighbours
  std::optional<std::size_t> Rank() const;

  /// @brief Notifies the other hosts of a leaving worker that this host
  /// noticed.
  void OnWorkerLeaving(Instant now, const LeavingWorker& worker);

  /// @brief Sends the messages that are due and removes unresponsive hosts.
  void Tick(Instant now);

  /// @return the latest time at which Tick must be called; kNever when
  /// neighbours are disabled
  Instant NextWakeup() const;

  /// @brief Returns the members of the fleet if they changed since the last
  /// call. Hosts and domains stay members for a while after they became
  /// unresponsive, and all of them while this host hears nobody.
  std::optional<FleetMembers> TakeChangedMembers();

  std::size_t Count() const { return this->neighbours.size(); }
  Actions TakeActions() { return std::exchange(this->actions, {}); }

 private:
  struct Neighbour {
    std::string address;
    std::uint64_t sequence = 0;
    Instant last_received{};
    std::optional<std::int64_t> peer_clock_ms;  ///< from its last message
  };
  struct Requester {
    FailureDomainId domain;
    std::string address;
    Instant last_received{};
  };
  struct Contact {
    NeighbourAddress host;
    Instant last_received{};
  };
  struct LeavingRecord {
    LeavingWorker worker;
    Instant noticed_at{};
    bool received = false;  ///< from a neighbour, which notifies the others
  };

  NeighbourMessage MakeMessage(Instant now, bool requests_neighbours);
  void SendLinearizableReads(Instant now);
  void SendReadsTo(Instant now, const Neighbour& neighbour,
                   const std::vector<AdvertisedRead>& reads);
  void SendReadsToNewNeighbours(Instant now);
  void SendChanges(Instant now);
  void AnswerRequest(Instant now, const NeighbourMessage& request);
  void HandleLinearizableReads(Instant now, const NeighbourMessage& message);
  /// @param include_received also returns workers that neighbours reported
  std::vector<LeavingWorker> LeavingWorkers(Instant now,
                                            bool include_received) const;
  void HandleLeaving(Instant now, const LeavingWorker& worker);
  void SendTo(const std::string& address, const NeighbourMessage& message);
  void SendToNeighbours(const NeighbourMessage& message);
  void SendNeighbourList(Instant now, const NeighbourMessage& request);
  void StoreContact(Instant now, const DomainContact& contact);
  void HandleDomainLoads(Instant now, const NeighbourMessage& message);
  void SendDomainLoads(Instant now);
  /// @return the gossip if it is due, and schedules the next time
  Gossip TakeDueGossip(Instant now, Instant* due, bool include_received);
  void NoteMember(Instant now, const HostId& host);
  void NoteDomain(Instant now, const FailureDomainId& domain);
  void ExpireMembers(Instant now);
  void RemoveUnresponsive(Instant now);
  /// @return whether this host sends the domain's loads to other domains
  bool HasLowestId() const;

  NeighbourSettings settings;
  NeighbourHooks hooks;
  std::map<HostId, Neighbour> neighbours;
  std::map<HostId, Requester> requesters;  ///< hosts that use this one as seed
  std::map<FailureDomainId, Contact> contacts;  ///< of other domains
  std::map<FailureDomainId, Instant> domain_updates;
  std::vector<LeavingRecord> leaving;
  std::map<HostId, Instant> heard_hosts;  ///< of the own failure domain
  std::map<FailureDomainId, Instant> heard_domains;
  bool members_changed = false;
  /// Hosts that have just started and know no read yet.
  std::set<HostId> new_neighbours;
  std::uint64_t sequence = 0;
  HostId last_asked;                          ///< for changes
  std::optional<Instant> last_store_failure;  ///< sent or received
  Instant next_state{};
  Instant next_request{};
  Instant next_domain_loads{};
  Instant next_gossip{};                      ///< to neighbours
  Instant next_domain_gossip{};               ///< to other domains
  std::optional<Instant> last_domain_gossip;  ///< from another domain
  Instant next_relay_request{};
  Instant next_linearizable_reads = kNever;
  Instant next_changes = kNever;
  std::optional<Instant> first_message_at;  ///< of this process
  Instant last_state_sent{};
  Actions actions;
};

}  // namespace limpetlink
