#include "tests/core/world.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace limpetlink::testing {
namespace {

using nlohmann::json;

constexpr Duration kMinTickDelay = std::chrono::milliseconds(1);
constexpr Duration kReadyTimeout = std::chrono::seconds(60);
constexpr std::uint64_t kPageRequest = std::uint64_t{1} << 40U;

std::string Name(const char* kind, std::size_t index) {
  return std::string(kind) + "-" + std::to_string(index);
}

std::string EngineAddress(std::size_t index) {
  return "127.0.0.1:" + std::to_string(9000 + index);
}

std::string ServiceAddress(std::size_t index) {
  return "127.0.0.1:" + std::to_string(9500 + index);
}

}  // namespace

FleetSimulation::FleetSimulation(FleetSimulationOptions simulation_options)
    : network(timeline, simulation_options.seed,
              [this](std::size_t host, const Event& event) {
                this->Deliver(host, event);
              }),
      platform(network, timeline),
      options(std::move(simulation_options)),
      random(options.seed) {
  for (std::size_t i = 0; i < this->options.engines; ++i) {
    this->engines.push_back(std::make_unique<EngineFake>(
        this->network, this->timeline, EngineAddress(i), this->options.tokens));
  }
  for (std::size_t i = 0; i < this->options.services; ++i) {
    this->services.push_back(std::make_unique<ServiceFake>(
        this->network, this->timeline, ServiceAddress(i), this->executions));
  }
  for (std::size_t i = 0; i < this->options.hosts; ++i) {
    this->hosts.emplace_back();
    this->hosts.back().id = Name("host", i);
    this->platform.hosts.push_back(
        {Name("host", i), Name("host", i), "entry", "live"});
  }
  this->ApplyDocument();
  for (std::size_t i = 0; i < this->options.hosts; ++i) {
    this->StartHost(i);
  }
}

FleetSimulation::~FleetSimulation() = default;

std::string FleetSimulation::DocumentText(std::uint64_t change) const {
  json upstreams = json::array();
  for (std::size_t i = 0; i < this->options.engines; ++i) {
    upstreams.push_back({{"id", Name("engine", i)},
                         {"kind", "engine"},
                         {"serves", "model"},
                         {"url", "http://" + EngineAddress(i)},
                         {"failure_domain", "domain"}});
  }
  for (std::size_t i = 0; i < this->options.services; ++i) {
    upstreams.push_back({{"id", Name("service", i)},
                         {"kind", "service"},
                         {"serves", "orders"},
                         {"url", "http://" + ServiceAddress(i)},
                         {"failure_domain", "domain"}});
  }
  const json rules = json::array(
      {{{"method", "GET"}, {"path_prefix", "/lookups"}, {"idempotent", true}}});
  const json document = {
      {"name", "fleet"},
      {"change_id", "change-" + std::to_string(change)},
      {"author", "test"},
      {"failure_domains",
       json::array({{{"id", "domain"}, {"region", "region"}}})},
      {"organisations",
       json::array({{{"id", "organisation"},
                     {"max_concurrent", 100000},
                     {"requests_per_second", 100000},
                     {"key_digests", json::array({Sha256Hex("key")})}}})},
      {"models", json::array({{{"name", "model"}, {"version", "1"}}})},
      {"services", json::array({{{"name", "orders"}, {"rules", rules}}})},
      {"upstreams", upstreams},
      {"routes", json::array({{{"name", "drafts"},
                               {"model", "model"},
                               {"request_class", "draft"},
                               {"on_loss", this->options.on_loss}}})}};
  return document.dump();
}

std::uint64_t FleetSimulation::ApplyDocument() {
  return this->platform.Write("fleet/fleet",
                              this->DocumentText(++this->changes));
}

// ---- Time ----

bool FleetSimulation::RunUntil(const std::function<bool()>& holds,
                               Duration limit) {
  const Instant end = this->timeline.Now() + limit;
  while (!holds()) {
    if (!this->timeline.RunNext(end)) {
      return holds();
    }
  }
  return true;
}

void FleetSimulation::RunFor(Duration time) {
  const Instant end = this->timeline.Now() + time;
  while (this->timeline.RunNext(end)) {
  }
}

bool FleetSimulation::RunUntilReady() {
  const Instant end = this->timeline.Now() + kReadyTimeout;
  for (std::size_t i = 0; i < this->hosts.size(); ++i) {
    while (this->IsHostRunning(i) &&
           this->FetchPage(i, "/readyz") != "ready\n") {
      if (this->timeline.Now() >= end) {
        return false;
      }
      this->RunFor(std::chrono::milliseconds(100));
    }
  }
  return true;
}

// ---- Hosts ----

void FleetSimulation::StartHost(std::size_t host) {
  Host& started = this->hosts[host];
  EntryHostSettings settings;
  settings.self = {started.id};
  settings.failure_domain = {"domain"};
  settings.peer_address = started.id;
  settings.platform_url = "http://platform";
  settings.fleet_name = "fleet";
  settings.resume_secret = "secret";
  settings.operator_key_digest = Sha256Hex("operator");
  settings.seed = this->random();
  started.core = std::make_unique<EntryHost>(settings);
  started.frozen = false;
  started.version = 0;
  started.next_request = 0;
  this->RunHost(host,
                [](EntryHost& core, Instant now) { return core.Start(now); });
  this->RunHost(host, [](EntryHost& core, Instant now) {
    return core.Step(now, WallClockRead{0});
  });
}

void FleetSimulation::KillHost(std::size_t host) {
  Host& killed = this->hosts[host];
  ++killed.incarnation;
  killed.core.reset();
  killed.deferred.clear();
  this->network.CloseHostExchanges(host);
  for (const auto& [request, caller] : killed.callers) {
    CallerLog& log = this->callers[caller];
    log.aborted = !log.ended;
    log.ended_at = this->timeline.Now();
  }
  killed.callers.clear();
}

void FleetSimulation::FreezeHost(std::size_t host) {
  this->hosts[host].frozen = true;
}

void FleetSimulation::ThawHost(std::size_t host) {
  Host& thawed = this->hosts[host];
  thawed.frozen = false;
  for (std::function<void()>& work : std::exchange(thawed.deferred, {})) {
    work();
  }
}

void FleetSimulation::DrainHost(std::size_t host) {
  this->RunHost(host,
                [](EntryHost& core, Instant now) { return core.Drain(now); });
}

bool FleetSimulation::IsHostRunning(std::size_t host) const {
  return this->hosts[host].core != nullptr;
}

void FleetSimulation::RunHost(
    std::size_t host, const std::function<Actions(EntryHost&, Instant)>& step) {
  Host& running = this->hosts[host];
  if (running.core == nullptr) {
    return;
  }
  if (running.frozen) {
    const std::uint64_t incarnation = running.incarnation;
    running.deferred.emplace_back([this, host, step, incarnation] {
      if (incarnation == this->hosts[host].incarnation) {
        this->RunHost(host, step);
      }
    });
    return;
  }
  const Actions actions = step(*running.core, this->timeline.Now());
  this->Execute(host, actions);
  this->ScheduleTick(host);
}

void FleetSimulation::ScheduleTick(std::size_t host) {
  Host& running = this->hosts[host];
  if (running.core == nullptr) {
    return;
  }
  const Instant due = running.core->NextWakeup();
  const std::uint64_t tick = ++running.tick;
  if (due == kNever) {
    return;
  }
  const Duration delay = std::max(due - this->timeline.Now(), kMinTickDelay);
  const std::uint64_t incarnation = running.incarnation;
  this->timeline.Schedule(delay, [this, host, tick, incarnation] {
    if (incarnation == this->hosts[host].incarnation &&
        tick == this->hosts[host].tick) {
      this->RunHost(
          host, [](EntryHost& core, Instant now) { return core.Tick(now); });
    }
  });
}

void FleetSimulation::Deliver(std::size_t host, const Event& event) {
  this->RunHost(host, [event](EntryHost& core, Instant now) {
    return core.Step(now, event);
  });
}

// ---- Actions of the cores ----

void FleetSimulation::Execute(std::size_t host, const Actions& actions) {
  for (const Action& action : actions) {
    this->Execute(host, action);
  }
}

void FleetSimulation::Execute(std::size_t host, const Action& action) {
  Host& from = this->hosts[host];
  const auto find_caller = [&](RequestId id) -> CallerLog* {
    const auto found = from.callers.find(id.value);
    return found == from.callers.end() ? nullptr
                                       : &this->callers[found->second];
  };
  if (const auto* call = std::get_if<HttpCall>(&action)) {
    const bool platform_call = ServerName(call->url) == "platform";
    this->platform_calls += platform_call ? 1 : 0;
    this->report_calls += PathAndQuery(call->url) == "/v1/load" ? 1 : 0;
    this->network.StartCall(host, *call);
  } else if (const auto* cancel = std::get_if<HttpCancel>(&action)) {
    this->network.Cancel(host, cancel->id);
  } else if (const auto* frame = std::get_if<PeerSend>(&action)) {
    this->SendFrame(host, *frame);
  } else if (const auto* head = std::get_if<ReplyHead>(&action)) {
    if (CallerLog* log = find_caller(head->id)) {
      log->status = head->status;
      log->headers = head->headers;
    }
  } else if (const auto* body = std::get_if<ReplyBody>(&action)) {
    if (body->id.value >= kPageRequest) {
      this->page += body->bytes;
    } else if (CallerLog* log = find_caller(body->id)) {
      log->body += body->bytes;
    }
  } else if (const auto* end = std::get_if<ReplyEnd>(&action)) {
    if (CallerLog* log = find_caller(end->id)) {
      if (log->ended) {
        this->violations.emplace_back("a request received two responses");
      }
      log->ended = true;
      log->aborted = end->abort;
      log->ended_at = this->timeline.Now();
    }
  } else if (const auto* line = std::get_if<LogLine>(&action)) {
    if (line->message == "fleet document adopted") {
      const std::uint64_t version = std::stoull(line->fields.front().value);
      if (version <= from.version) {
        this->violations.emplace_back("a document's version did not increase");
      }
      from.version = version;
    }
  }
}

void FleetSimulation::SendFrame(std::size_t host, const PeerSend& send) {
  ++this->peer_frames;
  this->peer_bytes += send.bytes.size();
  const auto envelope = DecodePeerEnvelope(send.bytes);
  if (envelope.ok()) {
    this->peer_bytes_by_kind[envelope->kind] += send.bytes.size();
  }
  const PeerFrame frame{HostId{this->hosts[host].id}, send.bytes};
  for (std::size_t i = 0; i < this->hosts.size(); ++i) {
    if (this->hosts[i].id == send.to.value) {
      const Duration delay(
          static_cast<std::int64_t>(200 + this->random.Below(1500)));
      const std::uint64_t incarnation = this->hosts[i].incarnation;
      this->timeline.Schedule(delay, [this, i, frame, incarnation] {
        if (incarnation == this->hosts[i].incarnation) {
          this->Deliver(i, frame);
        }
      });
    }
  }
}

// ---- Callers ----

std::size_t FleetSimulation::Send(std::size_t host, CallerRequest request,
                                  Duration wait) {
  const std::size_t caller = this->callers.size();
  Host& to = this->hosts[host];
  request.id = RequestId{++to.next_request};
  request.headers.push_back({"Authorization", "Bearer key"});
  request.headers.push_back(
      {"Prefer", "wait=" + std::to_string(ToSeconds(wait))});
  CallerLog log;
  log.host = host;
  log.request = request;
  log.sent = this->timeline.Now();
  log.deadline = this->timeline.Now() + wait;
  log.aborted = to.core == nullptr;
  this->callers.push_back(std::move(log));
  if (to.core != nullptr) {
    to.callers[request.id.value] = caller;
    this->network.RecordStep("caller", "host");
    this->Deliver(host, request);
  }
  return caller;
}

void FleetSimulation::Disconnect(std::size_t caller) {
  CallerLog& log = this->callers[caller];
  log.aborted = true;
  log.ended_at = this->timeline.Now();
  this->hosts[log.host].callers.erase(log.request.id.value);
  this->Deliver(log.host, CallerDisconnected{log.request.id});
}

bool FleetSimulation::IsFinished(std::size_t caller) const {
  const CallerLog& log = this->callers[caller];
  return log.ended || log.aborted;
}

std::string FleetSimulation::FetchPage(std::size_t host,
                                       const std::string& path) {
  this->page.clear();
  CallerRequest request;
  request.id = RequestId{kPageRequest};
  request.method = "GET";
  request.path = path;
  request.headers = {{"Authorization", "Bearer operator"}};
  this->Deliver(host, request);
  return this->page;
}

std::uint64_t FleetSimulation::ActiveFleetVersion(std::size_t host) {
  return this->hosts[host].version;
}

}  // namespace limpetlink::testing
