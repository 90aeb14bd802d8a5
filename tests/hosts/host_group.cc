#include "tests/hosts/host_group.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace limpetlink::testing {
namespace {

constexpr Duration kPlatformDelay = std::chrono::milliseconds(4);
constexpr std::size_t kNobody = static_cast<std::size_t>(-1);

std::string NameOf(std::size_t index) {
  std::string digits = std::to_string(index);
  return "entry-perth-" + std::string(4 - digits.size(), '0') + digits;
}

Duration WaitOf(const HttpCall& call) {
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
    host.id = HostId{NameOf(i)};
    rows.push_back({{"id", host.id.value},
                    {"address", "10.0.0.1:" + std::to_string(1000 + i)},
                    {"role", "entry"},
                    {"state", "live"}});
    this->hosts.push_back(std::move(host));
  }
  this->platform.hosts_body = nlohmann::json{{"hosts", rows}}.dump();
}

Duration HostGroup::Delay() {
  const auto spread =
      (this->options.most_delay - this->options.least_delay).count();
  const std::uint64_t extra =
      this->random.Below(static_cast<std::uint64_t>(spread) + 1);
  return this->options.least_delay + Duration(extra);
}

std::size_t HostGroup::IndexOf(const HostId& id) const {
  const std::size_t index = std::stoul(id.value.substr(id.value.size() - 4));
  return index < this->hosts.size() ? index : kNobody;
}

void HostGroup::StartHost(std::size_t index) {
  GroupHost& host = this->hosts[index];
  ++host.boots;
  host.up = true;
  host.wake = kNever;
  const std::uint64_t seed =
      this->options.seed * 1000003 + index * 101 + host.boots;
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
  this->Settle(index);
}

void HostGroup::StartAll() {
  for (std::size_t i = 0; i < this->hosts.size(); ++i) {
    this->StartHost(i);
  }
}

void HostGroup::Kill(std::size_t index) {
  GroupHost& host = this->hosts[index];
  host.up = false;
  host.configuration.reset();
  host.membership.reset();
  host.client.reset();
}

void HostGroup::Freeze(std::size_t index, Duration span) {
  this->hosts[index].frozen_until = this->now + span;
}

void HostGroup::Schedule(Instant at, std::size_t host,
                         std::function<void()> run) {
  this->queue.push(
      {at, this->next_order++, host, this->hosts[host].boots, std::move(run)});
}

bool HostGroup::Step(Instant end) {
  if (this->queue.empty() || this->queue.top().at > end) {
    this->now = end;
    return false;
  }
  Happening happening = this->queue.top();
  this->queue.pop();
  this->now = std::max(this->now, happening.at);
  GroupHost& host = this->hosts[happening.host];
  if (!host.up || host.boots != happening.boots) {
    return true;
  }
  if (host.frozen_until > this->now) {
    happening.at = host.frozen_until;
    this->queue.push(std::move(happening));
    return true;
  }
  const auto clock = this->options.processor_clock;
  const double began = clock ? clock() : 0;
  host.membership->Tick(this->now);
  host.configuration->Tick(this->now);
  host.client->Tick(this->now);
  if (happening.run) {
    happening.run();
  } else if (host.wake <= this->now) {
    host.wake = kNever;
  }
  this->Settle(happening.host);
  host.processor_seconds += clock ? clock() - began : 0;
  return true;
}

void HostGroup::Run(Duration span) {
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

void HostGroup::Settle(std::size_t index) {
  while (this->SettleOnce(index)) {
  }
  GroupHost& host = this->hosts[index];
  const Instant wake =
      std::min({host.membership->NextWakeup(), host.configuration->NextWakeup(),
                host.client->NextWakeup()});
  if (wake < host.wake) {
    host.wake = std::max(wake, this->now);
    this->Schedule(host.wake, index, {});
  }
}

bool HostGroup::SettleOnce(std::size_t index) {
  GroupHost& host = this->hosts[index];
  bool any = false;
  for (const Action& action : host.client->TakeActions()) {
    any = true;
    if (const auto* call = std::get_if<HttpCall>(&action)) {
      this->CarryCall(index, *call);
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
    } else if (this->on_adopted) {
      this->on_adopted(index, std::get<ConfigurationApplied>(action));
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
  } else if (const auto* ride = std::get_if<ProbePayloadReceived>(&action)) {
    host.configuration->OnDigest(this->now, ride->from, ride->bytes);
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
  const std::size_t index = this->IndexOf(to);
  const bool lost = index == kNobody || !this->hosts[index].up ||
                    this->random.Fraction() < this->options.loss ||
                    (this->cut && this->cut(from, index));
  if (lost) {
    return;
  }
  this->Schedule(
      this->now + this->Delay(), index,
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

void HostGroup::CarryCall(std::size_t index, const HttpCall& call) {
  const CallFate fate =
      this->fate ? this->fate(index, call) : CallFate::kServed;
  const CallId id = call.id;
  if (fate == CallFate::kNotConnected) {
    this->Schedule(this->now + kPlatformDelay, index, [this, index, id] {
      this->GiveEvent(index, HttpDone{id, HttpEnd::kNotConnected});
    });
    return;
  }
  this->Schedule(this->now + kPlatformDelay, index, [this, index, call, fate] {
    this->ServeCall(index, call, fate);
  });
}

void HostGroup::ServeCall(std::size_t index, const HttpCall& call,
                          CallFate fate) {
  const std::uint64_t boots = this->hosts[index].boots;
  if (fate == CallFate::kOutage || fate == CallFate::kThrottled) {
    const int status = fate == CallFate::kOutage ? 503 : 429;
    this->AnswerCall(index, boots, call.id, {status, 0, ""});
    return;
  }
  const FakePlatform::Response answer = this->platform.Serve(call);
  if (fate == CallFate::kHangs) {
    return;
  }
  if (fate == CallFate::kResponseLost) {
    this->GiveEvent(index, HttpDone{call.id, HttpEnd::kCut});
    return;
  }
  if (answer.status != 0) {
    this->AnswerCall(index, boots, call.id, answer);
    return;
  }
  const Instant until = this->now + WaitOf(call);
  this->waiters.push_back({index, boots, call, until});
  const CallId id = call.id;
  this->Schedule(until, index, [this, index, boots, id] {
    const auto same = [id](const Waiter& waiter) {
      return waiter.call.id == id;
    };
    const auto found =
        std::find_if(this->waiters.begin(), this->waiters.end(), same);
    if (found != this->waiters.end()) {
      this->waiters.erase(found);
      this->AnswerCall(index, boots, id, {204, 0, ""});
    }
  });
}

void HostGroup::AnswerCall(std::size_t index, std::uint64_t boots, CallId id,
                           const FakePlatform::Response& answer) {
  if (!this->hosts[index].up || this->hosts[index].boots != boots) {
    return;
  }
  this->Schedule(this->now + kPlatformDelay, index, [this, index, id, answer] {
    for (const Event& event : ToEvents(id, answer)) {
      this->GiveEvent(index, event);
    }
  });
}

void HostGroup::GiveEvent(std::size_t index, const Event& event) {
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
  this->WakeWatches();
  return object.version;
}

void HostGroup::WakeWatches() {
  std::vector<Waiter> waiting;
  std::swap(waiting, this->waiters);
  for (Waiter& waiter : waiting) {
    const FakePlatform::Response answer = this->platform.Serve(waiter.call);
    --this->platform.watches;  // the same call, not a new one
    if (answer.status == 0) {
      this->waiters.push_back(std::move(waiter));
    } else {
      this->AnswerCall(waiter.host, waiter.boots, waiter.call.id, answer);
    }
  }
}

bool HostGroup::ViewsAgree() const {
  std::vector<HostId> up;
  for (const GroupHost& host : this->hosts) {
    if (host.up) {
      up.push_back(host.id);
    }
  }
  return std::all_of(this->hosts.begin(), this->hosts.end(),
                     [&up](const GroupHost& host) {
                       return !host.up || host.membership->Live() == up;
                     });
}

std::size_t HostGroup::CountAtVersion(std::uint64_t version) const {
  std::size_t count = 0;
  for (const GroupHost& host : this->hosts) {
    const bool at = host.up && host.configuration->Version() >= version;
    count += at ? 1 : 0;
  }
  return count;
}

std::size_t HostGroup::CountUp() const {
  std::size_t count = 0;
  for (const GroupHost& host : this->hosts) {
    count += host.up ? 1 : 0;
  }
  return count;
}

}  // namespace limpetlink::testing
