#include <algorithm>
#include <utility>

#include "membership/membership.h"

namespace limpetlink {
namespace {

constexpr std::size_t kMaxMembers = 4096;
constexpr std::size_t kMaxItems = 4096;
constexpr std::size_t kMaxItemBytes = 256;
constexpr std::size_t kMaxKeyBytes = 128;
constexpr std::uint32_t kExtraSends = 4;

}  // namespace

std::uint32_t Membership::SendsOf() const {
  std::uint32_t doublings = 0;
  for (std::size_t reached = 1; reached < this->live.size(); reached *= 2) {
    ++doublings;
  }
  return doublings + kExtraSends;
}

void Membership::Heard(Instant now, const HostId& from) {
  this->last_heard = now;
  this->silent_probes = 0;
  const auto found = this->records.find(from);
  if (found == this->records.end() || !found->second.unverified) {
    return;
  }
  Member alive = found->second.member;
  alive.state = MemberState::kAlive;
  this->Store(now, &found->second, alive, true);
}

void Membership::Merge(Instant now, const Member& heard, bool passed_on) {
  if (heard.id == this->self.id) {
    this->MergeSelf(heard);
    return;
  }
  const auto found = this->records.find(heard.id);
  if (found != this->records.end()) {
    const bool newer =
        found->second.unverified || Overrides(heard, found->second.member);
    const bool useful = !found->second.unverified || IsLive(heard.state);
    if (newer && useful) {
      this->Store(now, &found->second, heard, passed_on);
    }
    return;
  }
  if (!IsLive(heard.state) || this->records.size() >= kMaxMembers) {
    return;
  }
  Record& record = this->records[heard.id];
  record.member.id = heard.id;
  record.member.state = MemberState::kDead;
  record.ring = StableHash(heard.id.value);
  record.unverified = true;
  this->Store(now, &record, heard, passed_on);
}

void Membership::MergeSelf(const Member& heard) {
  const bool about_older_process = heard.boot != this->self.boot;
  const bool differs = heard.state != this->self.state || about_older_process;
  if (!differs || heard.incarnation < this->self.incarnation) {
    return;
  }
  const bool own_end = this->self.state == MemberState::kLeft &&
                       heard.incarnation == this->self.incarnation &&
                       !about_older_process;
  if (own_end && heard.state != MemberState::kLeft) {
    return;  // the leave is on its way
  }
  ++this->counters.refutations;
  this->self.incarnation = heard.incarnation + 1;
  this->self_sends_left = this->SendsOf();
}

void Membership::Store(Instant now, Record* record, const Member& member,
                       bool passed_on) {
  const Member before = record->member;
  const bool was_live = IsLive(before.state);
  const bool is_live = IsLive(member.state);
  const bool restarted = !record->unverified && before.boot != 0 &&
                         before.boot != member.boot && is_live;
  this->ToggleDigest(*record);
  record->member = member;
  record->unverified = false;
  record->changed = now;
  record->suspect_until = kNever;
  this->ToggleDigest(*record);
  if (passed_on) {
    record->sends_left = this->SendsOf();
    this->fresh.insert(member.id);
  }
  this->suspects.erase(member.id);
  this->candidates.erase(member.id);
  if (member.state == MemberState::kSuspect) {
    this->suspects.insert(member.id);
    record->suspect_until =
        now + this->settings.suspicion_timeout * this->Stretch();
  }
  if (member.state == MemberState::kDead) {
    this->candidates.insert(member.id);
  }
  this->dirty = this->dirty || was_live != is_live;
  if (restarted) {
    this->actions.emplace_back(HostRestarted{member.id});
  }
}

void Membership::Erase(const HostId& host) {
  this->ToggleDigest(this->records.at(host));
  this->records.erase(host);
  this->fresh.erase(host);
  this->suspects.erase(host);
  this->candidates.erase(host);
}

void Membership::Disseminate(Instant now, const Broadcast& item) {
  const ItemKey key{item.topic, item.key};
  const bool known = this->items.count(key) != 0;
  const bool fits =
      item.bytes.size() <= kMaxItemBytes && item.key.size() <= kMaxKeyBytes;
  const bool older = known && this->items[key].item.version >= item.version;
  if (!fits || older || (!known && this->items.size() >= kMaxItems)) {
    return;
  }
  this->items[key] = {item, now, this->SendsOf()};
  this->fresh_items.insert(key);
}

void Membership::TakeBroadcast(Instant now, const Broadcast& item) {
  const ItemKey key{item.topic, item.key};
  const auto found = this->items.find(key);
  const bool older =
      found != this->items.end() && found->second.item.version >= item.version;
  if (older) {
    return;
  }
  this->Disseminate(now, item);
  this->actions.emplace_back(BroadcastReceived{item});
}

bool Membership::HasItems() const {
  return !this->shuffled.empty() &&
         (this->self_sends_left > 0 || !this->fresh.empty() ||
          !this->fresh_items.empty());
}

void Membership::AddItems(const HostId& to, GossipMessage* message) {
  const auto known = this->records.find(to);
  if (known != this->records.end() && !known->second.unverified &&
      (known->second.member.state != MemberState::kAlive ||
       this->contested == to)) {
    message->members.push_back(known->second.member);  // it can refute that
    this->contested = HostId{};
  }
  if (this->self_sends_left > 0 && message->kind != GossipKind::kProbe) {
    --this->self_sends_left;
    message->members.push_back(this->self);
  }
  std::uint32_t room = this->settings.max_items_per_message;
  for (auto at = this->fresh.begin(); at != this->fresh.end() && room > 0;) {
    Record& record = this->records.at(*at);
    --room;
    --record.sends_left;
    message->members.push_back(record.member);
    at = record.sends_left == 0 ? this->fresh.erase(at) : std::next(at);
  }
  room = this->settings.max_items_per_message;
  for (auto at = this->fresh_items.begin();
       at != this->fresh_items.end() && room > 0;) {
    Item& item = this->items.at(*at);
    --room;
    --item.sends_left;
    message->broadcasts.push_back(item.item);
    at = item.sends_left == 0 ? this->fresh_items.erase(at) : std::next(at);
  }
}

void Membership::GossipNow(Instant /*now*/) {
  const std::size_t count = std::min<std::size_t>(this->settings.gossip_fanout,
                                                  this->shuffled.size());
  for (std::size_t i = 0; i < count && this->HasItems(); ++i) {
    const std::size_t at = this->gossip_cursor % this->shuffled.size();
    ++this->gossip_cursor;
    this->SendTo(this->shuffled[at], GossipMessage{});
  }
}

void Membership::SendTo(const HostId& to, GossipMessage message) {
  const bool carries = message.kind != GossipKind::kSyncReply &&
                       message.kind != GossipKind::kSyncRequest;
  if (carries) {
    this->AddItems(to, &message);
  }
  MembershipSend send{to, this->AddressOf(to).value_or(""),
                      EncodeGossip(message)};
  ++this->counters.messages_sent;
  this->counters.bytes_sent += send.bytes.size();
  this->actions.emplace_back(std::move(send));
}

}  // namespace limpetlink
