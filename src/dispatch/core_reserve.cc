#include <algorithm>

#include "dispatch/detail/core.h"

namespace limpetlink {
namespace {

constexpr Duration kReservationRetryInterval = std::chrono::milliseconds(500);
// While queued at the owner.
constexpr Duration kQueuedRefreshInterval = std::chrono::seconds(4);
constexpr std::uint32_t kMaxUnanswered = 2;
constexpr std::uint32_t kMaxUnreserved = 2;  // streams at one worker
constexpr std::size_t kMaxExcluded = 16;

}  // namespace

void DispatchCore::Send(const HostId& to, PeerMessage message) {
  this->actions.emplace_back(
      DispatchSend{to, EncodePeer({this->epoch, std::move(message)})});
}

PeerDemand DispatchCore::ToPeerDemand(const Entry& entry) const {
  PeerDemand demand;
  demand.target = MakeShortName(entry.submit.target);
  demand.route = MakeShortName(entry.submit.route);
  demand.organisation = MakeShortName(entry.submit.organisation.value);
  demand.request_class = entry.submit.request_class;
  demand.prompt_tokens = entry.submit.prompt_tokens;
  demand.max_output_tokens = entry.submit.max_output_tokens;
  return demand;
}

PeerStream DispatchCore::ToPeerStream(const Entry& entry) const {
  PeerStream stream;
  stream.progress = {entry.key.ticket, entry.tokens};
  stream.worker = MakeShortName(entry.worker.value);
  stream.demand = this->ToPeerDemand(entry);
  return stream;
}

void DispatchCore::RequestReservation(Entry& entry) {
  if (entry.reservation || entry.placed) {
    return;
  }
  const auto owner = this->directory.Choose(this->now, entry.submit.target,
                                            entry.ticket, entry.denied_by);
  if (owner) {
    entry.reservation = PendingReservation{};
    entry.reservation->owner = *owner;
    this->SendReserve(entry);
    return;
  }
  if (entry.unresponsive_owners > 0) {
    this->PlaceUnreserved(entry);
  }
}

void DispatchCore::SendReserve(Entry& entry) {
  entry.reservation->sent = this->now;
  PeerReserve message;
  message.ticket = entry.key.ticket;
  message.demand = this->ToPeerDemand(entry);
  for (const UpstreamId& worker : entry.submit.excluded) {
    if (message.excluded.size() < kMaxExcluded) {
      message.excluded.push_back(MakeShortName(worker.value));
    }
  }
  this->Send(entry.reservation->owner, std::move(message));
}

void DispatchCore::CheckReservation(Entry& entry) {
  if (!entry.reservation) {
    this->RequestReservation(entry);
    return;
  }
  PendingReservation& reservation = *entry.reservation;
  const Duration elapsed = this->now - reservation.sent;
  if (reservation.queued ? elapsed < kQueuedRefreshInterval
                         : elapsed < kReservationRetryInterval) {
    return;
  }
  reservation.queued = false;
  if (++reservation.unanswered <= kMaxUnanswered) {
    this->SendReserve(entry);
    return;
  }
  this->directory.MarkUnresponsive(this->now, reservation.owner);
  ++entry.unresponsive_owners;
  this->WithdrawReservation(entry);
  this->RequestReservation(entry);
}

void DispatchCore::WithdrawReservation(Entry& entry) {
  if (entry.reservation) {
    this->Send(entry.reservation->owner,
               PeerRelease{entry.key.ticket, PlacementEnd::kCancelled, 0});
    entry.reservation.reset();
  }
}

void DispatchCore::PlaceUnreserved(Entry& entry) {
  const auto ranked = this->router.Rank(
      this->now, this->workers.RemoteWorkersOf(entry.submit.target),
      entry.submit.prefix_blocks, entry.submit.excluded,
      [this](const UpstreamId& id) {
        const auto it = this->unreserved.find(id);
        return it == this->unreserved.end() ? 0.0 : it->second;
      });
  for (const RankedWorker& candidate : ranked) {
    const HostId& owner = this->workers.OwnerOf(candidate.worker);
    std::uint32_t& count = this->unreserved[candidate.worker];
    if (!this->directory.IsUnresponsive(this->now, owner) ||
        count >= kMaxUnreserved) {
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
    entry.reservation.reset();
    entry.denied_by.push_back(from);
    this->RequestReservation(entry);
    return;
  }
  this->directory.RecordWait(this->now, from, entry.submit.target, Duration{0});
  if (entry.reservation && entry.reservation->owner != from) {
    this->WithdrawReservation(entry);
  }
  entry.reservation.reset();
  this->Dequeue(entry, true);
  entry.charged = this->ChargeFor(entry);
  this->fair[entry.submit.target].Charge(entry.submit.organisation,
                                         entry.charged);
  this->MarkPlaced(entry, worker, from);
}

void DispatchCore::OnPeer(const HostId& from, const PeerQueued& message) {
  const auto it = this->entries.find(message.ticket);
  const bool expected = it != this->entries.end() && it->second.reservation &&
                        it->second.reservation->owner == from;
  if (!expected) {
    this->Send(from, PeerRelease{message.ticket, PlacementEnd::kCancelled, 0});
    return;
  }
  it->second.reservation->queued = true;
  it->second.reservation->unanswered = 0;
  this->directory.RecordWait(this->now, from, it->second.submit.target,
                             message.expected_wait);
}

void DispatchCore::OnPeer(const HostId& from, const PeerDeny& message) {
  const auto it = this->entries.find(message.ticket);
  const bool expected = it != this->entries.end() && it->second.reservation &&
                        it->second.reservation->owner == from;
  if (!expected) {
    return;
  }
  Entry& entry = it->second;
  entry.reservation.reset();
  entry.denied_by.push_back(from);
  const bool shorter = entry.shortest_denied_wait == Duration{0} ||
                       message.expected_wait < entry.shortest_denied_wait;
  if (shorter) {
    entry.shortest_denied_wait = message.expected_wait;
  }
  this->directory.RecordWait(this->now, from, entry.submit.target,
                             message.expected_wait);
  if (this->HasUntriedOwner(entry)) {
    this->RequestReservation(entry);
    return;
  }
  const bool owns_workers =
      !this->workers.OwnedWorkersOf(entry.submit.target).empty();
  if (owns_workers) {
    this->EvaluateArrival(entry);
    return;
  }
  const Duration max_wait = this->MaxWait(entry);
  this->RefuseEntry(
      entry, ErrorCode::kAdmissionExpectedWaitTooLong,
      "the expected wait exceeds the request's maximum wait at every owner",
      std::max(Duration{0}, entry.shortest_denied_wait - max_wait));
}

void DispatchCore::OnPeer(const HostId& from, const PeerMissing& message) {
  PeerAnnounce announcement;
  for (const Ticket ticket : message.tickets) {
    const auto it = this->entries.find(ticket);
    const bool held = it != this->entries.end() && it->second.placed &&
                      it->second.owner == from;
    if (held) {
      announcement.streams.push_back(this->ToPeerStream(it->second));
    }
  }
  if (!announcement.streams.empty()) {
    this->Send(from, std::move(announcement));
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

void DispatchCore::SendLimitRequests() {
  for (const LimitRequest& request :
       this->limits.CollectLimitRequests(this->now)) {
    PeerLimitRequest message;
    for (const OrganisationShare& demand : request.demands) {
      message.limits.push_back({MakeShortName(demand.organisation.value),
                                demand.share.concurrent,
                                demand.share.per_second});
    }
    this->Send(request.owner, std::move(message));
  }
}

void DispatchCore::OnPeer(const HostId& /*from*/,
                          const PeerLimitShares& message) {
  std::vector<OrganisationShare> shares;
  for (const PeerLimit& limit : message.limits) {
    const auto name = this->names.find(limit.organisation);
    if (name != this->names.end()) {
      shares.push_back(
          {OrganisationId{name->second}, {limit.concurrent, limit.per_second}});
    }
  }
  this->limits.ApplyShares(this->now, shares);
}

}  // namespace limpetlink
