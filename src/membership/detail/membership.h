/// @file
/// @brief Membership: the view that one host has of all entry hosts.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/base.h"
#include "membership/detail/member.h"
#include "membership/detail/messages.h"
#include "metadata_store/metadata_store.h"

namespace limpetlink {

/// @brief Settings of a membership.
struct MembershipSettings {
  HostId self;
  std::string address;  ///< "ip:port" at which peers reach this host
  FailureDomainId failure_domain;
  std::uint64_t boot = 1;  ///< identifies this process of the host
  /// Known peers; may be empty.
  std::vector<std::pair<HostId, std::string>> seeds;
  Duration probe_interval{std::chrono::seconds(1)};
  Duration probe_timeout{std::chrono::milliseconds(400)};
  Duration suspicion_timeout{std::chrono::seconds(4)};
  std::uint32_t indirect_probes = 3;
  Duration gossip_interval{std::chrono::milliseconds(200)};
  /// Neighbours that get a message in each gossip interval.
  std::uint32_t gossip_fanout = 3;
  /// Applies to records and to broadcasts separately.
  std::uint32_t max_items_per_message = 8;
  Duration dead_probe_interval{std::chrono::seconds(5)};
  /// Delay before a host that is dead and not listed is removed.
  Duration removal_delay{std::chrono::minutes(60)};
  /// Minimum between two syncs that this host starts.
  Duration sync_interval{std::chrono::seconds(2)};
  /// Number of hosts that read the host list at `frequent_list_interval`; all
  /// others read it at `list_interval`.
  std::uint32_t frequent_list_readers = 3;
  Duration frequent_list_interval{std::chrono::seconds(2)};
  Duration list_interval{std::chrono::seconds(60)};
  Duration freeze_threshold{std::chrono::seconds(3)};
  std::uint64_t seed = 1;
};

/// @brief Sends a payload of kind kMembership to a peer; may be lost.
struct MembershipSend {
  HostId to;
  std::string address;
  std::string bytes;
};

/// @brief Reports that the set of live hosts changed.
struct LiveHostsChanged {
  std::vector<HostId> live;  ///< sorted, including this host
  std::vector<FailureDomainId>
      failure_domains;             ///< of `live`, in the same order
  std::vector<HostId> neighbours;  ///< sorted, excluding this host
};

/// @brief Reports that a host runs as a new process, without the state of its
/// previous one.
struct HostRestarted {
  HostId host;
};

/// @brief Delivers a broadcast of another host, once for each version.
struct BroadcastReceived {
  Broadcast item;
};

/// @brief Delivers the payload of a peer's probe or ack (see SetProbePayload).
struct ProbePayloadReceived {
  HostId from;
  std::string bytes;
};

/// @brief Delivers the platform's host list, including upstreams.
struct HostListRead {
  std::vector<ListedHost> hosts;
};

/// @brief Actions and events of the membership.
using MembershipAction =
    std::variant<MembershipSend, LiveHostsChanged, HostRestarted,
                 BroadcastReceived, ProbePayloadReceived, HostListRead>;

/// @brief Returns the payload of a probe or ack; may be empty.
using MakeProbePayload = std::function<std::string(Instant now)>;

/// @brief Counters since the start of the process.
struct MembershipCounters {
  std::uint64_t messages_sent = 0;
  std::uint64_t bytes_sent = 0;  ///< of payloads
  std::uint64_t messages_received = 0;
  std::uint64_t rejected_messages = 0;  ///< malformed
  std::uint64_t suspicions = 0;         ///< raised by this host
  std::uint64_t deaths = 0;             ///< declared by this host
  std::uint64_t refutations = 0;        ///< of suspicions of this host
  std::uint64_t syncs = 0;
  std::uint64_t freezes = 0;
};

/// @brief Detects live entry hosts and disseminates broadcasts between them.
///
/// Each host probes a fixed set of neighbours in turn: on a ring ordered by the
/// hash of the ids, those at distances 1, 2, 4, 8 and so on. A host is thus
/// probed by as many hosts as it probes, and has about 2 log2(n) connections.
/// @note Example:
/// @code
/// Membership membership(settings, &platform);
/// membership.Start(now);
/// membership.OnPeer(now, envelope.from, envelope.payload);
/// membership.OnStoreResult(now, result);
/// membership.Tick(now);  // by NextWakeup()
/// for (auto& action : membership.TakeActions()) { ... }
/// @endcode
class Membership {
 public:
  /// @param settings identity of this host, and intervals
  /// @param platform reads the host list; may be nullptr; must outlive this
  Membership(MembershipSettings settings, MetadataStoreClient* platform);

  /// @brief Starts probing the seeds and reads the host list.
  void Start(Instant now);

  /// @brief Handles a payload of kind kMembership. Malformed ones are counted.
  /// @param from the authenticated sender
  void OnPeer(Instant now, const HostId& from, std::string_view bytes);

  /// @brief Handles the result of a platform operation.
  /// @return whether the membership had started the operation
  bool OnStoreResult(Instant now, const StoreResult& result);

  /// @brief Applies a host list of the platform.
  void OnHostList(Instant now, const std::vector<ListedHost>& hosts);

  /// @brief Disseminates an item to all hosts. It replaces a lower version of
  /// its key; an item beyond the limits or with an older version is ignored.
  void Disseminate(Instant now, const Broadcast& item);

  /// @brief Sets the function that returns the payload of each probe and ack,
  /// at most 64 bytes; a longer payload is not sent. It is called at the time
  /// of sending, so that ages in the payload are accurate.
  void SetProbePayload(MakeProbePayload make);

  /// @brief Announces that this host leaves; it continues to respond.
  void Leave(Instant now);

  /// @brief Advances the timers; detects whether the host was frozen.
  void Tick(Instant now);

  /// @return the latest time at which Tick must be called
  Instant NextWakeup() const;

  /// @brief Returns and clears the pending actions.
  std::vector<MembershipAction> TakeActions();

  /// @return the live hosts, sorted, including this one unless it has left
  const std::vector<HostId>& Live() const { return this->live; }

  /// @return the hosts that this host probes or is probed by, sorted
  const std::vector<HostId>& Neighbours() const { return this->neighbours; }

  /// @return the address of a host, or nullopt when it is unknown
  std::optional<std::string> AddressOf(const HostId& host) const;

  /// @return the record of a host, or nullopt when none was confirmed
  std::optional<Member> Find(const HostId& host) const;

  /// @return whether the view is current: false after the start or a freeze
  /// until it was synced with a peer or no peer was found
  bool IsCurrent() const { return this->current; }

  /// @return counters since the start of the process
  const MembershipCounters& Counters() const { return this->counters; }

 private:
  static constexpr std::size_t kBuckets = 32;

  struct Record {
    Member member;
    std::uint64_t ring_position = 0;
    Instant changed{};  ///< when this host last stored the record
    Instant suspect_until = kNever;
    bool unverified = false;  ///< only listed; not live until confirmed
    bool listed = false;
    std::uint32_t transmissions_left = 0;
  };
  struct Item {
    Broadcast item;
    Instant at{};
    std::uint32_t transmissions_left = 0;
  };
  struct Probe {
    HostId target;
    Instant sent{};
    bool indirect = false;
    HostId relay_to;  ///< host that requested the probe, if any
    std::uint64_t relay_sequence = 0;
  };
  using ItemKey = std::pair<std::uint32_t, std::string>;

  // membership.cc
  void DetectFreeze(Instant now);
  void RunTimers(Instant now);
  void ExpireSuspicions(Instant now);
  void RemoveExpired(Instant now);
  void ReadHostList(Instant now);
  void AddListedHost(Instant now, const ListedHost& host);
  void DetectRestart(const HostId& from, const Member& received);
  void PublishLiveHosts(Instant now);
  void RebuildView();
  // probe.cc
  void ProbeNext(Instant now);
  void ProbeCandidates(Instant now);
  void CheckProbeTimeouts(Instant now);
  void RequestIndirectProbes(const Probe& probe, std::uint64_t sequence);
  void HandleProbeTimeout(Instant now, const Probe& probe);
  void SendProbe(Instant now, const HostId& to, const HostId& relay_to,
                 std::uint64_t relay_sequence);
  void HandleProbe(Instant now, const HostId& from,
                   const GossipMessage& message);
  std::string MakeBoundedPayload(Instant now) const;
  void HandleAck(Instant now, const HostId& from, const GossipMessage& message);
  void HandleProbeRequest(Instant now, const HostId& from,
                          const GossipMessage& message);
  void Suspect(Instant now, const HostId& host);
  std::int64_t TimeoutMultiplier() const { return 1 + this->health_score; }
  // spread.cc
  void RecordContact(Instant now, const HostId& from);
  void Merge(Instant now, const Member& received, bool disseminate);
  void MergeSelf(const Member& received);
  void Store(Instant now, Record* record, const Member& member,
             bool disseminate);
  void Erase(const HostId& host);
  void HandleBroadcast(Instant now, const Broadcast& item);
  void AttachUpdates(const HostId& to, GossipMessage* message);
  void SendGossip(Instant now);
  bool HasPendingUpdates() const;
  std::uint32_t TransmissionLimit() const;
  void SendTo(const HostId& to, GossipMessage message);
  // sync.cc
  void RequestSync(const HostId& to);
  void RequestSyncOnMismatch(Instant now, const HostId& from,
                             std::uint64_t digest);
  void HandleSyncRequest(const HostId& from, const GossipMessage& message);
  void HandleSyncReply(Instant now, const GossipMessage& message);
  std::uint64_t TableDigest() const;
  void ToggleDigest(const Record& record);
  static std::size_t BucketOf(const HostId& host);
  static std::uint64_t DigestOf(const Member& member);

  MembershipSettings settings;
  MetadataStoreClient* platform;
  Random random;
  Member self;
  std::uint32_t self_transmissions_left = 0;
  HostId restarted_host;  ///< gets its own record with the next message
  bool current = false;
  /// Sequence of the first sync that can make the view current.
  std::uint64_t first_valid_sync = 0;
  bool started = false;
  bool view_outdated = true;         ///< live or neighbours may have changed
  std::map<HostId, Record> records;  ///< of the other hosts
  std::set<HostId> pending_members;  ///< records with transmissions left
  std::set<HostId> suspects;
  std::set<HostId> candidates;  ///< dead or only listed; probed slowly
  std::map<ItemKey, Item> items;
  std::set<ItemKey> pending_items;
  std::map<std::uint64_t, Probe> probes;
  std::uint64_t next_sequence = 1;
  /// 0 when healthy; higher when this host seems slow or isolated.
  std::uint32_t health_score = 0;
  std::uint32_t ignored_probe_failures = 0;  ///< while no message was received
  std::size_t probe_cursor = 0;
  std::size_t gossip_cursor = 0;
  std::vector<std::uint64_t> bucket_digests;
  std::vector<HostId> live;
  std::vector<HostId> neighbours;
  std::vector<HostId> targets;   ///< neighbours that this host probes
  std::vector<HostId> shuffled;  ///< neighbours in a random order
  MakeProbePayload make_payload;
  std::uint64_t list_operation = 0;
  Instant last_run{};
  Instant last_received{};
  Instant last_match{};
  Instant isolated_at = kNever;  ///< time to assume that there are no peers
  Instant next_probe{};
  Instant next_candidate{};
  Instant next_gossip{};
  Instant next_sync{};
  Instant next_publish{};
  Instant next_list_read{};
  Instant next_expiry{};
  MembershipCounters counters;
  std::vector<MembershipAction> actions;
};

}  // namespace limpetlink
