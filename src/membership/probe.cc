#include <algorithm>
#include <utility>

#include "membership/membership.h"

namespace limpetlink {
namespace {

constexpr std::uint32_t kMaxHealthScore = 4;
constexpr std::uint32_t kMaxIgnoredProbeFailures = 3;
constexpr std::size_t kJoiningProbeCount = 3;
constexpr Duration kJoiningProbeInterval = std::chrono::milliseconds(500);

constexpr std::size_t kMaxPayload = 64;  ///< bytes

}  // namespace

void Membership::ProbeNext(Instant now) {
  if (this->targets.empty()) {
    return;
  }
  const HostId target =
      this->targets[this->probe_cursor % this->targets.size()];
  ++this->probe_cursor;
  this->SendProbe(now, target, HostId{}, 0);
}

void Membership::ProbeCandidates(Instant now) {
  const bool joining = !this->current || this->live.size() <= 1;
  const std::size_t count = joining ? kJoiningProbeCount : 1;
  this->next_candidate = now + (joining ? kJoiningProbeInterval
                                        : this->settings.dead_probe_interval);
  std::vector<HostId> pool;
  for (const HostId& host : this->candidates) {
    if (this->records.at(host).member.state == MemberState::kDead) {
      pool.push_back(host);
    }
  }
  for (std::size_t i = 0; i < count && !pool.empty(); ++i) {
    const std::size_t at = this->random.Below(pool.size());
    this->SendProbe(now, pool[at], HostId{}, 0);
    pool.erase(pool.begin() + static_cast<std::ptrdiff_t>(at));
  }
}

std::string Membership::MakeBoundedPayload(Instant now) const {
  std::string bytes = this->make_payload ? this->make_payload(now) : "";
  return bytes.size() <= kMaxPayload ? bytes : std::string();
}

void Membership::SendProbe(Instant now, const HostId& to,
                           const HostId& relay_to,
                           std::uint64_t relay_sequence) {
  const std::uint64_t sequence = this->next_sequence++;
  const bool indirect = !relay_to.value.empty();
  this->probes[sequence] = {to, now, indirect, relay_to, relay_sequence};
  GossipMessage message;
  message.kind = GossipKind::kProbe;
  message.sequence = sequence;
  message.table_digest = this->TableDigest();
  message.payload = this->MakeBoundedPayload(now);
  message.members.push_back(this->self);
  this->SendTo(to, std::move(message));
}

void Membership::CheckProbeTimeouts(Instant now) {
  std::vector<std::uint64_t> ended;
  for (auto& [sequence, probe] : this->probes) {
    const Duration waited = now - probe.sent;
    if (waited >= this->settings.probe_interval * this->TimeoutMultiplier()) {
      ended.push_back(sequence);
    } else if (!probe.indirect && waited >= this->settings.probe_timeout *
                                                this->TimeoutMultiplier()) {
      probe.indirect = true;
      this->RequestIndirectProbes(probe, sequence);
    }
  }
  for (const std::uint64_t sequence : ended) {
    const Probe probe = this->probes.at(sequence);
    this->probes.erase(sequence);
    this->HandleProbeTimeout(now, probe);
  }
}

void Membership::RequestIndirectProbes(const Probe& probe,
                                       std::uint64_t sequence) {
  const auto target = this->records.find(probe.target);
  const bool live =
      target != this->records.end() && IsLive(target->second.member.state);
  if (!live) {
    return;
  }
  std::uint32_t requested = 0;
  for (std::size_t i = 0; i < this->shuffled.size(); ++i) {
    const std::size_t at = (this->gossip_cursor + i) % this->shuffled.size();
    const HostId relay = this->shuffled[at];
    if (relay == probe.target || requested == this->settings.indirect_probes) {
      continue;
    }
    ++requested;
    GossipMessage message;
    message.kind = GossipKind::kProbeRequest;
    message.sequence = sequence;
    message.target = probe.target;
    this->SendTo(relay, std::move(message));
  }
}

void Membership::HandleProbeTimeout(Instant now, const Probe& probe) {
  const auto found = this->records.find(probe.target);
  const bool evaluated = probe.relay_to.value.empty() &&
                         found != this->records.end() &&
                         found->second.member.state == MemberState::kAlive;
  if (!evaluated) {
    return;
  }
  const bool nothing_received = this->last_received < probe.sent;
  if (nothing_received &&
      this->ignored_probe_failures < kMaxIgnoredProbeFailures) {
    ++this->ignored_probe_failures;  // this host may be the isolated one
    this->health_score = std::min(kMaxHealthScore, this->health_score + 1);
    return;
  }
  this->Suspect(now, probe.target);
}

void Membership::Suspect(Instant now, const HostId& host) {
  Record& record = this->records.at(host);
  ++this->counters.suspicions;
  Member suspect = record.member;
  suspect.state = MemberState::kSuspect;
  this->Store(now, &record, suspect, true);
}

void Membership::HandleProbe(Instant now, const HostId& from,
                             const GossipMessage& message) {
  GossipMessage ack;
  ack.kind = GossipKind::kAck;
  ack.sequence = message.sequence;
  ack.table_digest = this->TableDigest();
  ack.payload = this->MakeBoundedPayload(now);
  this->SendTo(from, std::move(ack));
}

void Membership::HandleAck(Instant now, const HostId& from,
                           const GossipMessage& message) {
  const auto found = this->probes.find(message.sequence);
  const bool relayed = !message.target.value.empty();
  const HostId& responder = relayed ? message.target : from;
  if (found == this->probes.end() || found->second.target != responder) {
    return;
  }
  const Probe probe = found->second;
  this->probes.erase(found);
  this->health_score -= this->health_score > 0 ? 1 : 0;
  if (!this->current && !relayed && now >= this->next_sync) {
    this->next_sync = now + this->settings.probe_timeout;
    this->RequestSync(from);
  }
  if (probe.relay_to.value.empty()) {
    return;
  }
  GossipMessage relay;
  relay.kind = GossipKind::kAck;
  relay.sequence = probe.relay_sequence;
  relay.target = from;
  relay.table_digest = this->TableDigest();
  this->SendTo(probe.relay_to, std::move(relay));
}

void Membership::HandleProbeRequest(Instant now, const HostId& from,
                                    const GossipMessage& message) {
  const auto known = this->records.find(message.target);
  if (known != this->records.end()) {
    this->SendProbe(now, message.target, from, message.sequence);
  }
}

}  // namespace limpetlink
