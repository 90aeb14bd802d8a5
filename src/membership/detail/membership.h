/// @file
/// @brief Membership: one host's view of all entry hosts.
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

/// @brief What a membership is built with.
struct MembershipSettings {
  HostId self;
  std::string address;             ///< "ip:port" at which peers reach this host
  FailureDomainId failure_domain;  ///< where this host stands
  std::uint64_t boot = 1;          ///< differs for each start of the process
  std::vector<std::pair<HostId, std::string>> seeds;  ///< known peers, may be
                                                      ///< empty
  Duration probe_interval{std::chrono::seconds(1)};
  Duration probe_timeout{std::chrono::milliseconds(400)};
  Duration suspicion_timeout{std::chrono::seconds(4)};
  std::uint32_t indirect_probes = 3;
  Duration gossip_interval{std::chrono::milliseconds(200)};
  std::uint32_t gossip_fanout = 3;          ///< neighbours told in one interval
  std::uint32_t max_items_per_message = 8;  ///< records and broadcasts each
  Duration dead_probe_interval{std::chrono::seconds(5)};
  Duration removal_delay{std::chrono::minutes(60)};  ///< dead and not listed
  Duration sync_interval{std::chrono::seconds(2)};   ///< least time between two
                                                     ///< syncs begun here
  std::uint32_t frequent_list_readers =
      3;  ///< hosts that read the list often, of all
  Duration frequent_list_interval{std::chrono::seconds(2)};
  Duration list_interval{std::chrono::seconds(60)};  ///< of the other hosts
  Duration freeze_threshold{std::chrono::seconds(3)};
  std::uint64_t seed = 1;
};

/// @brief Send a payload of kind kMembership to a peer; may be lost.
struct MembershipSend {
  HostId to;
  std::string address;
  std::string bytes;
};

/// @brief The live hosts or this host's neighbours changed.
struct LiveHostsChanged {
  std::vector<HostId> live;  ///< sorted, with this host
  std::vector<FailureDomainId>
      failure_domains;             ///< of the live, in their order
  std::vector<HostId> neighbours;  ///< sorted, without this host
};

/// @brief A host runs as a new process; what its old one held is gone.
struct HostRestarted {
  HostId host;
};

/// @brief A broadcast of another host arrived, once for each version.
struct BroadcastReceived {
  Broadcast item;
};

/// @brief Bytes that rode on a peer's probe or ack (SetProbePayload there).
struct ProbePayloadReceived {
  HostId from;
  std::string bytes;
};

/// @brief The platform's host list was read, upstreams included.
struct HostListRead {
  std::vector<ListedHost> hosts;
};

/// @brief What the membership orders or tells.
using MembershipAction =
    std::variant<MembershipSend, LiveHostsChanged, HostRestarted,
                 BroadcastReceived, ProbePayloadReceived, HostListRead>;

/// @brief Makes the bytes that ride on a probe or ack; empty: none.
using MakeProbePayload = std::function<std::string(Instant now)>;

/// @brief Counted since the start.
struct MembershipCounters {
  std::uint64_t messages_sent = 0;
  std::uint64_t bytes_sent = 0;  ///< of payloads
  std::uint64_t messages_received = 0;
  std::uint64_t rejected_messages = 0;  ///< malformed
  std::uint64_t suspicions = 0;         ///< raised here
  std::uint64_t deaths = 0;             ///< declared here
  std::uint64_t refutations = 0;        ///< of suspicions of this host
  std::uint64_t syncs = 0;
  std::uint64_t freezes = 0;
};

/// @brief One host's view of the entry hosts.
///
/// Each host probes a fixed set of neighbours in turn: on a ring ordered by the
/// hash of the ids, those at distances 1, 2, 4, 8 and so on. So a host is
/// probed by as many hosts as it probes, and keeps about 2 log2(n) connections.
/// @note Example:
/// @code
/// Membership membership(settings, &platform);
/// membership.Start(now);
/// membership.OnPeer(now, envelope.from, envelope.payload);
/// membership.OnPlatform(now, result);
/// membership.Tick(now);  // by NextWakeup()
/// for (auto& action : membership.TakeActions()) { ... }
/// @endcode
class Membership {
 public:
  /// @param settings who this host is, and times
  /// @param platform reads the host list; may be nullptr; outlives this
  Membership(MembershipSettings settings, MetadataStoreClient* platform);

  /// @brief Begins: asks the seeds and the host list.
  void Start(Instant now);

  /// @brief Takes a payload of kind kMembership. A malformed one is counted.
  /// @param from the authenticated sender
  void OnPeer(Instant now, const HostId& from, std::string_view bytes);

  /// @brief Takes an operation's result.
  /// @return whether the operation was the membership's
  bool OnPlatform(Instant now, const StoreResult& result);

  /// @brief Takes the platform's host list from elsewhere.
  void OnHostList(Instant now, const std::vector<ListedHost>& hosts);

  /// @brief Spreads an item to all hosts; replaces a lower version of its key.
  void Disseminate(Instant now, const Broadcast& item);

  /// @brief Sets what makes the bytes that ride on each probe and ack, at most
  /// 64. It is called at the moment of sending, so that ages in it are true.
  void SetProbePayload(MakeProbePayload make);

  /// @brief Announces that this host leaves; it goes on answering.
  void Leave(Instant now);

  /// @brief Lets time pass; notices when the host was frozen.
  void Tick(Instant now);

  /// @return when Tick is due at the latest
  Instant NextWakeup() const;

  /// @brief Hands over what was ordered since the last take.
  std::vector<MembershipAction> TakeActions();

  /// @return the live hosts, sorted, with this one (unless it has left)
  const std::vector<HostId>& Live() const { return this->live; }

  /// @return the hosts that this host probes or is probed by, sorted
  const std::vector<HostId>& Neighbours() const { return this->neighbours; }

  /// @return a host's address, or nothing when it is not known
  std::optional<std::string> AddressOf(const HostId& host) const;

  /// @return what is known of a host, or nothing
  std::optional<Member> Find(const HostId& host) const;

  /// @return whether the view is current: false from the start or a freeze
  /// until a peer's table has been compared, or there is no peer to ask
  bool IsCurrent() const { return this->current; }

  /// @return counted since the start
  const MembershipCounters& Counters() const { return this->counters; }

 private:
  static constexpr std::size_t kBuckets = 32;

  struct Record {
    Member member;
    std::uint64_t ring = 0;  ///< place on the ring
    Instant changed{};       ///< when the state last changed here
    Instant suspect_until = kNever;
    bool unverified = false;  ///< only listed; not live until it is heard
    bool listed = false;
    std::uint32_t sends_left = 0;  ///< transmissions still to make
  };
  struct Item {
    Broadcast item;
    Instant at{};
    std::uint32_t sends_left = 0;
  };
  struct Probe {
    HostId target;
    Instant sent{};
    bool indirect = false;
    HostId relay_to;  ///< set when probing for another host
    std::uint64_t relay_sequence = 0;
  };
  using ItemKey = std::pair<std::uint32_t, std::string>;

  // membership.cc
  void NoticeGap(Instant now);
  void RunTimers(Instant now);
  void ExpireSuspicions(Instant now);
  void Forget(Instant now);
  void ReadList(Instant now);
  void AddListed(Instant now, const ListedHost& host);
  void NoteContested(const HostId& from, const Member& heard);
  void Emit(Instant now);
  void Rebuild();
  // probe.cc
  void ProbeNext(Instant now);
  void ProbeCandidates(Instant now);
  void CheckProbes(Instant now);
  void AskHelpers(const Probe& probe, std::uint64_t sequence);
  void FailProbe(Instant now, const Probe& probe);
  void SendProbe(Instant now, const HostId& to, const HostId& relay_to,
                 std::uint64_t relay_sequence);
  void HandleProbe(Instant now, const HostId& from,
                   const GossipMessage& message);
  std::string Payload(Instant now) const;
  void HandleAck(Instant now, const HostId& from, const GossipMessage& message);
  void HandleProbeRequest(Instant now, const HostId& from,
                          const GossipMessage& message);
  void Suspect(Instant now, const HostId& host);
  std::int64_t Stretch() const { return 1 + this->awareness; }
  // spread.cc
  void Heard(Instant now, const HostId& from);
  void Merge(Instant now, const Member& heard, bool passed_on);
  void MergeSelf(const Member& heard);
  void Store(Instant now, Record* record, const Member& member, bool passed_on);
  void Erase(const HostId& host);
  void TakeBroadcast(Instant now, const Broadcast& item);
  void AddItems(const HostId& to, GossipMessage* message);
  void GossipNow(Instant now);
  bool HasItems() const;
  std::uint32_t SendsOf() const;
  void SendTo(const HostId& to, GossipMessage message);
  // sync.cc
  void SyncWith(const HostId& to);
  void MaybeSync(Instant now, const HostId& from, std::uint64_t digest);
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
  std::uint32_t self_sends_left = 0;
  HostId contested;  ///< is told its own record with the next message
  bool current = false;
  std::uint64_t current_from = 0;  ///< least sync that makes it current
  bool started = false;
  bool dirty = true;                 ///< live or neighbours may have changed
  std::map<HostId, Record> records;  ///< of the other hosts
  std::set<HostId> fresh;            ///< records with sends left
  std::set<HostId> suspects;
  std::set<HostId> candidates;  ///< dead or only listed: probed slowly
  std::map<ItemKey, Item> items;
  std::set<ItemKey> fresh_items;
  std::map<std::uint64_t, Probe> probes;
  std::uint64_t next_sequence = 1;
  std::uint32_t awareness = 0;      ///< signs that this host is slow or cut off
  std::uint32_t silent_probes = 0;  ///< failed while nothing at all was heard
  std::size_t probe_cursor = 0;
  std::size_t gossip_cursor = 0;
  std::vector<std::uint64_t> bucket_digests;
  std::vector<HostId> live;
  std::vector<HostId> neighbours;
  std::vector<HostId> targets;   ///< neighbours that this host probes
  std::vector<HostId> shuffled;  ///< neighbours in a random order
  MakeProbePayload make_payload;
  std::uint64_t list_op = 0;
  Instant last_step{};
  Instant last_heard{};
  Instant last_match{};
  Instant alone_at = kNever;  ///< with no answer until then, it is alone
  Instant next_probe{};
  Instant next_candidate{};
  Instant next_gossip{};
  Instant next_sync{};
  Instant next_emit{};
  Instant next_list{};
  Instant next_forget{};
  MembershipCounters counters;
  std::vector<MembershipAction> actions;
};

}  // namespace limpetlink
