#include "neighbours/neighbours.h"

#include <algorithm>
#include <set>

namespace limpetlink {
namespace {

constexpr Duration kStateInterval = std::chrono::milliseconds(1000);
// Changes within this time are sent in one message.
constexpr Duration kMinStateInterval = std::chrono::milliseconds(15);
// Allows three missing state messages.
constexpr Duration kNeighbourTimeout = std::chrono::milliseconds(3300);
constexpr Duration kRequestInterval = std::chrono::milliseconds(200);
constexpr Duration kConnectedRequestInterval = std::chrono::milliseconds(5000);
constexpr Duration kRequesterTimeout = std::chrono::milliseconds(11000);
// Long enough for further state messages to make up for a lost datagram.
constexpr Duration kLeavingNoticeLifetime = std::chrono::milliseconds(2500);
// Other domains place requests here only when they lack capacity themselves;
// 100 ms is a quarter of the time that an engine takes to read a prompt.
constexpr Duration kDomainLoadsInterval = std::chrono::milliseconds(100);
// Gossip makes a message several times larger; it is sent after a change, and
// at this interval to make up for lost datagrams.
constexpr Duration kGossipInterval = std::chrono::milliseconds(1000);
constexpr Duration kDomainTimeout = std::chrono::milliseconds(1600);
// Hosts that divide a worker's limit count each other for this long after the
// last message: one that others don't hear may still send to the worker.
constexpr Duration kMemberLifetime = std::chrono::seconds(30);
constexpr std::size_t kMaxDomains = 32;
constexpr std::size_t kMaxNeighbours = 64;
constexpr std::size_t kMaxRequesters = 2048;
// Interval at which the hosts of a domain tell each other of failed calls.
constexpr Duration kStoreFailureInterval = std::chrono::milliseconds(1000);
// The hosts with the two lowest ids read the metadata store for the others.
constexpr std::size_t kMaxReaderRank = 1;
constexpr Duration kRelayRequestInterval = std::chrono::milliseconds(1000);

std::int64_t InMilliseconds(Instant at) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             at.time_since_epoch())
      .count();
}

}  // namespace

NeighbourMessage Neighbours::MakeMessage(Instant now,
                                         bool requests_neighbours) {
  this->first_message_at = this->first_message_at.value_or(now);
  NeighbourMessage message;
  message.sent_at_ms = InMilliseconds(now);
  message.host = this->settings.self;
  message.domain = this->settings.domain;
  message.address = this->settings.address;
  message.sequence = ++this->sequence;
  message.requests_neighbours = requests_neighbours;
  return message;
}

void Neighbours::SendTo(const std::string& address,
                        const NeighbourMessage& message) {
  this->actions.emplace_back(
      PeerSend{HostId{}, address, EncodeNeighbourMessage(message)});
}

void Neighbours::SendToNeighbours(const NeighbourMessage& message) {
  const std::string bytes = EncodeNeighbourMessage(message);
  for (const auto& [host, neighbour] : this->neighbours) {
    this->actions.emplace_back(PeerSend{HostId{}, neighbour.address, bytes});
  }
}

void Neighbours::SendNeighbourList(Instant now,
                                   const NeighbourMessage& request) {
  NeighbourMessage response = this->MakeMessage(now, false);
  std::set<FailureDomainId> included = {request.domain};
  if (request.domain != this->settings.domain) {
    included.insert(this->settings.domain);
    response.contacts.push_back(
        {this->settings.domain, {this->settings.self, this->settings.address}});
  }
  for (const auto& [host, requester] : this->requesters) {
    const bool matches =
        requester.domain == request.domain && host != request.host;
    if (matches && response.neighbours.size() < kMaxNeighbours) {
      response.neighbours.push_back({host, requester.address});
    }
    // The map is sorted, so the first host of a domain has the lowest id.
    if (included.size() <= kMaxDomains &&
        included.insert(requester.domain).second) {
      response.contacts.push_back(
          {requester.domain, {host, requester.address}});
    }
  }
  if (this->settings.domain == request.domain) {
    response.neighbours.push_back(
        {this->settings.self, this->settings.address});
  }
  this->SendTo(request.address, response);
}

bool Neighbours::OnFrame(Instant now, const PeerFrame& frame) {
  absl::StatusOr<NeighbourMessage> read = DecodeNeighbourMessage(frame.bytes);
  if (!read.ok()) {
    return false;
  }
  const NeighbourMessage& message = *read;
  if (message.host == this->settings.self || message.address.empty()) {
    return true;
  }
  if (message.requests_neighbours && this->requesters.size() < kMaxRequesters) {
    this->requesters[message.host] = {message.domain, message.address, now};
    this->StoreContact(now, {message.domain, {message.host, message.address}});
    this->SendNeighbourList(now, message);
  }
  for (const NeighbourAddress& neighbour : message.neighbours) {
    const bool is_new = neighbour.host != this->settings.self &&
                        this->neighbours.count(neighbour.host) == 0 &&
                        this->neighbours.size() < kMaxNeighbours;
    if (is_new) {
      this->neighbours[neighbour.host] = {neighbour.address, 0, now,
                                          std::nullopt};
      this->hooks.neighbour_found(neighbour.host);
      this->NoteMember(now, neighbour.host);
      this->next_state = std::min(this->next_state, now);
    }
  }
  for (const DomainContact& contact : message.contacts) {
    this->StoreContact(now, contact);
  }
  if (message.requests_relays) {
    NeighbourMessage response = this->MakeMessage(now, false);
    response.relays = this->hooks.relay_offers(now);
    this->SendTo(message.address, response);
    return true;
  }
  for (const RelayOffer& offer : message.relays) {
    this->hooks.remote_relay_offer(now, offer);
  }
  if (message.domain_loads.has_value()) {
    this->HandleDomainLoads(now, message);
    return true;
  }
  if (message.domain != this->settings.domain || message.requests_neighbours ||
      !message.neighbours.empty()) {
    return true;
  }
  const auto found = this->neighbours.find(message.host);
  if (found == this->neighbours.end() &&
      this->neighbours.size() >= kMaxNeighbours) {
    return true;
  }
  if (found == this->neighbours.end()) {
    this->hooks.neighbour_found(message.host);
  }
  Neighbour& sender = this->neighbours[message.host];
  const bool restarted = sender.address != message.address;
  const bool outdated = !restarted && message.sequence <= sender.sequence &&
                        message.sequence + kMaxNeighbours > sender.sequence;
  const bool new_process = !sender.peer_clock_ms.has_value() || restarted ||
                           message.sequence + kMaxNeighbours <= sender.sequence;
  if (new_process) {
    this->new_neighbours.insert(message.host);
  }
  sender.last_received = now;
  this->NoteMember(now, message.host);
  sender.peer_clock_ms = message.sent_at_ms;
  this->HandleLinearizableReads(now, message);
  if (message.echo_ms.has_value() || !message.changes.empty()) {
    this->hooks.neighbour_removal_delay(now, message.removal_delay);
  }
  for (const KindChanges& changes : message.changes) {
    this->hooks.neighbour_changes(now, changes);
  }
  if (message.missing.has_value()) {
    this->AnswerRequest(now, message);
  }
  if (message.store_failed) {
    this->last_store_failure = now;
    this->hooks.neighbour_store_failure(now);
  }
  const bool carries_state =
      !message.echo_ms.has_value() && message.changes.empty() &&
      !message.missing.has_value() && !message.store_failed;
  if (outdated || !carries_state) {
    return true;
  }
  sender.address = message.address;
  sender.sequence = message.sequence;
  this->hooks.host_loads(now, message.host, message.worker_loads);
  if (message.gossip.relay.has_value()) {
    this->hooks.remote_relay_offer(now, *message.gossip.relay);
  }
  if (this->hooks.remote_gossip(now, message.gossip)) {
    this->next_domain_gossip = now;
    this->next_domain_loads = std::min(this->next_domain_loads, now);
  }
  for (const LeavingWorker& worker : message.leaving) {
    this->HandleLeaving(now, worker);
  }
  return true;
}

void Neighbours::StoreContact(Instant now, const DomainContact& contact) {
  if (contact.domain == this->settings.domain) {
    return;
  }
  this->NoteDomain(now, contact.domain);
  const auto found = this->contacts.find(contact.domain);
  if (found == this->contacts.end()) {
    if (this->contacts.size() < kMaxDomains) {
      this->contacts[contact.domain] = {contact.host, now};
    }
    return;
  }
  // Keeps the lowest id, so that all hosts use the same contact host.
  const bool replaces = !(found->second.host.host < contact.host.host) ||
                        now - found->second.last_received > kRequesterTimeout;
  if (replaces) {
    found->second = {contact.host, now};
  }
}

void Neighbours::HandleDomainLoads(Instant now,
                                   const NeighbourMessage& message) {
  const DomainLoads& loads = *message.domain_loads;
  const bool usable = loads.domain != this->settings.domain &&
                      (this->domain_updates.count(loads.domain) > 0 ||
                       this->domain_updates.size() < kMaxDomains);
  if (!usable) {
    return;
  }
  this->domain_updates[loads.domain] = now;
  this->NoteDomain(now, loads.domain);
  this->hooks.remote_domain_loads(now, loads);
  const bool has_new_gossip = this->hooks.remote_gossip(now, message.gossip);
  if (!message.gossip.Empty() && message.domain != this->settings.domain) {
    this->last_domain_gossip = now;
  }
  for (const LeavingWorker& worker : message.leaving) {
    this->hooks.worker_leaving(now, worker);
  }
  if (message.domain == this->settings.domain) {
    return;
  }
  NeighbourMessage relayed = this->MakeMessage(now, false);
  relayed.domain_loads = loads;
  relayed.leaving = message.leaving;
  if (has_new_gossip) {
    relayed.gossip = message.gossip;
  }
  this->SendToNeighbours(relayed);
}

void Neighbours::SendLinearizableReads(Instant now) {
  this->next_linearizable_reads = kNever;
  const std::vector<AdvertisedRead> reads = this->hooks.local_reads(now);
  for (const auto& [host, neighbour] : this->neighbours) {
    this->SendReadsTo(now, neighbour, reads);
  }
  this->new_neighbours.clear();
}

void Neighbours::SendReadsTo(Instant now, const Neighbour& neighbour,
                             const std::vector<AdvertisedRead>& reads) {
  if (!neighbour.peer_clock_ms.has_value() || reads.empty()) {
    return;
  }
  NeighbourMessage message = this->MakeMessage(now, false);
  message.echo_ms = neighbour.peer_clock_ms;
  message.linearizable_reads = reads;
  message.removal_delay = this->hooks.local_removal_delay(now);
  this->SendTo(neighbour.address, message);
}

void Neighbours::SendReadsToNewNeighbours(Instant now) {
  const std::set<HostId> hosts = std::exchange(this->new_neighbours, {});
  if (hosts.empty() || this->Rank().value_or(0) > kMaxReaderRank) {
    return;
  }
  const std::vector<AdvertisedRead> reads = this->hooks.local_reads(now);
  for (const HostId& host : hosts) {
    if (const auto found = this->neighbours.find(host);
        found != this->neighbours.end()) {
      this->SendReadsTo(now, found->second, reads);
    }
  }
}

void Neighbours::SendChanges(Instant now) {
  this->next_changes = kNever;
  if (this->neighbours.empty()) {
    return;
  }
  NeighbourMessage message = this->MakeMessage(now, false);
  message.changes = this->hooks.local_changes(now);
  if (message.changes.empty()) {
    return;
  }
  message.removal_delay = this->hooks.local_removal_delay(now);
  this->SendToNeighbours(message);
}

void Neighbours::RequestChanges(Instant now, const MissingChanges& missing) {
  if (this->neighbours.empty()) {
    return;
  }
  auto next = this->neighbours.upper_bound(this->last_asked);
  if (next == this->neighbours.end()) {
    next = this->neighbours.begin();
  }
  this->last_asked = next->first;
  NeighbourMessage message = this->MakeMessage(now, false);
  message.missing = missing;
  this->SendTo(next->second.address, message);
}

void Neighbours::RequestRelays(Instant now) {
  if (now < this->next_relay_request) {
    return;
  }
  this->next_relay_request = now + kRelayRequestInterval;
  NeighbourMessage message = this->MakeMessage(now, false);
  message.requests_relays = true;
  for (const auto& [domain, contact] : this->contacts) {
    this->SendTo(contact.host.address, message);
  }
}

void Neighbours::OnStoreFailure(Instant now) {
  const bool known = this->last_store_failure.has_value() &&
                     now - *this->last_store_failure < kStoreFailureInterval;
  if (known || this->neighbours.empty()) {
    return;
  }
  this->last_store_failure = now;
  NeighbourMessage message = this->MakeMessage(now, false);
  message.store_failed = true;
  this->SendToNeighbours(message);
}

void Neighbours::AnswerRequest(Instant now, const NeighbourMessage& request) {
  std::optional<KindChanges> changes =
      this->hooks.changes_since(*request.missing);
  if (!changes.has_value()) {
    return;
  }
  NeighbourMessage message = this->MakeMessage(now, false);
  message.changes.push_back(*std::move(changes));
  message.removal_delay = this->hooks.local_removal_delay(now);
  this->SendTo(request.address, message);
}

void Neighbours::HandleLinearizableReads(Instant now,
                                         const NeighbourMessage& message) {
  if (!message.echo_ms.has_value() || !this->first_message_at.has_value()) {
    return;
  }
  // Rejects a clock value that an earlier process of this host sent.
  const Instant echoed{std::chrono::milliseconds(*message.echo_ms)};
  const bool sent_by_this_process =
      *message.echo_ms >= InMilliseconds(*this->first_message_at) &&
      echoed <= now;
  if (!sent_by_this_process) {
    return;
  }
  for (const AdvertisedRead& read : message.linearizable_reads) {
    this->hooks.neighbour_read(now, echoed - read.age, read);
  }
}

std::optional<std::size_t> Neighbours::Rank() const {
  if (this->neighbours.empty()) {
    return std::nullopt;
  }
  const auto first_above = this->neighbours.lower_bound(this->settings.self);
  return static_cast<std::size_t>(
      std::distance(this->neighbours.begin(), first_above));
}

bool Neighbours::HasLowestId() const {
  return this->neighbours.empty() ||
         this->settings.self < this->neighbours.begin()->first;
}

void Neighbours::SendDomainLoads(Instant now) {
  this->next_domain_loads = now + kDomainLoadsInterval;
  if (this->contacts.empty() || !this->HasLowestId()) {
    return;
  }
  NeighbourMessage message = this->MakeMessage(now, false);
  message.domain_loads =
      DomainLoads{this->settings.domain, this->hooks.own_domain_loads()};
  message.leaving = this->LeavingWorkers(now, true);
  message.gossip = this->TakeDueGossip(now, &this->next_domain_gossip, true);
  message.gossip.relay.reset();  // other domains ask for it
  for (const auto& [domain, contact] : this->contacts) {
    this->SendTo(contact.host.address, message);
  }
}

void Neighbours::NoteMember(Instant now, const HostId& host) {
  if (this->heard_hosts.size() < 2 * kMaxNeighbours &&
      this->heard_hosts.count(host) == 0) {
    this->members_changed = true;
    this->heard_hosts[host] = now;
  } else if (const auto found = this->heard_hosts.find(host);
             found != this->heard_hosts.end()) {
    found->second = now;
  }
}

void Neighbours::NoteDomain(Instant now, const FailureDomainId& domain) {
  if (this->heard_domains.size() < kMaxDomains &&
      this->heard_domains.count(domain) == 0) {
    this->members_changed = true;
    this->heard_domains[domain] = now;
  } else if (const auto found = this->heard_domains.find(domain);
             found != this->heard_domains.end()) {
    found->second = now;
  }
}

void Neighbours::ExpireMembers(Instant now) {
  if (this->neighbours.empty() && this->domain_updates.empty()) {
    return;  // this host may be the one that is cut off
  }
  const auto expire = [&](auto* heard) {
    for (auto it = heard->begin(); it != heard->end();) {
      const bool expired = now - it->second > kMemberLifetime;
      this->members_changed = this->members_changed || expired;
      it = expired ? heard->erase(it) : std::next(it);
    }
  };
  expire(&this->heard_hosts);
  expire(&this->heard_domains);
}

std::optional<FleetMembers> Neighbours::TakeChangedMembers() {
  if (!std::exchange(this->members_changed, false)) {
    return std::nullopt;
  }
  FleetMembers members{{this->settings.self}, {this->settings.domain}};
  for (const auto& [host, heard_at] : this->heard_hosts) {
    members.hosts.push_back(host);
  }
  for (const auto& [domain, heard_at] : this->heard_domains) {
    members.domains.push_back(domain);
  }
  return members;
}

void Neighbours::RemoveUnresponsive(Instant now) {
  this->ExpireMembers(now);
  for (auto it = this->neighbours.begin(); it != this->neighbours.end();) {
    if (now - it->second.last_received <= kNeighbourTimeout) {
      ++it;
      continue;
    }
    this->hooks.neighbour_lost(it->first);
    it = this->neighbours.erase(it);
  }
  for (auto it = this->domain_updates.begin();
       it != this->domain_updates.end();) {
    if (now - it->second <= kDomainTimeout) {
      ++it;
      continue;
    }
    this->hooks.domain_lost(it->first);
    it = this->domain_updates.erase(it);
  }
  for (auto it = this->contacts.begin(); it != this->contacts.end();) {
    it = now - it->second.last_received > kRequesterTimeout
             ? this->contacts.erase(it)
             : std::next(it);
  }
  this->leaving.erase(std::remove_if(this->leaving.begin(), this->leaving.end(),
                                     [now](const LeavingRecord& record) {
                                       return now - record.noticed_at >
                                              kLeavingNoticeLifetime;
                                     }),
                      this->leaving.end());
}

void Neighbours::OnStateChanged(Instant now) {
  this->next_state =
      std::min(this->next_state,
               std::max(now, this->last_state_sent + kMinStateInterval));
}

void Neighbours::OnGossipChanged(Instant now) {
  this->next_gossip = now;
  this->next_domain_gossip = now;
  this->next_domain_loads = std::min(this->next_domain_loads, now);
  this->OnStateChanged(now);
}

Gossip Neighbours::TakeDueGossip(Instant now, Instant* due,
                                 bool include_received) {
  if (now < *due) {
    return {};
  }
  *due = now + kGossipInterval;
  return this->hooks.local_gossip(now, include_received);
}

void Neighbours::OnWorkerLeaving(Instant now, const LeavingWorker& worker) {
  this->leaving.push_back({worker, now - worker.age, false});
  this->next_state = std::min(this->next_state, now);
  this->next_domain_loads = std::min(this->next_domain_loads, now);
}

void Neighbours::HandleLeaving(Instant now, const LeavingWorker& worker) {
  this->hooks.worker_leaving(now, worker);
  const auto same = [&worker](const LeavingRecord& record) {
    return record.worker.worker == worker.worker &&
           record.worker.started_at == worker.started_at;
  };
  if (std::none_of(this->leaving.begin(), this->leaving.end(), same)) {
    this->leaving.push_back({worker, now - worker.age, true});
    this->next_domain_loads = std::min(this->next_domain_loads, now);
  }
}

std::vector<LeavingWorker> Neighbours::LeavingWorkers(
    Instant now, bool include_received) const {
  std::vector<LeavingWorker> workers;
  for (const LeavingRecord& record : this->leaving) {
    if (include_received || !record.received) {
      workers.push_back(record.worker);
      workers.back().age = now - record.noticed_at;
    }
  }
  return workers;
}

void Neighbours::Tick(Instant now) {
  if (this->settings.address.empty()) {
    return;
  }
  if (this->next_request <= now) {
    const bool isolated = this->neighbours.empty();
    this->next_request =
        now + (isolated ? kRequestInterval : kConnectedRequestInterval);
    for (const std::string& seed : this->settings.seeds) {
      if (seed != this->settings.address) {
        this->SendTo(seed, this->MakeMessage(now, true));
      }
    }
    for (auto it = this->requesters.begin(); it != this->requesters.end();) {
      it = now - it->second.last_received > kRequesterTimeout
               ? this->requesters.erase(it)
               : std::next(it);
    }
  }
  if (this->next_domain_loads <= now) {
    this->SendDomainLoads(now);
  }
  // Changes go first: a read counts once its changes have arrived.
  if (this->next_changes <= now) {
    this->SendChanges(now);
  }
  if (this->next_linearizable_reads <= now) {
    this->SendLinearizableReads(now);
  }
  this->SendReadsToNewNeighbours(now);
  if (this->next_state > now) {
    return;
  }
  this->last_state_sent = now;
  this->next_state = now + kStateInterval;
  this->RemoveUnresponsive(now);
  if (this->neighbours.empty()) {
    return;
  }
  NeighbourMessage message = this->MakeMessage(now, false);
  message.worker_loads = this->hooks.local_loads();
  message.leaving = this->LeavingWorkers(now, false);
  // A host that receives the gossip of other domains repeats it, as what it
  // relays at once may be lost.
  const bool is_contact = this->last_domain_gossip.has_value() &&
                          now - *this->last_domain_gossip < kRequesterTimeout;
  message.gossip = this->TakeDueGossip(now, &this->next_gossip,
                                       is_contact || this->HasLowestId());
  this->SendToNeighbours(message);
}

Instant Neighbours::NextWakeup() const {
  if (this->settings.address.empty()) {
    return kNever;
  }
  if (!this->new_neighbours.empty()) {
    return Instant{};  // they wait for the reads
  }
  return std::min({this->next_state, this->next_request,
                   this->next_domain_loads, this->next_linearizable_reads,
                   this->next_changes});
}

}  // namespace limpetlink
