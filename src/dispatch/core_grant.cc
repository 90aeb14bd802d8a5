#include <algorithm>

#include "dispatch/detail/core.h"

namespace limpetlink {
namespace {

// Tolerates two lost snapshots before a placement is removed.
constexpr Duration kGrantLifetime = std::chrono::seconds(13);

}  // namespace

void DispatchCore::On(const DispatchReceive& message) {
  const auto envelope = DecodePeer(message.bytes);
  if (!envelope || !this->document) {
    return;
  }
  const auto known = this->epochs.find(message.from);
  if (known != this->epochs.end() && known->second != envelope->epoch) {
    this->RemoveHolder(message.from);
  }
  this->epochs[message.from] = envelope->epoch;
  std::visit([&](const auto& each) { this->OnPeer(message.from, each); },
             envelope->message);
}

void DispatchCore::IndexNames() {
  this->names.clear();
  const auto add = [this](const std::string& name) {
    this->names.emplace(MakeShortName(name), name);
  };
  add("");
  for (const Organisation& organisation : this->document->organisations) {
    add(organisation.id.value);
  }
  for (const Upstream& upstream : this->document->upstreams) {
    add(upstream.id.value);
    add(upstream.serves);
  }
  for (const Route& route : this->document->routes) {
    add(route.name);
  }
  for (const Service& service : this->document->services) {
    for (const ServiceRule& rule : service.rules) {
      add(rule.path_prefix);
    }
  }
}

std::optional<SubmitRequest> DispatchCore::ToSubmitRequest(
    const PeerDemand& demand) const {
  const auto target = this->names.find(demand.target);
  const auto organisation = this->names.find(demand.organisation);
  if (target == this->names.end() || organisation == this->names.end()) {
    return std::nullopt;
  }
  const auto route = this->names.find(demand.route);
  SubmitRequest submit;
  submit.target = target->second;
  submit.organisation = OrganisationId{organisation->second};
  submit.route = route == this->names.end() ? "" : route->second;
  submit.request_class = demand.request_class;
  submit.prompt_tokens = demand.prompt_tokens;
  submit.max_output_tokens = demand.max_output_tokens;
  return submit;
}

std::optional<SubmitRequest> DispatchCore::ToSubmitRequest(
    const PeerReserve& message) const {
  auto submit = this->ToSubmitRequest(message.demand);
  if (!submit) {
    return std::nullopt;
  }
  for (const ShortName excluded : message.excluded) {
    const auto worker = this->names.find(excluded);
    if (worker != this->names.end()) {
      submit->excluded.push_back(UpstreamId{worker->second});
    }
  }
  return submit;
}

void DispatchCore::OnPeer(const HostId& from, const PeerReserve& message) {
  const StreamKey key{from, message.ticket};
  const auto placement = this->granted.find(key);
  if (placement != this->granted.end()) {
    const std::string& worker = placement->second.worker.value;
    this->Send(from, PeerGrant{message.ticket, MakeShortName(worker)});
    return;
  }
  const auto waiting = this->remote_waiting.find(key);
  if (waiting != this->remote_waiting.end()) {
    Entry& entry = this->entries.at(waiting->second);
    entry.refreshed = this->now;
    this->RespondToReservation(entry);
    return;
  }
  const auto submit = this->ToSubmitRequest(message);
  const bool has_open_worker =
      submit && this->router.AnyAvailable(
                    this->now, this->workers.OwnedWorkersOf(submit->target),
                    submit->excluded);
  if (!has_open_worker) {
    this->Send(from, PeerDeny{message.ticket, Duration{0}});
    return;
  }
  Entry& entry = this->NewEntry(*submit, key);
  const Ticket ticket = entry.ticket;
  this->remote_waiting[key] = ticket;
  this->Enqueue(entry);
  this->Drain(submit->target);
  const auto it = this->entries.find(ticket);
  if (it != this->entries.end()) {
    this->RespondToReservation(it->second);
  }
}

void DispatchCore::RespondToReservation(Entry& entry) {
  const auto expected = this->ExpectedWait(entry, this->RequestsAhead(entry));
  const bool too_long = expected && *expected > this->policy.max_wait;
  if (too_long) {
    this->Send(entry.key.holder, PeerDeny{entry.key.ticket, *expected});
    this->Dequeue(entry, false);
    this->RemoveEntry(entry.ticket);
    return;
  }
  this->Send(entry.key.holder,
             PeerQueued{entry.key.ticket, expected.value_or(Duration{0})});
}

void DispatchCore::GrantEntry(Entry& entry, const UpstreamId& worker) {
  RemotePlacement placement;
  placement.worker = worker;
  placement.target = entry.submit.target;
  placement.length_key = entry.length_key;
  placement.confirmed = this->now;
  placement.charged = entry.charged;
  const StreamKey key = entry.key;
  this->granted[key] = std::move(placement);
  this->RemoveEntry(entry.ticket);
  this->Send(key.holder, PeerGrant{key.ticket, MakeShortName(worker.value)});
}

void DispatchCore::OnPeer(const HostId& from, const PeerRelease& message) {
  const StreamKey key{from, message.ticket};
  const auto waiting = this->remote_waiting.find(key);
  if (waiting != this->remote_waiting.end()) {
    const Ticket ticket = waiting->second;
    this->Dequeue(this->entries.at(ticket), false);
    this->RemoveEntry(ticket);
    return;
  }
  const auto it = this->granted.find(key);
  if (it == this->granted.end()) {
    return;
  }
  const RemotePlacement placement = it->second;
  this->granted.erase(it);
  this->workers.Remove(placement.worker, key);
  this->RecordEnd(placement.worker, message.end);
  this->ObserveLength(placement.length_key, message.end, message.tokens);
  this->Drain(placement.target);
}

void DispatchCore::OnPeer(const HostId& from, const PeerSnapshot& message) {
  PeerMissing missing;
  for (const PeerProgress& stream : message.streams) {
    const StreamKey key{from, stream.ticket};
    const auto it = this->granted.find(key);
    if (it == this->granted.end()) {
      missing.tickets.push_back(stream.ticket);
      continue;
    }
    it->second.confirmed = this->now;
    this->workers.RecordProduced(this->now, it->second.worker, key,
                                 stream.tokens);
  }
  if (!missing.tickets.empty()) {
    this->Send(from, std::move(missing));
  }
}

void DispatchCore::OnPeer(const HostId& from, const PeerAnnounce& message) {
  for (const PeerStream& stream : message.streams) {
    const StreamKey key{from, stream.progress.ticket};
    const auto name = this->names.find(stream.worker);
    const auto submit = this->ToSubmitRequest(stream.demand);
    const bool usable = name != this->names.end() && submit &&
                        this->granted.count(key) == 0 &&
                        this->workers.IsOwned(UpstreamId{name->second});
    if (!usable) {
      continue;
    }
    Entry& entry = this->NewEntry(*submit, key);
    RemotePlacement placement;
    placement.worker = UpstreamId{name->second};
    placement.target = submit->target;
    placement.length_key = entry.length_key;
    placement.confirmed = this->now;
    this->workers.Add(this->now, placement.worker, key, entry.demand,
                      stream.progress.tokens);
    this->granted[key] = std::move(placement);
    this->entries.erase(entry.ticket);
  }
  this->workers.RecordAnnouncement(from);
}

void DispatchCore::OnPeer(const HostId& from, const PeerLimitRequest& message) {
  std::vector<OrganisationShare> demands;
  for (const PeerLimit& limit : message.limits) {
    const auto name = this->names.find(limit.organisation);
    if (name != this->names.end()) {
      demands.push_back(
          {OrganisationId{name->second}, {limit.concurrent, limit.per_second}});
    }
  }
  PeerLimitShares response;
  for (const OrganisationShare& each :
       this->limits.Allocate(this->now, from, demands)) {
    response.limits.push_back({MakeShortName(each.organisation.value),
                               each.share.concurrent, each.share.per_second});
  }
  this->Send(from, std::move(response));
}

void DispatchCore::RemoveHolder(const HostId& holder) {
  this->workers.RemoveHolder(holder);
  for (auto it = this->granted.begin(); it != this->granted.end();) {
    it = it->first.holder == holder ? this->granted.erase(it) : std::next(it);
  }
  std::vector<Ticket> removed;
  for (const auto& [key, ticket] : this->remote_waiting) {
    if (key.holder == holder) {
      removed.push_back(ticket);
    }
  }
  for (const Ticket ticket : removed) {
    this->Dequeue(this->entries.at(ticket), false);
    this->RemoveEntry(ticket);
  }
  for (auto& [ticket, entry] : this->entries) {
    if (entry.reservation && entry.reservation->owner == holder) {
      entry.reservation.reset();
    }
  }
}

void DispatchCore::ExpireGrants() {
  for (auto it = this->granted.begin(); it != this->granted.end();) {
    if (this->now - it->second.confirmed < kGrantLifetime) {
      ++it;
      continue;
    }
    this->workers.Remove(it->second.worker, it->first);
    it = this->granted.erase(it);
  }
}

std::map<UpstreamId, HostId> DispatchCore::Owners() const {
  std::map<UpstreamId, HostId> owners;
  if (this->document) {
    for (const Upstream& upstream : this->document->upstreams) {
      owners[upstream.id] = this->workers.OwnerOf(upstream.id);
    }
  }
  return owners;
}

void DispatchCore::TransferOwnership(
    const std::map<UpstreamId, HostId>& previous_owners) {
  std::map<HostId, PeerAnnounce> announcements;
  std::set<UpstreamId> moved;
  for (const auto& [worker, owner] : this->Owners()) {
    const auto previous = previous_owners.find(worker);
    const bool changed =
        previous != previous_owners.end() && previous->second != owner;
    if (changed) {
      moved.insert(worker);
      announcements[owner];
    }
  }
  if (moved.empty()) {
    return;
  }
  for (auto it = this->granted.begin(); it != this->granted.end();) {
    const bool kept = moved.count(it->second.worker) == 0;
    it = kept ? std::next(it) : this->granted.erase(it);
  }
  for (auto& [ticket, entry] : this->entries) {
    if (!entry.placed || moved.count(entry.worker) == 0) {
      continue;
    }
    entry.owner = this->workers.OwnerOf(entry.worker);
    if (entry.owner == this->settings.self) {
      this->workers.Add(this->now, entry.worker, entry.key, entry.demand,
                        entry.tokens);
    } else {
      announcements[entry.owner].streams.push_back(this->ToPeerStream(entry));
    }
  }
  announcements.erase(this->settings.self);
  for (auto& [owner, announcement] : announcements) {
    this->Send(owner, std::move(announcement));
  }
}

}  // namespace limpetlink
