#include <algorithm>

#include "gateway/detail/gateway_host.h"

namespace limpetlink {
namespace {

// Changes of one kind that are relayed to neighbours, at most. Larger ones are
// read from the store by each host: a message to 50 neighbours would occupy
// the link of a small host for a tenth of a second.
constexpr std::size_t kMaxRelayedBytes = 6U << 10U;
// Changes sent to one neighbour that cannot read them; limited by the size of a
// datagram.
constexpr std::size_t kMaxAnswerBytes = 15U << 10U;

}  // namespace

NeighbourHooks GatewayHost::MakeNeighbourHooks() {
  NeighbourHooks hooks;
  hooks.local_loads = [this] { return this->forwarding.Loads().LocalLoads(); };
  hooks.host_loads = [this](Instant now, const HostId& host,
                            const std::vector<WorkerLoad>& loads) {
    this->forwarding.Loads().ApplyHostLoads(now, host, loads);
  };
  hooks.neighbour_found = [this](const HostId& host) {
    this->Log(LogLevel::kInfo, "neighbour found", {{"neighbour", host.value}});
  };
  hooks.neighbour_lost = [this](const HostId& host) {
    this->Log(LogLevel::kInfo, "neighbour lost", {{"neighbour", host.value}});
    this->forwarding.Loads().RemoveHost(host);
  };
  hooks.local_reads = [this](Instant now) {
    std::vector<AdvertisedRead> reads;
    for (const KindWatch* watch : this->watches) {
      if (const std::optional<LinearizableRead>& read = watch->LastRead()) {
        reads.push_back({read->kind, read->changed_at, read->revision,
                         now - read->sent_at, read->era});
      }
    }
    return reads;
  };
  hooks.neighbour_read = [this](Instant now, Instant sent_at,
                                const AdvertisedRead& read) {
    for (KindWatch* watch : this->watches) {
      if (watch->Kind() == read.kind) {
        watch->ApplyLinearizableRead(now, {read.kind, read.changed_at,
                                           read.revision, sent_at, read.era});
      }
    }
  };
  hooks.local_changes = [this](Instant now) {
    std::vector<KindChanges> changes;
    for (const KindWatch* watch : this->watches) {
      if (this->kinds_to_relay.erase(watch->Kind()) > 0) {
        changes.push_back(watch->RecentChanges(now, kMaxRelayedBytes));
      }
    }
    return changes;
  };
  hooks.changes_since = [this](const MissingChanges& missing) {
    for (const KindWatch* watch : this->watches) {
      if (watch->Kind() == missing.kind) {
        return watch->ChangesSince(missing, kMaxAnswerBytes);
      }
    }
    return std::optional<KindChanges>();
  };
  hooks.neighbour_store_failure = [this](Instant now) {
    for (KindWatch* watch : this->watches) {
      watch->OnNeighbourFailure(now);
    }
  };
  hooks.local_removal_delay = [this](Instant now) {
    return this->directory.RemovalDelay(now);
  };
  hooks.neighbour_removal_delay = [this](Instant now, Duration delay) {
    this->directory.OnRelayedResponse(now, delay);
  };
  hooks.neighbour_changes = [this](Instant now, const KindChanges& changes) {
    for (KindWatch* watch : this->watches) {
      if (watch->Kind() == changes.kind) {
        watch->ApplyChanges(now, changes);
      }
    }
  };
  hooks.own_domain_loads = [this] {
    return this->forwarding.Loads().DomainLoads();
  };
  hooks.remote_domain_loads = [this](Instant now, const DomainLoads& received) {
    this->forwarding.Loads().ApplyDomainLoads(now, received.domain,
                                              received.loads);
  };
  hooks.local_gossip = [this](Instant now, bool include_received) {
    return Gossip{
        this->quarantine.Export(now, include_received),
        this->forwarding.Allowances().Export(now, include_received),
        this->forwarding.Allowances().ExportRooms(now, include_received),
        this->MakeRelayOffer()};
  };
  hooks.relay_offers = [this](Instant now) {
    std::vector<RelayOffer> offers =
        this->paths.Relays().Available(now, kMaxRelayOffers - 1);
    offers.erase(std::remove_if(offers.begin(), offers.end(),
                                [this](const RelayOffer& offer) {
                                  return offer.domain !=
                                         this->settings.failure_domain;
                                }),
                 offers.end());
    if (std::optional<RelayOffer> own = this->MakeRelayOffer()) {
      offers.push_back(*std::move(own));
    }
    return offers;
  };
  hooks.remote_relay_offer = [this](Instant now, const RelayOffer& offer) {
    if (offer.host != this->settings.self) {
      this->paths.Relays().Put(now, offer);
    }
  };
  hooks.remote_gossip = [this](Instant now, const Gossip& gossip) {
    const bool is_new = this->quarantine.Merge(now, gossip.evidence);
    this->quarantine_changed = this->quarantine_changed || is_new;
    const bool limits_changed = this->ApplyLimits(now, gossip.limits);
    const bool rooms_changed = this->ApplyRooms(now, gossip.rooms);
    return is_new || limits_changed || rooms_changed;
  };
  hooks.domain_lost = [this](const FailureDomainId& domain) {
    this->Log(LogLevel::kInfo, "failure domain silent",
              {{"domain", domain.value}});
    this->forwarding.Loads().RemoveDomain(domain);
  };
  hooks.worker_leaving = [this](Instant now, const LeavingWorker& worker) {
    const WorkerRegistration* known = this->directory.Find(worker.worker);
    if (known != nullptr && known->started_at == worker.started_at) {
      this->MarkLeaving(now, worker.worker, LeavingSource::kNeighbour,
                        worker.age);
    }
  };
  return hooks;
}

bool GatewayHost::ApplyRooms(Instant now,
                             const std::vector<RoomNotice>& rooms) {
  bool changed = false;
  for (const RoomNotice& notice : rooms) {
    const WorkerRegistration* known = this->directory.Find(notice.worker);
    if (known != nullptr && known->started_at == notice.started_at) {
      changed =
          this->forwarding.Allowances().ApplyRoom(
              now,
              {notice.worker, known->started_at, known->domain, known->slots},
              notice) ||
          changed;
    }
  }
  return changed;
}

std::optional<RelayOffer> GatewayHost::MakeRelayOffer() const {
  if (!this->settings.relays_requests) {
    return std::nullopt;
  }
  const WorkerReachability& reachability = this->paths.Reachability();
  RelayOffer offer{this->settings.self,
                   this->settings.failure_domain,
                   this->settings.neighbour_address,
                   this->relay_server.Token(),
                   reachability.IsCutOff() || this->drain_started.has_value(),
                   static_cast<std::uint32_t>(this->relay_server.InProgress()),
                   reachability.Unreachable()};
  offer.unreachable.resize(
      std::min(offer.unreachable.size(), kMaxUnreachableInOffer));
  return offer;
}

RelayServerHooks GatewayHost::MakeRelayHooks() {
  RelayServerHooks hooks;
  hooks.next_call_id = [this] { return CallId{++this->last_call}; };
  hooks.may_send = [this](Instant now, const WorkerRegistration& worker) {
    return this->forwarding.MaySend(now, worker);
  };
  hooks.may_send_command = [this](Instant now, const UpstreamId& worker) {
    return this->forwarding.MaySendCommand(now, worker);
  };
  hooks.sent = [this](Instant now, const UpstreamId& worker) {
    this->forwarding.Allowances().RecordSend(now, worker);
  };
  hooks.responded = [this](Instant now, const UpstreamId& worker, Instant sent,
                           const HttpHead& head) {
    this->forwarding.NoteResponse(now, worker, sent, head.status,
                                  this->codec.worker_response(head.headers));
  };
  return hooks;
}

bool GatewayHost::ApplyLimits(Instant now,
                              const std::vector<LimitNotice>& limits) {
  bool changed = false;
  for (const LimitNotice& notice : limits) {
    const WorkerRegistration* known = this->directory.Find(notice.worker);
    if (known != nullptr && known->started_at == notice.started_at) {
      changed =
          this->forwarding.ApplyLimit(now, notice, LimitSource::kNeighbour) ||
          changed;
    }
  }
  return changed;
}

}  // namespace limpetlink
