#include "neighbours/neighbours.h"

#include <algorithm>
#include <set>

namespace limpetlink {
namespace {

constexpr Duration kStateEvery = std::chrono::milliseconds(1000);
// Changes closer together go out in one message.
constexpr Duration kStateSpacing = std::chrono::milliseconds(15);
// Three messages that did not come.
constexpr Duration kSilence = std::chrono::milliseconds(3300);
constexpr Duration kQuestionEvery = std::chrono::milliseconds(1000);
constexpr Duration kQuestionEveryKnown = std::chrono::milliseconds(5000);
constexpr Duration kAskerLife = std::chrono::milliseconds(11000);
// A lost datagram is made up for by the next states.
constexpr Duration kLeavingTold = std::chrono::milliseconds(2500);
// Other domains place here only what finds no room at home; a tenth of a
// second is a quarter of the time that an engine takes to read a prompt.
constexpr Duration kDomainsEvery = std::chrono::milliseconds(100);
constexpr Duration kDomainSilence = std::chrono::milliseconds(1600);
constexpr std::size_t kMostDomains = 32;
constexpr std::size_t kMostNeighbours = 64;
constexpr std::size_t kMostAskers = 2048;

std::int64_t InMilliseconds(Instant at) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             at.time_since_epoch())
      .count();
}

}  // namespace

NeighbourMessage Neighbours::Make(Instant now, bool asks) {
  this->began = this->began.value_or(now);
  NeighbourMessage message;
  message.sent_at_ms = InMilliseconds(now);
  message.host = this->settings.self;
  message.domain = this->settings.domain;
  message.address = this->settings.address;
  message.sequence = ++this->sequence;
  message.requests_neighbours = asks;
  return message;
}

void Neighbours::SendTo(const std::string& address,
                        const NeighbourMessage& message) {
  this->actions.emplace_back(
      PeerSend{HostId{}, address, EncodeNeighbourMessage(message)});
}

void Neighbours::Answer(Instant now, const NeighbourMessage& question) {
  NeighbourMessage answer = this->Make(now, false);
  std::set<FailureDomainId> named = {question.domain};
  if (question.domain != this->settings.domain) {
    named.insert(this->settings.domain);
    answer.contacts.push_back(
        {this->settings.domain, {this->settings.self, this->settings.address}});
  }
  for (const auto& [host, asker] : this->asked_here) {
    const bool wanted =
        asker.domain == question.domain && host != question.host;
    if (wanted && answer.neighbours.size() < kMostNeighbours) {
      answer.neighbours.push_back({host, asker.address});
    }
    // The first of a domain is the one with the lowest id.
    if (named.size() <= kMostDomains && named.insert(asker.domain).second) {
      answer.contacts.push_back({asker.domain, {host, asker.address}});
    }
  }
  if (this->settings.domain == question.domain) {
    answer.neighbours.push_back({this->settings.self, this->settings.address});
  }
  this->SendTo(question.address, answer);
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
  if (message.requests_neighbours && this->asked_here.size() < kMostAskers) {
    this->asked_here[message.host] = {message.domain, message.address, now};
    this->TakeContact(now, {message.domain, {message.host, message.address}});
    this->Answer(now, message);
  }
  for (const NeighbourAddress& neighbour : message.neighbours) {
    const bool is_new = neighbour.host != this->settings.self &&
                        this->known.count(neighbour.host) == 0 &&
                        this->known.size() < kMostNeighbours;
    if (is_new) {
      this->known[neighbour.host] = {neighbour.address, 0, now, std::nullopt};
      this->hooks.neighbour_found(neighbour.host);
      this->next_state = std::min(this->next_state, now);
    }
  }
  for (const DomainContact& contact : message.contacts) {
    this->TakeContact(now, contact);
  }
  if (message.domain_loads.has_value()) {
    this->TakeDomain(now, message);
    return true;
  }
  if (message.domain != this->settings.domain || message.requests_neighbours ||
      !message.neighbours.empty()) {
    return true;
  }
  const auto found = this->known.find(message.host);
  if (found == this->known.end() && this->known.size() >= kMostNeighbours) {
    return true;
  }
  if (found == this->known.end()) {
    this->hooks.neighbour_found(message.host);
  }
  Known& sender = this->known[message.host];
  const bool restarted = sender.address != message.address;
  const bool old = !restarted && message.sequence <= sender.sequence &&
                   message.sequence + kMostNeighbours > sender.sequence;
  sender.heard = now;
  sender.clock_ms = message.sent_at_ms;
  this->TakeProofs(now, message);
  if (old || message.echo_ms.has_value()) {
    return true;  // overtaken on its way
  }
  sender.address = message.address;
  sender.sequence = message.sequence;
  this->hooks.host_loads(now, message.host, message.worker_loads);
  for (const LeavingWorker& worker : message.leaving) {
    this->HearLeaving(now, worker);
  }
  return true;
}

void Neighbours::TakeContact(Instant now, const DomainContact& contact) {
  if (contact.domain == this->settings.domain) {
    return;
  }
  const auto found = this->contacts.find(contact.domain);
  if (found == this->contacts.end()) {
    if (this->contacts.size() < kMostDomains) {
      this->contacts[contact.domain] = {contact.host, now};
    }
    return;
  }
  // The lowest id stays, so that all turn to the same host.
  const bool replaces = !(found->second.host.host < contact.host.host) ||
                        now - found->second.heard > kAskerLife;
  if (replaces) {
    found->second = {contact.host, now};
  }
}

void Neighbours::TakeDomain(Instant now, const NeighbourMessage& message) {
  const DomainLoads& told = *message.domain_loads;
  const bool usable = told.domain != this->settings.domain &&
                      (this->domains_heard.count(told.domain) > 0 ||
                       this->domains_heard.size() < kMostDomains);
  if (!usable) {
    return;
  }
  this->domains_heard[told.domain] = now;
  this->hooks.remote_domain_loads(now, told);
  for (const LeavingWorker& worker : message.leaving) {
    this->hooks.worker_leaving(now, worker);
  }
  if (message.domain == this->settings.domain) {
    return;
  }
  NeighbourMessage relayed = this->Make(now, false);
  relayed.domain_loads = told;
  relayed.leaving = message.leaving;
  for (const auto& [host, neighbour] : this->known) {
    this->SendTo(neighbour.address, relayed);
  }
}

void Neighbours::TellProofs(Instant now) {
  this->next_proofs = kNever;
  for (const auto& [host, neighbour] : this->known) {
    if (!neighbour.clock_ms.has_value()) {
      continue;
    }
    NeighbourMessage message = this->Make(now, false);
    message.echo_ms = neighbour.clock_ms;
    message.linearizable_reads = this->hooks.local_reads(now);
    this->SendTo(neighbour.address, message);
  }
}

void Neighbours::TakeProofs(Instant now, const NeighbourMessage& message) {
  if (!message.echo_ms.has_value() || !this->began.has_value()) {
    return;
  }
  // A clock that this start did not send is one of an earlier start.
  const Instant echoed{std::chrono::milliseconds(*message.echo_ms)};
  const bool mine =
      *message.echo_ms >= InMilliseconds(*this->began) && echoed <= now;
  if (!mine) {
    return;
  }
  for (const AdvertisedRead& proof : message.linearizable_reads) {
    this->hooks.neighbour_read(echoed - proof.age, proof);
  }
}

bool Neighbours::Speaks() const {
  return this->known.empty() ||
         this->settings.self < this->known.begin()->first;
}

void Neighbours::TellDomains(Instant now) {
  this->next_domains = now + kDomainsEvery;
  if (this->contacts.empty() || !this->Speaks()) {
    return;
  }
  NeighbourMessage message = this->Make(now, false);
  message.domain_loads =
      DomainLoads{this->settings.domain, this->hooks.own_domain_loads()};
  message.leaving = this->Leaving(now, true);
  for (const auto& [domain, contact] : this->contacts) {
    this->SendTo(contact.host.address, message);
  }
}

void Neighbours::Prune(Instant now) {
  for (auto it = this->known.begin(); it != this->known.end();) {
    if (now - it->second.heard <= kSilence) {
      ++it;
      continue;
    }
    this->hooks.neighbour_lost(it->first);
    it = this->known.erase(it);
  }
  for (auto it = this->domains_heard.begin();
       it != this->domains_heard.end();) {
    if (now - it->second <= kDomainSilence) {
      ++it;
      continue;
    }
    this->hooks.domain_lost(it->first);
    it = this->domains_heard.erase(it);
  }
  for (auto it = this->contacts.begin(); it != this->contacts.end();) {
    it = now - it->second.heard > kAskerLife ? this->contacts.erase(it)
                                             : std::next(it);
  }
  this->leaving.erase(std::remove_if(this->leaving.begin(), this->leaving.end(),
                                     [now](const Told& told) {
                                       return now - told.noticed > kLeavingTold;
                                     }),
                      this->leaving.end());
}

void Neighbours::OnStateChanged(Instant now) {
  this->next_state = std::min(this->next_state,
                              std::max(now, this->last_state + kStateSpacing));
}

void Neighbours::OnWorkerLeaving(Instant now, const LeavingWorker& worker) {
  this->leaving.push_back({worker, now - worker.age, false});
  this->next_state = std::min(this->next_state, now);
  this->next_domains = std::min(this->next_domains, now);
}

void Neighbours::HearLeaving(Instant now, const LeavingWorker& worker) {
  this->hooks.worker_leaving(now, worker);
  const auto same = [&worker](const Told& told) {
    return told.worker.worker == worker.worker &&
           told.worker.started_at == worker.started_at;
  };
  if (std::none_of(this->leaving.begin(), this->leaving.end(), same)) {
    this->leaving.push_back({worker, now - worker.age, true});
    this->next_domains = std::min(this->next_domains, now);
  }
}

std::vector<LeavingWorker> Neighbours::Leaving(Instant now, bool heard) const {
  std::vector<LeavingWorker> workers;
  for (const Told& told : this->leaving) {
    if (heard || !told.heard) {
      workers.push_back(told.worker);
      workers.back().age = now - told.noticed;
    }
  }
  return workers;
}

void Neighbours::Tick(Instant now) {
  if (this->settings.address.empty()) {
    return;
  }
  if (this->next_question <= now) {
    const bool alone = this->known.empty();
    this->next_question = now + (alone ? kQuestionEvery : kQuestionEveryKnown);
    for (const std::string& seed : this->settings.seeds) {
      if (seed != this->settings.address) {
        this->SendTo(seed, this->Make(now, true));
      }
    }
    for (auto it = this->asked_here.begin(); it != this->asked_here.end();) {
      it = now - it->second.heard > kAskerLife ? this->asked_here.erase(it)
                                               : std::next(it);
    }
  }
  if (this->next_domains <= now) {
    this->TellDomains(now);
  }
  if (this->next_proofs <= now) {
    this->TellProofs(now);
  }
  if (this->next_state > now) {
    return;
  }
  this->last_state = now;
  this->next_state = now + kStateEvery;
  this->Prune(now);
  if (this->known.empty()) {
    return;
  }
  NeighbourMessage message = this->Make(now, false);
  message.worker_loads = this->hooks.local_loads();
  message.leaving = this->Leaving(now, false);
  for (const auto& [host, neighbour] : this->known) {
    this->SendTo(neighbour.address, message);
  }
}

Instant Neighbours::NextWakeup() const {
  return this->settings.address.empty()
             ? kNever
             : std::min({this->next_state, this->next_question,
                         this->next_domains, this->next_proofs});
}

}  // namespace limpetlink
