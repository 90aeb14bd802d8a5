#include "membership/membership.h"

#include <algorithm>
#include <utility>

namespace limpetlink {
namespace {

constexpr std::size_t kMaxMembers = 4096;
constexpr std::uint32_t kHealthScoreAfterFreeze = 2;
constexpr std::size_t kSyncsAfterFreeze = 3;
/// Changes within this time are published together.
constexpr Duration kMinViewInterval = std::chrono::milliseconds(100);
constexpr Duration kIsolationTimeout = std::chrono::seconds(6);
constexpr Duration kExpiryInterval = std::chrono::seconds(30);
constexpr Duration kBroadcastLifetime = std::chrono::minutes(10);

}  // namespace

Membership::Membership(MembershipSettings settings,
                       MetadataStoreClient* platform)
    : settings(std::move(settings)),
      platform(platform),
      random(this->settings.seed ^ StableHash(this->settings.self.value)),
      bucket_digests(kBuckets, 0),
      live{this->settings.self} {
  this->self.id = this->settings.self;
  this->self.address = this->settings.address;
  this->self.failure_domain = this->settings.failure_domain;
  this->self.boot = this->settings.boot;
  this->self.incarnation = 1;
}

void Membership::Start(Instant now) {
  this->started = true;
  this->last_run = now;
  this->last_match = now;
  this->isolated_at = now + kIsolationTimeout;
  this->self_transmissions_left = this->TransmissionLimit();
  for (const auto& [host, address] : this->settings.seeds) {
    this->AddListedHost(now, {host.value, address, ListedRole::kEntry, false});
  }
  const double fraction = this->random.Fraction();
  this->next_probe =
      now + FromSeconds(ToSeconds(this->settings.probe_interval) * fraction);
  this->next_candidate = now;
  this->next_gossip = now;
  this->next_list_read = now;
  this->next_expiry = now + kExpiryInterval;
  this->RunTimers(now);
  this->PublishLiveHosts(now);
}

void Membership::OnPeer(Instant now, const HostId& from,
                        std::string_view bytes) {
  this->DetectFreeze(now);
  const auto message = DecodeGossip(bytes);
  if (!message.ok() || from == this->self.id) {
    ++this->counters.rejected_messages;
    return;
  }
  ++this->counters.messages_received;
  const bool disseminate = message->kind != GossipKind::kSyncReply;
  for (const Member& member : message->members) {
    this->Merge(now, member, disseminate);
    this->DetectRestart(from, member);
  }
  this->RecordContact(now, from);
  for (const Broadcast& item : message->broadcasts) {
    this->HandleBroadcast(now, item);
  }
  switch (message->kind) {
    case GossipKind::kProbe:
      this->HandleProbe(now, from, *message);
      this->RequestSyncOnMismatch(now, from, message->table_digest);
      break;
    case GossipKind::kAck:
      this->HandleAck(now, from, *message);
      this->RequestSyncOnMismatch(now, from, message->table_digest);
      break;
    case GossipKind::kProbeRequest:
      this->HandleProbeRequest(now, from, *message);
      break;
    case GossipKind::kGossip:
      break;
    case GossipKind::kSyncRequest:
      this->HandleSyncRequest(from, *message);
      break;
    case GossipKind::kSyncReply:
      this->HandleSyncReply(now, *message);
      break;
  }
  if (!message->payload.empty()) {
    this->actions.emplace_back(ProbePayloadReceived{from, message->payload});
  }
  this->PublishLiveHosts(now);
}

void Membership::DetectRestart(const HostId& from, const Member& received) {
  const auto known = this->records.find(from);
  const bool restarted = received.id == from && known != this->records.end() &&
                         known->second.member.boot != received.boot;
  if (restarted) {
    // The host has a new process, which must override the record of its
    // previous one and so needs to receive that record.
    this->restarted_host = from;
  }
}

bool Membership::OnStoreResult(Instant now, const StoreResult& result) {
  if (this->list_operation == 0 || result.op.value != this->list_operation) {
    return false;
  }
  this->list_operation = 0;
  if (result.status == StoreStatus::kOk) {
    this->OnHostList(now, result.hosts);
    this->actions.emplace_back(HostListRead{result.hosts});
  }
  return true;
}

void Membership::OnHostList(Instant now, const std::vector<ListedHost>& hosts) {
  this->DetectFreeze(now);
  for (auto& [id, record] : this->records) {
    record.listed = false;
  }
  for (const ListedHost& host : hosts) {
    if (host.role == ListedRole::kEntry) {
      this->AddListedHost(now, host);
    }
  }
  this->RemoveExpired(now);
  if (this->records.empty()) {
    this->current = true;  // the list contains no other host
  }
  this->PublishLiveHosts(now);
}

void Membership::AddListedHost(Instant now, const ListedHost& host) {
  const HostId id{host.id};
  if (id == this->self.id || id.value.empty()) {
    return;
  }
  const auto found = this->records.find(id);
  if (found != this->records.end()) {
    found->second.listed = !host.leaving;
    if (found->second.unverified) {
      found->second.member.address = host.address;
    }
    return;
  }
  if (host.leaving || this->records.size() >= kMaxMembers) {
    return;
  }
  Record record;
  record.member.id = id;
  record.member.address = host.address;
  record.member.state = MemberState::kDead;
  record.ring_position = StableHash(id.value);
  record.changed = now;
  record.unverified = true;
  record.listed = true;
  this->records.emplace(id, std::move(record));
  this->candidates.insert(id);
}

void Membership::SetProbePayload(MakeProbePayload make) {
  this->make_payload = std::move(make);
}

void Membership::Leave(Instant now) {
  this->self.state = MemberState::kLeft;
  this->next_publish = now;
  this->self_transmissions_left = this->TransmissionLimit();
  this->view_outdated = true;
  this->next_gossip = now;
  this->RunTimers(now);
  this->PublishLiveHosts(now);
}

void Membership::DetectFreeze(Instant now) {
  const bool frozen =
      this->started && now - this->last_run > this->settings.freeze_threshold;
  this->last_run = std::max(this->last_run, now);
  if (!frozen) {
    return;
  }
  ++this->counters.freezes;
  this->current = false;
  this->first_valid_sync = this->next_sequence;
  this->isolated_at = now + kIsolationTimeout;
  this->probes.clear();
  this->health_score = std::max(this->health_score, kHealthScoreAfterFreeze);
  for (const HostId& host : this->suspects) {
    this->records.at(host).suspect_until =
        now + this->settings.suspicion_timeout;
  }
  const std::size_t count = std::min(kSyncsAfterFreeze, this->shuffled.size());
  for (std::size_t i = 0; i < count; ++i) {
    this->RequestSync(this->shuffled[i]);
  }
}

void Membership::Tick(Instant now) {
  this->DetectFreeze(now);
  this->RunTimers(now);
  this->PublishLiveHosts(now);
}

void Membership::RunTimers(Instant now) {
  this->CheckProbeTimeouts(now);
  this->ExpireSuspicions(now);
  if (this->next_probe <= now) {
    this->next_probe = now + this->settings.probe_interval;
    this->ProbeNext(now);
  }
  if (this->next_candidate <= now) {
    this->ProbeCandidates(now);
  }
  if (this->next_gossip <= now && this->HasPendingUpdates()) {
    this->next_gossip = now + this->settings.gossip_interval;
    this->SendGossip(now);
  }
  if (this->next_list_read <= now) {
    this->ReadHostList(now);
  }
  if (this->next_expiry <= now) {
    this->next_expiry = now + kExpiryInterval;
    this->RemoveExpired(now);
  }
  if (!this->current && this->isolated_at <= now) {
    this->current = true;  // no peer responded, so there is none to sync with
  }
}

void Membership::ReadHostList(Instant now) {
  const std::vector<HostId> readers = RendezvousOwners(
      "host-list", this->live, this->settings.frequent_list_readers);
  const bool reads_frequently =
      std::find(readers.begin(), readers.end(), this->self.id) != readers.end();
  const Duration interval = reads_frequently
                                ? this->settings.frequent_list_interval
                                : this->settings.list_interval;
  const double factor = 0.75 + 0.5 * this->random.Fraction();
  this->next_list_read = now + FromSeconds(ToSeconds(interval) * factor);
  if (this->platform != nullptr && this->list_operation == 0) {
    this->list_operation = this->platform->Hosts(now).value;
  }
}

void Membership::ExpireSuspicions(Instant now) {
  const std::set<HostId> suspected = this->suspects;
  for (const HostId& host : suspected) {
    Record& record = this->records.at(host);
    if (record.suspect_until > now) {
      continue;
    }
    ++this->counters.deaths;
    Member dead = record.member;
    dead.state = MemberState::kDead;
    this->Store(now, &record, dead, true);
  }
}

void Membership::RemoveExpired(Instant now) {
  std::vector<HostId> expired_hosts;
  for (const auto& [id, record] : this->records) {
    const bool removable = !IsLive(record.member.state) && !record.listed;
    const bool expired = record.unverified ||
                         now - record.changed > this->settings.removal_delay;
    if (removable && expired) {
      expired_hosts.push_back(id);
    }
  }
  for (const HostId& id : expired_hosts) {
    this->Erase(id);
  }
  for (auto at = this->items.begin(); at != this->items.end();) {
    const bool expired = now - at->second.at > kBroadcastLifetime;
    if (expired) {
      this->pending_items.erase(at->first);
    }
    at = expired ? this->items.erase(at) : std::next(at);
  }
}

void Membership::RebuildView() {
  std::vector<std::pair<std::uint64_t, HostId>> ring;
  this->live.clear();
  for (const auto& [id, record] : this->records) {
    if (IsLive(record.member.state)) {
      ring.emplace_back(record.ring_position, id);
      this->live.push_back(id);
    }
  }
  const std::pair<std::uint64_t, HostId> self_entry{
      StableHash(this->self.id.value), this->self.id};
  ring.push_back(self_entry);
  std::sort(ring.begin(), ring.end());
  if (this->self.state != MemberState::kLeft) {
    this->live.push_back(this->self.id);
    std::sort(this->live.begin(), this->live.end());
  }
  const std::size_t size = ring.size();
  const auto at = static_cast<std::size_t>(
      std::lower_bound(ring.begin(), ring.end(), self_entry) - ring.begin());
  std::set<HostId> neighbour_set;
  this->targets.clear();
  for (std::size_t distance = 1; distance < size; distance *= 2) {
    this->targets.push_back(ring[(at + distance) % size].second);
    neighbour_set.insert(this->targets.back());
    neighbour_set.insert(ring[(at + size - distance) % size].second);
  }
  this->neighbours.assign(neighbour_set.begin(), neighbour_set.end());
  this->shuffled = this->neighbours;
  std::shuffle(this->shuffled.begin(), this->shuffled.end(), this->random);
}

void Membership::PublishLiveHosts(Instant now) {
  if (!this->view_outdated || now < this->next_publish) {
    return;
  }
  this->view_outdated = false;
  this->next_publish = now + kMinViewInterval;
  const std::vector<HostId> previous = this->live;
  this->RebuildView();
  if (this->live != previous) {
    LiveHostsChanged change{this->live, {}, this->neighbours};
    for (const HostId& host : this->live) {
      const std::optional<Member> member = this->Find(host);
      change.failure_domains.push_back(member ? member->failure_domain
                                              : FailureDomainId{});
    }
    this->actions.emplace_back(std::move(change));
  }
}

Instant Membership::NextWakeup() const {
  Instant next =
      std::min({this->next_probe, this->next_list_read, this->next_expiry});
  if (!this->candidates.empty()) {
    next = std::min(next, this->next_candidate);
  }
  if (this->HasPendingUpdates()) {
    next = std::min(next, this->next_gossip);
  }
  if (this->view_outdated) {
    next = std::min(next, this->next_publish);
  }
  for (const auto& [sequence, probe] : this->probes) {
    const Duration limit = probe.indirect ? this->settings.probe_interval
                                          : this->settings.probe_timeout;
    next = std::min(next, probe.sent + limit * this->TimeoutMultiplier());
  }
  for (const HostId& host : this->suspects) {
    next = std::min(next, this->records.at(host).suspect_until);
  }
  return this->current ? next : std::min(next, this->isolated_at);
}

std::vector<MembershipAction> Membership::TakeActions() {
  return std::exchange(this->actions, {});
}

std::optional<std::string> Membership::AddressOf(const HostId& host) const {
  const auto found = this->records.find(host);
  if (found == this->records.end()) {
    return std::nullopt;
  }
  return found->second.member.address;
}

std::optional<Member> Membership::Find(const HostId& host) const {
  if (host == this->self.id) {
    return this->self;
  }
  const auto found = this->records.find(host);
  if (found == this->records.end() || found->second.unverified) {
    return std::nullopt;
  }
  return found->second.member;
}

}  // namespace limpetlink
