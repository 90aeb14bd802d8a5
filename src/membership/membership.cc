#include "membership/membership.h"

#include <algorithm>
#include <utility>

namespace limpetlink {
namespace {

constexpr std::size_t kMaxMembers = 4096;
constexpr std::uint32_t kAwarenessAfterFreeze = 2;
constexpr std::size_t kSyncsAfterFreeze = 3;
/// Changes that come in a row are told together.
constexpr Duration kLeastBetweenViews = std::chrono::milliseconds(100);
constexpr Duration kAloneAfter = std::chrono::seconds(6);
constexpr Duration kForgetEvery = std::chrono::seconds(30);
constexpr Duration kBroadcastKept = std::chrono::minutes(10);

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
  this->last_step = now;
  this->last_match = now;
  this->alone_at = now + kAloneAfter;
  this->self_sends_left = this->SendsOf();
  for (const auto& [host, address] : this->settings.seeds) {
    this->AddListed(now, {host.value, address, ListedRole::kEntry, false});
  }
  const double spread = this->random.Fraction();
  this->next_probe =
      now + FromSeconds(ToSeconds(this->settings.probe_interval) * spread);
  this->next_candidate = now;
  this->next_gossip = now;
  this->next_list = now;
  this->next_forget = now + kForgetEvery;
  this->RunTimers(now);
  this->Emit(now);
}

void Membership::OnPeer(Instant now, const HostId& from,
                        std::string_view bytes) {
  this->NoticeGap(now);
  const auto message = DecodeGossip(bytes);
  if (!message.ok() || from == this->self.id) {
    ++this->counters.rejected_messages;
    return;
  }
  ++this->counters.messages_received;
  const bool passed_on = message->kind != GossipKind::kSyncReply;
  for (const Member& member : message->members) {
    this->Merge(now, member, passed_on);
    this->NoteContested(from, member);
  }
  this->Heard(now, from);
  for (const Broadcast& item : message->broadcasts) {
    this->TakeBroadcast(now, item);
  }
  switch (message->kind) {
    case GossipKind::kProbe:
      this->HandleProbe(now, from, *message);
      this->MaybeSync(now, from, message->table_digest);
      break;
    case GossipKind::kAck:
      this->HandleAck(now, from, *message);
      this->MaybeSync(now, from, message->table_digest);
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
  this->Emit(now);
}

void Membership::NoteContested(const HostId& from, const Member& heard) {
  const auto known = this->records.find(from);
  const bool contested = heard.id == from && known != this->records.end() &&
                         known->second.member.boot != heard.boot;
  if (contested) {
    this->contested = from;  // a new process of the host: tell it the old one's
  }
}

bool Membership::OnPlatform(Instant now, const StoreResult& result) {
  if (this->list_op == 0 || result.op.value != this->list_op) {
    return false;
  }
  this->list_op = 0;
  if (result.status == StoreStatus::kOk) {
    this->OnHostList(now, result.hosts);
    this->actions.emplace_back(HostListRead{result.hosts});
  }
  return true;
}

void Membership::OnHostList(Instant now, const std::vector<ListedHost>& hosts) {
  this->NoticeGap(now);
  for (auto& [id, record] : this->records) {
    record.listed = false;
  }
  for (const ListedHost& host : hosts) {
    if (host.role == ListedRole::kEntry) {
      this->AddListed(now, host);
    }
  }
  this->Forget(now);
  if (this->records.empty()) {
    this->current = true;  // the list names nobody else
  }
  this->Emit(now);
}

void Membership::AddListed(Instant now, const ListedHost& host) {
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
  record.ring = StableHash(id.value);
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
  this->next_emit = now;
  this->self_sends_left = this->SendsOf();
  this->dirty = true;
  this->next_gossip = now;
  this->RunTimers(now);
  this->Emit(now);
}

void Membership::NoticeGap(Instant now) {
  const bool frozen =
      this->started && now - this->last_step > this->settings.freeze_threshold;
  this->last_step = std::max(this->last_step, now);
  if (!frozen) {
    return;
  }
  ++this->counters.freezes;
  this->current = false;
  this->current_from = this->next_sequence;
  this->alone_at = now + kAloneAfter;
  this->probes.clear();
  this->awareness = std::max(this->awareness, kAwarenessAfterFreeze);
  for (const HostId& host : this->suspects) {
    this->records.at(host).suspect_until =
        now + this->settings.suspicion_timeout;
  }
  const std::size_t count = std::min(kSyncsAfterFreeze, this->shuffled.size());
  for (std::size_t i = 0; i < count; ++i) {
    this->SyncWith(this->shuffled[i]);
  }
}

void Membership::Tick(Instant now) {
  this->NoticeGap(now);
  this->RunTimers(now);
  this->Emit(now);
}

void Membership::RunTimers(Instant now) {
  this->CheckProbes(now);
  this->ExpireSuspicions(now);
  if (this->next_probe <= now) {
    this->next_probe = now + this->settings.probe_interval;
    this->ProbeNext(now);
  }
  if (this->next_candidate <= now) {
    this->ProbeCandidates(now);
  }
  if (this->next_gossip <= now && this->HasItems()) {
    this->next_gossip = now + this->settings.gossip_interval;
    this->GossipNow(now);
  }
  if (this->next_list <= now) {
    this->ReadList(now);
  }
  if (this->next_forget <= now) {
    this->next_forget = now + kForgetEvery;
    this->Forget(now);
  }
  if (!this->current && this->alone_at <= now) {
    this->current = true;  // nobody answered: there is no peer to ask
  }
}

void Membership::ReadList(Instant now) {
  const std::vector<HostId> readers = RendezvousOwners(
      "host-list", this->live, this->settings.frequent_list_readers);
  const bool reads =
      std::find(readers.begin(), readers.end(), this->self.id) != readers.end();
  const Duration full = reads ? this->settings.frequent_list_interval
                              : this->settings.list_interval;
  const double factor = 0.75 + 0.5 * this->random.Fraction();
  this->next_list = now + FromSeconds(ToSeconds(full) * factor);
  if (this->platform != nullptr && this->list_op == 0) {
    this->list_op = this->platform->Hosts(now).value;
  }
}

void Membership::ExpireSuspicions(Instant now) {
  const std::set<HostId> waiting = this->suspects;
  for (const HostId& host : waiting) {
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

void Membership::Forget(Instant now) {
  std::vector<HostId> old;
  for (const auto& [id, record] : this->records) {
    const bool gone = !IsLive(record.member.state) && !record.listed;
    const bool passed = record.unverified ||
                        now - record.changed > this->settings.removal_delay;
    if (gone && passed) {
      old.push_back(id);
    }
  }
  for (const HostId& id : old) {
    this->Erase(id);
  }
  for (auto at = this->items.begin(); at != this->items.end();) {
    const bool expired = now - at->second.at > kBroadcastKept;
    if (expired) {
      this->fresh_items.erase(at->first);
    }
    at = expired ? this->items.erase(at) : std::next(at);
  }
}

void Membership::Rebuild() {
  std::vector<std::pair<std::uint64_t, HostId>> ring;
  this->live.clear();
  for (const auto& [id, record] : this->records) {
    if (IsLive(record.member.state)) {
      ring.emplace_back(record.ring, id);
      this->live.push_back(id);
    }
  }
  const std::pair<std::uint64_t, HostId> own{StableHash(this->self.id.value),
                                             this->self.id};
  ring.push_back(own);
  std::sort(ring.begin(), ring.end());
  if (this->self.state != MemberState::kLeft) {
    this->live.push_back(this->self.id);
    std::sort(this->live.begin(), this->live.end());
  }
  const std::size_t size = ring.size();
  const auto at = static_cast<std::size_t>(
      std::lower_bound(ring.begin(), ring.end(), own) - ring.begin());
  std::set<HostId> around;
  this->targets.clear();
  for (std::size_t distance = 1; distance < size; distance *= 2) {
    this->targets.push_back(ring[(at + distance) % size].second);
    around.insert(this->targets.back());
    around.insert(ring[(at + size - distance) % size].second);
  }
  this->neighbours.assign(around.begin(), around.end());
  this->shuffled = this->neighbours;
  std::shuffle(this->shuffled.begin(), this->shuffled.end(), this->random);
}

void Membership::Emit(Instant now) {
  if (!this->dirty || now < this->next_emit) {
    return;
  }
  this->dirty = false;
  this->next_emit = now + kLeastBetweenViews;
  const std::vector<HostId> before = this->live;
  this->Rebuild();
  if (this->live != before) {
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
      std::min({this->next_probe, this->next_list, this->next_forget});
  if (!this->candidates.empty()) {
    next = std::min(next, this->next_candidate);
  }
  if (this->HasItems()) {
    next = std::min(next, this->next_gossip);
  }
  if (this->dirty) {
    next = std::min(next, this->next_emit);
  }
  for (const auto& [sequence, probe] : this->probes) {
    const Duration limit = probe.indirect ? this->settings.probe_interval
                                          : this->settings.probe_timeout;
    next = std::min(next, probe.sent + limit * this->Stretch());
  }
  for (const HostId& host : this->suspects) {
    next = std::min(next, this->records.at(host).suspect_until);
  }
  return this->current ? next : std::min(next, this->alone_at);
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
