#include "tests/hosts/host_group.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace limpetlink::testing {
namespace {

constexpr Duration kPlatformDelay = std::chrono::milliseconds(4);
constexpr std::size_t kUnknownHost = static_cast<std::size_t>(-1);

std::string HostName(std::size_t index) {
  std::string digits = std::to_string(index);
  return "entry-perth-" + std::string(4 - digits.size(), '0') + digits;
}

Duration WatchTimeout(const HttpCall& call) {
  const std::size_t at = call.url.find("wait_ms=");
  return at == std::string::npos
             ? Duration{0}
             : std::chrono::milliseconds(std::stoull(call.url.substr(at + 8)));
}

}  // namespace

HostGroup::HostGroup(GroupOptions options)
    : options(std::move(options)), random(this->options.seed) {
  nlohmann::json rows = nlohmann::json::array();
  for (std::size_t i = 0; i < this->options.hosts; ++i) {
    GroupHost host;
    host.id = HostId{HostName(i)};
    rows.push_back({{"id", host.id.value},
                    {"address", "10.0.0.1:" + std::to_string(1000 + i)},
                    {"role", "entry"},
                    {"state", "live"}});
    this->hosts.push_back(std::move(host));
  }
  this->platform.hosts_body = nlohmann::json{{"hosts", rows}}.dump();
}

Duration HostGroup::RandomDelay() {
  const auto spread =
      (this->options.max_delay - this->options.min_delay).count();
  const std::uint64_t extra =
      this->random.Below(static_cast<std::uint64_t>(spread) + 1);
  return this->options.min_delay + Duration(extra);
}

std::size_t HostGroup::HostIndex(const HostId& id) const {
  const std::size_t index = std::stoul(id.value.substr(id.value.size() - 4));
  return index < this->hosts.size() ? index : kUnknownHost;
}

void HostGroup::StartHost(std::size_t index) {
  GroupHost& host = this->hosts[index];
  ++host.incarnation;
  host.running = true;
  host.wakeup = kNever;
  const std::uint64_t seed =
      this->options.seed * 1000003 + index * 101 + host.incarnation;
  MetadataStoreSettings platform;
  platform.url = "http://10.0.0.9:80";
  platform.budget = CallBudgetPerHost({}, this->options.hosts);
  platform.seed = seed;
  host.client = std::make_unique<MetadataStoreClient>(
      platform, [this] { return CallId{++this->next_call}; });
  MembershipSettings membership = this->options.membership;
  membership.self = host.id;
  membership.address = "10.0.0.1:" + std::to_string(1000 + index);
  membership.boot = Random(seed)() % 1000000 + 1;
  membership.seed = seed;
  host.membership = std::make_unique<Membership>(membership, host.client.get());
  ConfigurationSettings configuration = this->options.configuration;
  configuration.self = host.id;
  configuration.fleet_name = "today";
  configuration.seed = seed;
  host.configuration = std::make_unique<ConfigurationStore>(
      configuration, host.client.get(), [](std::string_view text) {
        return text.find("\"invalid\"") == std::string_view::npos
                   ? absl::OkStatus()
                   : MakeStatus(ErrorCode::kFleetInvalid, "marked");
      });
  host.membership->SetProbePayload(
      [store = host.configuration.get()](Instant at) {
        return store->Digest(at);
      });
  host.membership->Start(this->now);
  host.configuration->Start(this->now);
  this->ProcessActions(index);
}

void HostGroup::StartAll() {
  for (std::size_t i = 0; i < this->hosts.size(); ++i) {
    this->StartHost(i);
  }
}

void HostGroup::Kill(std::size_t index) {
  GroupHost& host = this->hosts[index];
  host.running = false;
  host.configuration.reset();
  host.membership.reset();
  host.client.reset();
}

void HostGroup::Freeze(std::size_t index, Duration span) {
  this->hosts[index].frozen_until = this->now + span;
}

void HostGroup::Schedule(Instant at, std::size_t host,
                         std::function<void()> run) {
  this->queue.push({at, this->next_order++, host, this->hosts[host].incarnation,
                    std::move(run)});
}

bool HostGroup::Step(Instant end) {
  if (this->queue.empty() || this->queue.top().at > end) {
    this->now = end;
    return false;
  }
  ScheduledTask task = this->queue.top();
  this->queue.pop();
  this->now = std::max(this->now, task.at);
  GroupHost& host = this->hosts[task.host];
  if (!host.running || host.incarnation != task.incarnation) {
    return true;
  }
  if (host.frozen_until > this->now) {
    task.at = host.frozen_until;
    this->queue.push(std::move(task));
    return true;
  }
  const auto clock = this->options.processor_clock;
  const double began = clock ? clock() : 0;
  host.membership->Tick(this->now);
  host.configuration->Tick(this->now);
  host.client->Tick(this->now);
  if (task.run) {
    task.run();
  } else if (host.wakeup <= this->now) {
    host.wakeup = kNever;
  }
  this->ProcessActions(task.host);
  host.processor_seconds += clock ? clock() - began : 0;
  return true;
}

void HostGroup::RunFor(Duration span) {
  const Instant end = this->now + span;
  while (this->Step(end)) {
  }
}

bool HostGroup::RunUntil(const std::function<bool()>& holds, Duration limit) {
  const Instant end = this->now + limit;
  bool more = true;
  while (!holds() && more) {
    more = this->Step(end);
  }
  return holds();
}

void HostGroup::ProcessActions(std::size_t index) {
  while (this->ProcessActionsOnce(index)) {
  }
  GroupHost& host = this->hosts[index];
  const Instant wakeup =
      std::min({host.membership->NextWakeup(), host.configuration->NextWakeup(),
                host.client->NextWakeup()});
  if (wakeup < host.wakeup) {
    host.wakeup = std::max(wakeup, this->now);
    this->Schedule(host.wakeup, index, {});
  }
}

bool HostGroup::ProcessActionsOnce(std::size_t index) {
  GroupHost& host = this->hosts[index];
  bool any = false;
  for (const Action& action : host.client->TakeActions()) {
    any = true;
    if (const auto* call = std::get_if<HttpCall>(&action)) {
      this->ExecuteCall(index, *call);
    }
  }
  for (const StoreResult& result : host.client->TakeResults()) {
    any = true;
    this->RouteResult(index, result);
  }
  for (const MembershipAction& action : host.membership->TakeActions()) {
    any = true;
    this->HandleMembership(index, action);
  }
  for (const ConfigurationAction& action : host.configuration->TakeActions()) {
    any = true;
    if (const auto* send = std::get_if<ConfigurationSend>(&action)) {
      this->SendFrame(index, send->to, PeerKind::kConfiguration, send->bytes);
    } else if (this->on_applied) {
      this->on_applied(index, std::get<ConfigurationApplied>(action));
    }
  }
  return any;
}

void HostGroup::RouteResult(std::size_t index, const StoreResult& result) {
  GroupHost& host = this->hosts[index];
  if (!host.membership->OnStoreResult(this->now, result)) {
    host.configuration->OnStoreResult(this->now, result);
  }
}

void HostGroup::HandleMembership(std::size_t index,
                                 const MembershipAction& action) {
  GroupHost& host = this->hosts[index];
  if (const auto* send = std::get_if<MembershipSend>(&action)) {
    this->SendFrame(index, send->to, PeerKind::kMembership, send->bytes);
  } else if (const auto* live = std::get_if<LiveHostsChanged>(&action)) {
    host.configuration->OnHosts(this->now, live->live, live->neighbours);
    host.client->SetBudget(this->now, CallBudgetPerHost({}, live->live.size()));
    if (this->on_live) {
      this->on_live(index, *live);
    }
  } else if (const auto* payload = std::get_if<ProbePayloadReceived>(&action)) {
    host.configuration->OnDigest(this->now, payload->from, payload->bytes);
  }
  if (this->on_membership) {
    this->on_membership(index, action);
  }
}

void HostGroup::SendFrame(std::size_t from, const HostId& to, PeerKind kind,
                          const std::string& payload) {
  GroupHost& host = this->hosts[from];
  PeerFrame frame{host.id, EncodePeerEnvelope(
                               {kPeerEnvelopeVersion, host.id, kind, payload})};
  ++host.frames;
  host.bytes += frame.bytes.size();
  host.largest_frame = std::max(host.largest_frame, frame.bytes.size());
  const std::size_t index = this->HostIndex(to);
  const bool lost = index == kUnknownHost || !this->hosts[index].running ||
                    this->random.Fraction() < this->options.loss_rate ||
                    (this->drop_frame && this->drop_frame(from, index));
  if (lost) {
    return;
  }
  this->Schedule(
      this->now + this->RandomDelay(), index,
      [this, index, frame = std::move(frame)] { this->Deliver(index, frame); });
}

void HostGroup::Deliver(std::size_t to, const PeerFrame& frame) {
  GroupHost& host = this->hosts[to];
  const auto envelope = DecodePeerEnvelope(frame.bytes);
  if (!envelope.ok()) {
    return;
  }
  if (envelope->kind == PeerKind::kMembership) {
    host.membership->OnPeer(this->now, envelope->from, envelope->payload);
  } else {
    host.configuration->OnPeer(this->now, envelope->from, envelope->payload);
  }
}

void HostGroup::ExecuteCall(std::size_t index, const HttpCall& call) {
  const CallOutcome call_outcome = this->call_outcome
                                       ? this->call_outcome(index, call)
                                       : CallOutcome::kServed;
  const CallId id = call.id;
  if (call_outcome == CallOutcome::kNotConnected) {
    this->Schedule(this->now + kPlatformDelay, index, [this, index, id] {
      this->DeliverEvent(index, HttpDone{id, HttpEnd::kNotConnected});
    });
    return;
  }
  this->Schedule(this->now + kPlatformDelay, index,
                 [this, index, call, call_outcome] {
                   this->ServeCall(index, call, call_outcome);
                 });
}

void HostGroup::ServeCall(std::size_t index, const HttpCall& call,
                          CallOutcome call_outcome) {
  const std::uint64_t incarnation = this->hosts[index].incarnation;
  if (call_outcome == CallOutcome::kOutage ||
      call_outcome == CallOutcome::kThrottled) {
    const int status = call_outcome == CallOutcome::kOutage ? 503 : 429;
    this->RespondToCall(index, incarnation, call.id, {status, 0, ""});
    return;
  }
  const FakePlatform::Response response = this->platform.Serve(call);
  if (call_outcome == CallOutcome::kHangs) {
    return;
  }
  if (call_outcome == CallOutcome::kResponseLost) {
    this->DeliverEvent(index, HttpDone{call.id, HttpEnd::kCut});
    return;
  }
  if (response.status != 0) {
    this->RespondToCall(index, incarnation, call.id, response);
    return;
  }
  const Instant until = this->now + WatchTimeout(call);
  this->pending_watches.push_back({index, incarnation, call, until});
  const CallId id = call.id;
  this->Schedule(until, index, [this, index, incarnation, id] {
    const auto same = [id](const PendingWatch& watch) {
      return watch.call.id == id;
    };
    const auto found = std::find_if(this->pending_watches.begin(),
                                    this->pending_watches.end(), same);
    if (found != this->pending_watches.end()) {
      this->pending_watches.erase(found);
      this->RespondToCall(index, incarnation, id, {204, 0, ""});
    }
  });
}

void HostGroup::RespondToCall(std::size_t index, std::uint64_t incarnation,
                              CallId id,
                              const FakePlatform::Response& response) {
  if (!this->hosts[index].running ||
      this->hosts[index].incarnation != incarnation) {
    return;
  }
  this->Schedule(this->now + kPlatformDelay, index,
                 [this, index, id, response] {
                   for (const Event& event : ToEvents(id, response)) {
                     this->DeliverEvent(index, event);
                   }
                 });
}

void HostGroup::DeliverEvent(std::size_t index, const Event& event) {
  MetadataStoreClient& client = *this->hosts[index].client;
  if (const auto* head = std::get_if<HttpHead>(&event)) {
    client.OnHead(this->now, *head);
  } else if (const auto* chunk = std::get_if<HttpChunk>(&event)) {
    client.OnChunk(this->now, *chunk);
  } else if (const auto* done = std::get_if<HttpDone>(&event)) {
    client.OnDone(this->now, *done);
  }
}

std::uint64_t HostGroup::WriteDocument(const std::string& text) {
  FakePlatform::Object& object = this->platform.objects["fleet/today"];
  ++object.version;
  object.bytes = text;
  this->CompleteWatches();
  return object.version;
}

void HostGroup::CompleteWatches() {
  std::vector<PendingWatch> watches;
  std::swap(watches, this->pending_watches);
  for (PendingWatch& watch : watches) {
    const FakePlatform::Response response = this->platform.Serve(watch.call);
    --this->platform.watches;  // the call was already counted
    if (response.status == 0) {
      this->pending_watches.push_back(std::move(watch));
    } else {
      this->RespondToCall(watch.host, watch.incarnation, watch.call.id,
                          response);
    }
  }
}

bool HostGroup::ViewsAgree() const {
  std::vector<HostId> running;
  for (const GroupHost& host : this->hosts) {
    if (host.running) {
      running.push_back(host.id);
    }
  }
  return std::all_of(this->hosts.begin(), this->hosts.end(),
                     [&running](const GroupHost& host) {
                       return !host.running ||
                              host.membership->Live() == running;
                     });
}

std::size_t HostGroup::CountAtVersion(std::uint64_t version) const {
  std::size_t count = 0;
  for (const GroupHost& host : this->hosts) {
    const bool at = host.running && host.configuration->Version() >= version;
    count += at ? 1 : 0;
  }
  return count;
}

std::size_t HostGroup::CountRunning() const {
  std::size_t count = 0;
  for (const GroupHost& host : this->hosts) {
    count += host.running ? 1 : 0;
  }
  return count;
}

}  // namespace limpetlink::testing
