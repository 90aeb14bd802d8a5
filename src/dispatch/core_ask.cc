#include <algorithm>

#include "dispatch/detail/core.h"

namespace limpetlink {
namespace {

constexpr Duration kAnswerTime = std::chrono::milliseconds(500);
constexpr Duration kAskAgain = std::chrono::seconds(4);  // while queued there
constexpr std::uint32_t kMostUnanswered = 2;
constexpr std::uint32_t kMostUnreserved = 2;  // streams at one worker
constexpr std::size_t kMaxExcluded = 16;

}  // namespace

void DispatchCore::Send(const HostId& to, PeerMessage message) {
  this->actions.emplace_back(
      DispatchSend{to, EncodePeer({this->epoch, std::move(message)})});
}

PeerDemand DispatchCore::DemandOf(const Entry& entry) const {
  PeerDemand demand;
  demand.target = MakeShortName(entry.submit.target);
  demand.route = MakeShortName(entry.submit.route);
  demand.organisation = MakeShortName(entry.submit.organisation.value);
  demand.request_class = entry.submit.request_class;
  demand.prompt_tokens = entry.submit.prompt_tokens;
  demand.max_output_tokens = entry.submit.max_output_tokens;
  return demand;
}

PeerStream DispatchCore::StreamOf(const Entry& entry) const {
  PeerStream stream;
  stream.progress = {entry.key.ticket, entry.tokens};
  stream.worker = MakeShortName(entry.worker.value);
  stream.demand = this->DemandOf(entry);
  return stream;
}

void DispatchCore::AskFor(Entry& entry) {
  if (entry.ask || entry.placed) {
    return;
  }
  const auto owner = this->directory.Choose(this->now, entry.submit.target,
                                            entry.ticket, entry.denied_by);
  if (owner) {
    entry.ask = OutstandingAsk{};
    entry.ask->owner = *owner;
    this->SendAsk(entry);
    return;
  }
  if (entry.silent_owners > 0) {
    this->PlaceUnreserved(entry);
  }
}

void DispatchCore::SendAsk(Entry& entry) {
  entry.ask->sent = this->now;
  PeerAsk message;
  message.ticket = entry.key.ticket;
  message.demand = this->DemandOf(entry);
  for (const UpstreamId& worker : entry.submit.excluded) {
    if (message.excluded.size() < kMaxExcluded) {
      message.excluded.push_back(MakeShortName(worker.value));
    }
  }
  this->Send(entry.ask->owner, std::move(message));
}

void DispatchCore::ReviewAsk(Entry& entry) {
  if (!entry.ask) {
    this->AskFor(entry);
    return;
  }
  OutstandingAsk& ask = *entry.ask;
  const Duration since = this->now - ask.sent;
  if (ask.queued ? since < kAskAgain : since < kAnswerTime) {
    return;
  }
  ask.queued = false;
  if (++ask.unanswered <= kMostUnanswered) {
    this->SendAsk(entry);
    return;
  }
  this->directory.Silent(this->now, ask.owner);
  ++entry.silent_owners;
  this->WithdrawAsk(entry);
  this->AskFor(entry);
}

void DispatchCore::WithdrawAsk(Entry& entry) {
  if (entry.ask) {
    this->Send(entry.ask->owner,
               PeerRelease{entry.key.ticket, PlacementEnd::kCancelled, 0});
    entry.ask.reset();
  }
}

void DispatchCore::PlaceUnreserved(Entry& entry) {
  const auto ranked = this->router.Rank(
      this->now, this->workers.OthersOf(entry.submit.target),
      entry.submit.prefix_blocks, entry.submit.excluded,
      [this](const UpstreamId& id) {
        const auto it = this->unreserved.find(id);
        return it == this->unreserved.end() ? 0.0 : it->second;
      });
  for (const RankedWorker& candidate : ranked) {
    const HostId& owner = this->workers.OwnerOf(candidate.worker);
    std::uint32_t& count = this->unreserved[candidate.worker];
    if (!this->directory.IsSilent(this->now, owner) ||
        count >= kMostUnreserved) {
      continue;
    }
    ++count;
    entry.unreserved = true;
    this->Dequeue(entry, true);
    this->MarkPlaced(entry, candidate.worker, owner);
    return;
  }
}

void DispatchCore::OnPeer(const HostId& from, const PeerGrant& message) {
  const auto it = this->entries.find(message.ticket);
  const auto name = this->names.find(message.worker);
  const bool known = it != this->entries.end() && name != this->names.end() &&
                     it->second.key.holder == this->settings.self;
  if (!known) {
    this->Send(from, PeerRelease{message.ticket, PlacementEnd::kCancelled, 0});
    return;
  }
  Entry& entry = it->second;
  const UpstreamId worker{name->second};
  if (entry.placed) {
    const bool repeat = entry.owner == from && entry.worker == worker;
    if (!repeat) {
      this->Send(from,
                 PeerRelease{message.ticket, PlacementEnd::kCancelled, 0});
    }
    return;
  }
  const bool closed = this->workers.Find(worker) == nullptr ||
                      this->router.Health(worker).IsLeaving(this->now);
  if (closed) {
    this->Send(from, PeerRelease{message.ticket, PlacementEnd::kRefused, 0});
    entry.ask.reset();
    entry.denied_by.push_back(from);
    this->AskFor(entry);
    return;
  }
  this->directory.Heard(this->now, from, entry.submit.target, Duration{0});
  if (entry.ask && entry.ask->owner != from) {
    this->WithdrawAsk(entry);
  }
  entry.ask.reset();
  this->Dequeue(entry, true);
  entry.charged = this->ChargeFor(entry);
  this->fair[entry.submit.target].Charge(entry.submit.organisation,
                                         entry.charged);
  this->MarkPlaced(entry, worker, from);
}

void DispatchCore::OnPeer(const HostId& from, const PeerQueued& message) {
  const auto it = this->entries.find(message.ticket);
  const bool expected = it != this->entries.end() && it->second.ask &&
                        it->second.ask->owner == from;
  if (!expected) {
    this->Send(from, PeerRelease{message.ticket, PlacementEnd::kCancelled, 0});
    return;
  }
  it->second.ask->queued = true;
  it->second.ask->unanswered = 0;
  this->directory.Heard(this->now, from, it->second.submit.target,
                        message.expected_wait);
}

void DispatchCore::OnPeer(const HostId& from, const PeerDeny& message) {
  const auto it = this->entries.find(message.ticket);
  const bool expected = it != this->entries.end() && it->second.ask &&
                        it->second.ask->owner == from;
  if (!expected) {
    return;
  }
  Entry& entry = it->second;
  entry.ask.reset();
  entry.denied_by.push_back(from);
  const bool shorter = entry.shortest_denied == Duration{0} ||
                       message.expected_wait < entry.shortest_denied;
  if (shorter) {
    entry.shortest_denied = message.expected_wait;
  }
  this->directory.Heard(this->now, from, entry.submit.target,
                        message.expected_wait);
  if (this->MayStillHelp(entry)) {
    this->AskFor(entry);
    return;
  }
  const bool own = !this->workers.MineOf(entry.submit.target).empty();
  if (own) {
    this->JudgeArrival(entry);
    return;
  }
  const Duration longest = this->LongestWait(entry);
  this->RefuseEntry(entry, ErrorCode::kAdmissionExpectedWaitTooLong,
                    "every host asked would take longer",
                    std::max(Duration{0}, entry.shortest_denied - longest));
}

void DispatchCore::OnPeer(const HostId& from, const PeerMissing& message) {
  PeerAnnounce answer;
  for (const Ticket ticket : message.tickets) {
    const auto it = this->entries.find(ticket);
    const bool held = it != this->entries.end() && it->second.placed &&
                      it->second.owner == from;
    if (held) {
      answer.streams.push_back(this->StreamOf(it->second));
    }
  }
  if (!answer.streams.empty()) {
    this->Send(from, std::move(answer));
  }
}

void DispatchCore::SendSnapshots() {
  std::map<HostId, PeerSnapshot> by_owner;
  for (const auto& [ticket, entry] : this->entries) {
    if (entry.placed && entry.owner != this->settings.self) {
      by_owner[entry.owner].streams.push_back({ticket, entry.tokens});
    }
  }
  for (auto& [owner, snapshot] : by_owner) {
    this->Send(owner, std::move(snapshot));
  }
}

void DispatchCore::SendWants() {
  for (const WantsFor& wants : this->limits.TakeWants(this->now)) {
    PeerWants message;
    for (const OrganisationShare& want : wants.wants) {
      message.limits.push_back({MakeShortName(want.organisation.value),
                                want.share.concurrent, want.share.per_second});
    }
    this->Send(wants.owner, std::move(message));
  }
}

void DispatchCore::OnPeer(const HostId& /*from*/, const PeerShares& message) {
  std::vector<OrganisationShare> shares;
  for (const PeerLimit& limit : message.limits) {
    const auto name = this->names.find(limit.organisation);
    if (name != this->names.end()) {
      shares.push_back(
          {OrganisationId{name->second}, {limit.concurrent, limit.per_second}});
    }
  }
  this->limits.Granted(this->now, shares);
}

}  // namespace limpetlink
