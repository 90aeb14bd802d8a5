#include "entry/detail/cluster_sync.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace limpetlink {
namespace {

/// Topic of the broadcasts of upstream states.
constexpr std::uint32_t kUpstreamTopic = 1;

MetadataStoreSettings PlatformSettingsOf(const EntryHostSettings& settings) {
  MetadataStoreSettings platform;
  platform.url = settings.platform_url;
  platform.budget = CallBudgetPerHost(StoreLimits{}, 1);
  platform.seed = StableHash("platform", settings.seed);
  return platform;
}

ConfigurationSettings ConfigurationSettingsOf(
    const EntryHostSettings& settings) {
  ConfigurationSettings configuration;
  configuration.self = settings.self;
  configuration.fleet_name = settings.fleet_name;
  configuration.seed = StableHash("configuration", settings.seed);
  return configuration;
}

MembershipSettings MembershipSettingsOf(const EntryHostSettings& settings) {
  MembershipSettings membership;
  membership.self = settings.self;
  membership.address = settings.peer_address;
  membership.failure_domain = settings.failure_domain;
  membership.boot = settings.seed;
  membership.seed = StableHash("membership", settings.seed);
  return membership;
}

/// Returns the broadcast key for the state of an upstream as reported by a
/// source.
std::string BroadcastKey(const UpstreamId& upstream, LeavingSource source) {
  const std::string_view name = ToText(source);
  return absl::StrCat(absl::string_view(name.data(), name.size()), "/",
                      upstream.value);
}

}  // namespace

ClusterSync::ClusterSync(HostContext& shared)
    : shared(shared),
      platform(PlatformSettingsOf(shared.settings),
               [&shared] {
                 return shared.calls.Open({CallPurpose::kPlatform, {}, {}});
               }),
      configuration(
          ConfigurationSettingsOf(shared.settings), &platform,
          [this](std::string_view text) { return this->Validate(text); }),
      membership(MembershipSettingsOf(shared.settings), &platform) {}

void ClusterSync::Start() {
  this->membership.SetProbePayload(
      [this](Instant now) { return this->configuration.Digest(now); });
  this->configuration.Start(this->shared.now);
  this->membership.Start(this->shared.now);
  this->Flush();
}

void ClusterSync::Leave() {
  this->membership.Leave(this->shared.now);
  this->Flush();
}

// ---- Events from the adapters ----

void ClusterSync::OnPeerFrame(const PeerFrame& frame) {
  const absl::StatusOr<PeerEnvelope> envelope = this->peer_reader.Read(frame);
  if (!envelope.ok()) {
    this->shared.metrics.Add(Counter::kPeerFramesRefused);
    return;
  }
  const Instant now = this->shared.now;
  switch (envelope->kind) {
    case PeerKind::kMembership:
      this->membership.OnPeer(now, envelope->from, envelope->payload);
      break;
    case PeerKind::kConfiguration:
      this->configuration.OnPeer(now, envelope->from, envelope->payload);
      break;
    case PeerKind::kDispatch:
      this->shared.Dispatch(DispatchReceive{envelope->from, envelope->payload});
      break;
    case PeerKind::kRequest:
      this->shared.metrics.Add(Counter::kPeerFramesRefused);
      break;
  }
}

void ClusterSync::OnHead(const HttpHead& head) {
  this->platform.OnHead(this->shared.now, head);
}

void ClusterSync::OnChunk(const HttpChunk& chunk) {
  this->platform.OnChunk(this->shared.now, chunk);
}

void ClusterSync::OnDone(const HttpDone& done) {
  this->shared.calls.Close(done.id);
  this->platform.OnDone(this->shared.now, done);
}

void ClusterSync::SendDispatch(const DispatchSend& send) {
  this->SendToPeer(send.to, PeerKind::kDispatch, send.bytes);
}

// ---- Timers and pending actions ----

void ClusterSync::Tick() {
  const Instant now = this->shared.now;
  this->platform.Tick(now);
  this->configuration.Tick(now);
  this->membership.Tick(now);
}

void ClusterSync::Flush() {
  const Instant now = this->shared.now;
  for (const StoreResult& result : this->platform.TakeResults()) {
    if (!this->configuration.OnStoreResult(now, result) &&
        !this->membership.OnStoreResult(now, result) && this->on_store_result) {
      this->on_store_result(result);
    }
  }
  for (const ConfigurationAction& action : this->configuration.TakeActions()) {
    this->Execute(action);
  }
  for (const MembershipAction& action : this->membership.TakeActions()) {
    this->Execute(action);
  }
  for (Action& action : this->platform.TakeActions()) {
    if (const auto* cancel = std::get_if<HttpCancel>(&action)) {
      this->shared.calls.Close(cancel->id);
    }
    this->shared.actions.push_back(std::move(action));
  }
}

Instant ClusterSync::NextWakeup() const {
  return std::min({this->platform.NextWakeup(),
                   this->configuration.NextWakeup(),
                   this->membership.NextWakeup()});
}

bool ClusterSync::Ready() const {
  return this->configuration.Ready() && this->membership.IsCurrent() &&
         this->shared.document != nullptr;
}

// ---- Membership ----

void ClusterSync::Execute(const MembershipAction& action) {
  const Instant now = this->shared.now;
  if (const auto* send = std::get_if<MembershipSend>(&action)) {
    const PeerEnvelope envelope{kPeerEnvelopeVersion,
                                this->shared.settings.self,
                                PeerKind::kMembership, send->bytes};
    this->shared.actions.emplace_back(
        PeerSend{send->to, send->address, EncodePeerEnvelope(envelope)});
  } else if (const auto* change = std::get_if<LiveHostsChanged>(&action)) {
    this->OnLiveHosts(*change);
  } else if (const auto* item = std::get_if<BroadcastReceived>(&action)) {
    this->OnBroadcast(item->item);
  } else if (const auto* payload = std::get_if<ProbePayloadReceived>(&action)) {
    this->configuration.OnDigest(now, payload->from, payload->bytes);
  } else if (const auto* host_list = std::get_if<HostListRead>(&action)) {
    this->OnHostList(*host_list);
  }
}

void ClusterSync::OnLiveHosts(const LiveHostsChanged& change) {
  const Instant now = this->shared.now;
  this->configuration.OnHosts(now, change.live, change.neighbours);
  this->platform.SetBudget(
      now, CallBudgetPerHost(StoreLimits{}, change.live.size()));
  SetHosts hosts;
  hosts.live = change.live;
  hosts.failure_domains = change.failure_domains;
  this->shared.Dispatch(hosts);
  this->on_change();
}

void ClusterSync::OnHostList(const HostListRead& host_list) {
  for (const ListedHost& host : host_list.hosts) {
    if (host.role == ListedRole::kUpstream) {
      this->UpdateLeaving(UpstreamId{host.id}, LeavingSource::kHostList,
                          host.leaving);
    }
  }
}

// ---- Leaving upstreams ----

void ClusterSync::UpdateLeaving(const UpstreamId& upstream,
                                LeavingSource source, bool is_leaving) {
  const auto known = this->leaving.find(upstream);
  const bool was_leaving =
      known != this->leaving.end() && known->second.count(source) != 0;
  if (was_leaving == is_leaving) {
    return;
  }
  const std::string key = BroadcastKey(upstream, source);
  const std::uint64_t version = ++this->broadcast_versions[key];
  this->ApplyLeaving(upstream, source, is_leaving);
  const WorkerState state =
      is_leaving ? WorkerState::kLeaving : WorkerState::kLive;
  this->membership.Disseminate(
      this->shared.now,
      Broadcast{kUpstreamTopic, key, version, std::string(ToText(state))});
}

void ClusterSync::OnBroadcast(const Broadcast& item) {
  const std::optional<WorkerState> state = ParseEnum<WorkerState>(item.bytes);
  const std::size_t slash = item.key.find('/');
  const std::string source_name = item.key.substr(0, slash);
  const auto source = ParseEnum<LeavingSource>(source_name);
  if (item.topic != kUpstreamTopic || !state || !source ||
      slash == std::string::npos) {
    this->shared.metrics.Add(Counter::kPeerFramesRefused);
    return;
  }
  std::uint64_t& version = this->broadcast_versions[item.key];
  version = std::max(version, item.version);
  this->ApplyLeaving(UpstreamId{item.key.substr(slash + 1)}, *source,
                     *state == WorkerState::kLeaving);
}

void ClusterSync::ApplyLeaving(const UpstreamId& upstream, LeavingSource source,
                               bool is_leaving) {
  if (is_leaving) {
    this->leaving[upstream].insert(source);
  } else if (this->leaving.count(upstream) != 0) {
    this->leaving[upstream].erase(source);
    if (this->leaving[upstream].empty()) {
      this->leaving.erase(upstream);
    }
  }
  const bool is_live = this->leaving.count(upstream) == 0;
  this->shared.Dispatch(SetWorkerState{
      upstream, is_live ? WorkerState::kLive : WorkerState::kLeaving});
}

// ---- Configuration ----

void ClusterSync::Execute(const ConfigurationAction& action) {
  if (const auto* send = std::get_if<ConfigurationSend>(&action)) {
    this->SendToPeer(send->to, PeerKind::kConfiguration, send->bytes);
  } else if (const auto* applied = std::get_if<ConfigurationApplied>(&action)) {
    this->ApplyDocument(*applied);
  }
}

absl::Status ClusterSync::Validate(std::string_view text) {
  FleetParseResult parsed = ParseFleet(text);
  absl::Status status = StatusOf(parsed);
  if (!status.ok()) {
    return status;
  }
  this->validated_text.assign(text.data(), text.size());
  this->validated =
      std::make_shared<const FleetDocument>(std::move(parsed.document));
  return absl::OkStatus();
}

void ClusterSync::ApplyDocument(const ConfigurationApplied& applied) {
  const bool known =
      applied.text == this->validated_text || this->Validate(applied.text).ok();
  if (!known || applied.version <= this->shared.fleet_version) {
    return;
  }
  this->shared.document = this->validated;
  this->shared.fleet_version = applied.version;
  this->shared.metrics.Add(Counter::kDocumentsApplied);
  this->shared.actions.emplace_back(
      LogLine{LogLevel::kInfo,
              "fleet document adopted",
              {{"version", std::to_string(applied.version)},
               {"change_id", this->shared.document->change_id}}});
  this->shared.Dispatch(Configure{this->shared.document});
  for (const auto& [upstream, sources] : this->leaving) {
    this->shared.Dispatch(SetWorkerState{upstream, WorkerState::kLeaving});
  }
  this->on_change();
}

void ClusterSync::SendToPeer(const HostId& to, PeerKind kind,
                             std::string payload) {
  const std::optional<std::string> address = this->membership.AddressOf(to);
  if (!address) {
    return;
  }
  const PeerEnvelope envelope{kPeerEnvelopeVersion, this->shared.settings.self,
                              kind, std::move(payload)};
  this->shared.actions.emplace_back(
      PeerSend{to, *address, EncodePeerEnvelope(envelope)});
}

}  // namespace limpetlink
