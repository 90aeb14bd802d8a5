#include <algorithm>
#include <utility>

#include "membership/membership.h"

namespace limpetlink {
namespace {

constexpr std::size_t kMaxMembers = 4096;
constexpr std::size_t kMaxItems = 4096;
constexpr std::size_t kMaxItemBytes = 256;
constexpr std::size_t kMaxKeyBytes = 128;
constexpr std::uint32_t kExtraTransmissions = 4;

}  // namespace

std::uint32_t Membership::TransmissionLimit() const {
  std::uint32_t doublings = 0;
  for (std::size_t reached = 1; reached < this->live.size(); reached *= 2) {
    ++doublings;
  }
  return doublings + kExtraTransmissions;
}

void Membership::RecordContact(Instant now, const HostId& from) {
  this->last_received = now;
  this->ignored_probe_failures = 0;
  const auto found = this->records.find(from);
  if (found == this->records.end() || !found->second.unverified) {
    return;
  }
  Member alive = found->second.member;
  alive.state = MemberState::kAlive;
  this->Store(now, &found->second, alive, true);
}

void Membership::Merge(Instant now, const Member& received, bool disseminate) {
  if (received.id == this->self.id) {
    this->MergeSelf(received);
    return;
  }
  const auto found = this->records.find(received.id);
  if (found != this->records.end()) {
    const bool newer =
        found->second.unverified || Overrides(received, found->second.member);
    const bool applicable = !found->second.unverified || IsLive(received.state);
    if (newer && applicable) {
      this->Store(now, &found->second, received, disseminate);
    }
    return;
  }
  if (!IsLive(received.state) || this->records.size() >= kMaxMembers) {
    return;
  }
  Record& record = this->records[received.id];
  record.member.id = received.id;
  record.member.state = MemberState::kDead;
  record.ring_position = StableHash(received.id.value);
  record.unverified = true;
  this->Store(now, &record, received, disseminate);
}

void Membership::MergeSelf(const Member& received) {
  const bool about_other_process = received.boot != this->self.boot;
  const bool differs =
      received.state != this->self.state || about_other_process;
  if (!differs || received.incarnation < this->self.incarnation) {
    return;
  }
  const bool own_departure = this->self.state == MemberState::kLeft &&
                             received.incarnation == this->self.incarnation &&
                             !about_other_process;
  if (own_departure && received.state != MemberState::kLeft) {
    return;  // the departure is already being disseminated
  }
  ++this->counters.refutations;
  this->self.incarnation = received.incarnation + 1;
  this->self_transmissions_left = this->TransmissionLimit();
}

void Membership::Store(Instant now, Record* record, const Member& member,
                       bool disseminate) {
  const Member previous = record->member;
  const bool was_live = IsLive(previous.state);
  const bool is_live = IsLive(member.state);
  const bool restarted = !record->unverified && previous.boot != 0 &&
                         previous.boot != member.boot && is_live;
  this->ToggleDigest(*record);
  record->member = member;
  record->unverified = false;
  record->changed = now;
  record->suspect_until = kNever;
  this->ToggleDigest(*record);
  if (disseminate) {
    record->transmissions_left = this->TransmissionLimit();
    this->pending_members.insert(member.id);
  }
  this->suspects.erase(member.id);
  this->candidates.erase(member.id);
  if (member.state == MemberState::kSuspect) {
    this->suspects.insert(member.id);
    record->suspect_until =
        now + this->settings.suspicion_timeout * this->TimeoutMultiplier();
  }
  if (member.state == MemberState::kDead) {
    this->candidates.insert(member.id);
  }
  this->view_outdated = this->view_outdated || was_live != is_live;
  if (restarted) {
    this->actions.emplace_back(HostRestarted{member.id});
  }
}

void Membership::Erase(const HostId& host) {
  this->ToggleDigest(this->records.at(host));
  this->records.erase(host);
  this->pending_members.erase(host);
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
  this->items[key] = {item, now, this->TransmissionLimit()};
  this->pending_items.insert(key);
}

void Membership::HandleBroadcast(Instant now, const Broadcast& item) {
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

bool Membership::HasPendingUpdates() const {
  return !this->shuffled.empty() &&
         (this->self_transmissions_left > 0 || !this->pending_members.empty() ||
          !this->pending_items.empty());
}

void Membership::AttachUpdates(const HostId& to, GossipMessage* message) {
  const auto known = this->records.find(to);
  if (known != this->records.end() && !known->second.unverified &&
      (known->second.member.state != MemberState::kAlive ||
       this->restarted_host == to)) {
    message->members.push_back(
        known->second.member);  // allows it to refute its state
    this->restarted_host = HostId{};
  }
  if (this->self_transmissions_left > 0 &&
      message->kind != GossipKind::kProbe) {
    --this->self_transmissions_left;
    message->members.push_back(this->self);
  }
  std::uint32_t remaining = this->settings.max_items_per_message;
  for (auto at = this->pending_members.begin();
       at != this->pending_members.end() && remaining > 0;) {
    Record& record = this->records.at(*at);
    --remaining;
    --record.transmissions_left;
    message->members.push_back(record.member);
    at = record.transmissions_left == 0 ? this->pending_members.erase(at)
                                        : std::next(at);
  }
  remaining = this->settings.max_items_per_message;
  for (auto at = this->pending_items.begin();
       at != this->pending_items.end() && remaining > 0;) {
    Item& item = this->items.at(*at);
    --remaining;
    --item.transmissions_left;
    message->broadcasts.push_back(item.item);
    at = item.transmissions_left == 0 ? this->pending_items.erase(at)
                                      : std::next(at);
  }
}

void Membership::SendGossip(Instant /*now*/) {
  const std::size_t count = std::min<std::size_t>(this->settings.gossip_fanout,
                                                  this->shuffled.size());
  for (std::size_t i = 0; i < count && this->HasPendingUpdates(); ++i) {
    const std::size_t at = this->gossip_cursor % this->shuffled.size();
    ++this->gossip_cursor;
    this->SendTo(this->shuffled[at], GossipMessage{});
  }
}

void Membership::SendTo(const HostId& to, GossipMessage message) {
  const bool carries_updates = message.kind != GossipKind::kSyncReply &&
                               message.kind != GossipKind::kSyncRequest;
  if (carries_updates) {
    this->AttachUpdates(to, &message);
  }
  MembershipSend send{to, this->AddressOf(to).value_or(""),
                      EncodeGossip(message)};
  ++this->counters.messages_sent;
  this->counters.bytes_sent += send.bytes.size();
  this->actions.emplace_back(std::move(send));
}

}  // namespace limpetlink
