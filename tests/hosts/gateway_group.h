/// @file
/// @brief A group of gateway hosts with their metadata store in virtual time.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "gateway/gateway.h"
#include "tests/hosts/fake_store.h"

namespace limpetlink {

/// @brief Hosts, the datagrams between them and their store. Workers and
/// callers are the test's, which reacts in the hooks.
class GatewayGroup {
 public:
  static constexpr Duration kStep = std::chrono::milliseconds(10);

  struct Member {
    std::unique_ptr<GatewayHost> host;
    std::vector<std::pair<HttpCall, Instant>> store_calls;
    std::vector<PeerFrame> received;
    std::vector<Event> events;  ///< of calls between hosts
    bool is_cut_off = false;    ///< from the other hosts and the store
  };

  GatewayGroup(GatewayCodec codec, std::size_t domains)
      : codec(std::move(codec)), domains(domains) {}

  static std::string HostName(std::size_t number) {
    return "host-" + std::to_string(10000 + number);
  }

  void AddHosts(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      this->StartHost(i);
    }
  }

  /// @brief Starts a host, or starts it again.
  void StartHost(std::size_t number) {
    const std::string name = HostName(number);
    GatewaySettings settings;
    settings.self = HostId{name};
    settings.failure_domain =
        FailureDomainId{std::to_string(number % this->domains)};
    settings.store.url = "http://store";
    settings.store.dialect = FakeStore::Dialect();
    settings.store.budget = {1000, 1000, 1000, 1000};
    settings.neighbour_address = name;
    settings.relays_requests = true;
    settings.seeds = {HostName(0), HostName(1), HostName(2)};
    settings.seed = StableHash(name);
    settings.limits.retry_ratio = 0.2;
    Member& member = this->members[name];
    member = Member{};
    member.host = std::make_unique<GatewayHost>(settings, this->codec);
    this->Apply(name, member.host->Start(this->now));
  }

  const std::string& AnyHost() {
    auto it = this->members.begin();
    std::advance(it, this->random.Below(this->members.size()));
    return it->first;
  }

  void Deliver(const std::string& host, const Event& event) {
    const auto found = this->members.find(host);
    if (found != this->members.end()) {
      this->Apply(host, found->second.host->Step(this->now, event));
    }
  }

  void Advance(Duration span) {
    const Instant end = this->now + span;
    while (this->now < end) {
      this->now += kStep;
      this->on_step();
      for (auto& [name, member] : this->members) {
        for (const PeerFrame& frame : std::exchange(member.received, {})) {
          this->Deliver(name, frame);
        }
        for (const Event& event : std::exchange(member.events, {})) {
          this->Deliver(name, event);
        }
        this->RespondFromStore(name, &member);
        if (member.host->NextWakeup() <= this->now) {
          this->Apply(name, member.host->Tick(this->now));
        }
      }
    }
  }

  FakeStore store;
  std::map<std::string, Member> members;
  Random random{5};
  double loss_rate = 0;  ///< of datagrams
  Instant now{std::chrono::seconds(1000)};
  /// Called at the begin of each step.
  std::function<void()> on_step = [] {};
  /// Called with each call to a worker.
  std::function<void(const std::string& host, const HttpCall& call)>
      on_worker_call;
  /// Returns whether a host can connect to a worker's address.
  std::function<bool(const std::string& host, const std::string& address)>
      can_connect = [](const std::string&, const std::string&) { return true; };
  std::size_t calls_between_hosts = 0;
  std::function<void(const std::string& host, CallId id)> on_cancel =
      [](const std::string&, CallId) {};
  /// Called with each response to a caller: its head, body and end.
  std::function<void(const Action& action)> on_reply;

 private:
  void Apply(const std::string& host, Actions actions) {
    for (Action& action : actions) {
      if (auto* call = std::get_if<HttpCall>(&action)) {
        if (call->url.rfind("http://store/", 0) == 0) {
          this->members.at(host).store_calls.emplace_back(std::move(*call),
                                                          this->now);
        } else if (call->url.rfind("http://host-", 0) == 0) {
          this->CallHost(host, *call);
        } else {
          this->on_worker_call(host, *call);
        }
      } else if (auto* cancel = std::get_if<HttpCancel>(&action)) {
        this->Cancel(host, cancel->id);
      } else if (auto* send = std::get_if<PeerSend>(&action)) {
        this->Send(host, std::move(*send));
      } else if (const auto* open = std::get_if<HttpPreconnect>(&action)) {
        this->Probe(host, *open);
      } else if (std::holds_alternative<ReplyHead>(action) ||
                 std::holds_alternative<ReplyBody>(action) ||
                 std::holds_alternative<ReplyEnd>(action)) {
        if (!this->ReplyToHost(action)) {
          this->on_reply(action);
        }
      }
    }
  }

  struct HostCall {
    std::string from;
    CallId call;
    std::string to;
  };

  /// Ids of requests between hosts start here, above those of the callers.
  static constexpr std::uint64_t kFirstHostRequest = 1ULL << 40U;

  void Queue(const std::string& host, Event event) {
    const auto found = this->members.find(host);
    if (found != this->members.end()) {
      found->second.events.push_back(std::move(event));
    }
  }

  void Probe(const std::string& host, const HttpPreconnect& open) {
    if (open.id.value != 0) {
      const bool connects = this->can_connect(host, open.address);
      this->Queue(host, HttpDone{open.id, connects ? HttpEnd::kComplete
                                                   : HttpEnd::kNotConnected});
    }
  }

  void CallHost(const std::string& host, const HttpCall& call) {
    const std::string rest = call.url.substr(std::string("http://").size());
    const std::string to = rest.substr(0, rest.find('/'));
    ++this->calls_between_hosts;
    if (this->members.count(to) == 0 || this->members.at(to).is_cut_off ||
        this->members.at(host).is_cut_off) {
      this->Queue(host, HttpDone{call.id, HttpEnd::kNotConnected});
      return;
    }
    CallerRequest request;
    request.id = RequestId{kFirstHostRequest + ++this->last_host_request};
    request.method = call.method;
    request.target = rest.substr(rest.find('/'));
    request.path = request.target;
    request.headers = call.headers;
    request.body = call.body;
    request.source = RequestSource::kHost;
    this->host_calls[request.id.value] = {host, call.id, to};
    this->Queue(to, std::move(request));
  }

  /// @return whether the reply is to another host
  bool ReplyToHost(const Action& action) {
    if (const auto* head = std::get_if<ReplyHead>(&action)) {
      const auto found = this->host_calls.find(head->id.value);
      if (found == this->host_calls.end()) {
        return head->id.value >= kFirstHostRequest;
      }
      this->Queue(found->second.from,
                  HttpHead{found->second.call, head->status, head->headers});
      return true;
    }
    if (const auto* body = std::get_if<ReplyBody>(&action)) {
      const auto found = this->host_calls.find(body->id.value);
      if (found == this->host_calls.end()) {
        return body->id.value >= kFirstHostRequest;
      }
      this->Queue(found->second.from,
                  HttpChunk{found->second.call, body->bytes});
      return true;
    }
    const auto& end = std::get<ReplyEnd>(action);
    const auto found = this->host_calls.find(end.id.value);
    if (found == this->host_calls.end()) {
      return end.id.value >= kFirstHostRequest;
    }
    this->Queue(found->second.from,
                HttpDone{found->second.call,
                         end.abort ? HttpEnd::kCut : HttpEnd::kComplete});
    this->host_calls.erase(found);
    return true;
  }

  void CancelHostCall(const std::string& host, CallId id) {
    const auto found = std::find_if(
        this->host_calls.begin(), this->host_calls.end(), [&](const auto& e) {
          return e.second.from == host && e.second.call == id;
        });
    if (found != this->host_calls.end()) {
      this->Queue(found->second.to,
                  CallerDisconnected{RequestId{found->first}});
      this->host_calls.erase(found);
    }
  }

  void Cancel(const std::string& host, CallId id) {
    this->CancelHostCall(host, id);
    std::vector<std::pair<HttpCall, Instant>>& calls =
        this->members.at(host).store_calls;
    calls.erase(
        std::remove_if(calls.begin(), calls.end(),
                       [id](const auto& each) { return each.first.id == id; }),
        calls.end());
    this->on_cancel(host, id);
  }

  void Send(const std::string& host, PeerSend send) {
    const auto to = this->members.find(send.address);
    const bool arrives =
        to != this->members.end() && !this->members.at(host).is_cut_off &&
        !to->second.is_cut_off && this->random.Fraction() >= this->loss_rate;
    if (arrives) {
      to->second.received.push_back({HostId{host}, std::move(send.bytes)});
    }
  }

  void RespondFromStore(const std::string& name, Member* member) {
    std::vector<std::pair<HttpCall, Instant>> waiting;
    for (auto& [call, sent_at] : std::exchange(member->store_calls, {})) {
      const std::optional<std::string> body =
          member->is_cut_off ? std::nullopt
          : this->store.Execute(call)
              ? "written"
              : this->store.Respond(call.url, this->now - sent_at);
      if (!body.has_value()) {
        waiting.emplace_back(std::move(call), sent_at);
        continue;
      }
      this->Deliver(name, HttpHead{call.id,
                                   body->empty() ? 410 : 200,
                                   {{"era", std::to_string(this->store.era)}}});
      this->Deliver(name, HttpChunk{call.id, *body});
      this->Deliver(name, HttpDone{call.id, HttpEnd::kComplete});
    }
    for (auto& call : waiting) {
      member->store_calls.push_back(std::move(call));
    }
  }

  GatewayCodec codec;
  std::size_t domains;
  std::map<std::uint64_t, HostCall> host_calls;  ///< by the id of the request
  std::uint64_t last_host_request = 0;
};

/// @brief The codec of a fleet with one application service, "app": lookups
/// below /lookup/ may be repeated, orders below /order/ may not.
///
/// A worker's registration is "ADDRESS DOMAIN STARTED_AT". A response has the
/// id of its request in "id", and may name a limit in "limit", a pause in
/// "pause-ms", that it was not run in "not-run", and the rejections that it
/// tolerates in "brittle".
inline GatewayCodec AppServiceCodec() {
  GatewayCodec codec;
  codec.deployment_kind = "deployments";
  codec.deployment_name = "main";
  codec.worker_kind = "workers";
  codec.quarantine_kind = "quarantine";
  codec.ready_path = "/ready";
  codec.deployment = [](const ObjectRecord& record) {
    Deployment deployment;
    deployment.version = std::stoull(record.bytes);
    ForwardingRoute lookups;
    lookups.name = "lookups";
    lookups.host = "fleet";
    lookups.path_prefix = "/lookup/";
    lookups.kind = RouteKind::kIdempotent;
    lookups.services = {{"app", 1.0}};
    lookups.timeout = std::chrono::seconds(4);
    lookups.objective = std::chrono::milliseconds(250);
    lookups.max_attempts = 2;
    lookups.anonymous = true;
    ForwardingRoute orders = lookups;
    orders.name = "orders";
    orders.path_prefix = "/order/";
    orders.kind = RouteKind::kNonIdempotent;
    deployment.routes = {lookups, orders};
    deployment.services = {{"app", std::nullopt}};
    return absl::StatusOr<Deployment>(std::move(deployment));
  };
  codec.worker = [](const ObjectRecord& record) {
    std::istringstream columns(record.bytes);
    WorkerRegistration worker;
    worker.id = UpstreamId{record.name};
    worker.service = "app";
    worker.slots = 6;
    columns >> worker.address >> worker.domain.value >> worker.started_at;
    return absl::StatusOr<WorkerRegistration>(std::move(worker));
  };
  codec.caller_metadata = [](const Headers& headers) {
    CallerMetadata metadata;
    metadata.request_id = *FindHeader(headers, "id");
    return absl::StatusOr<CallerMetadata>(std::move(metadata));
  };
  codec.worker_headers = [](const Headers& headers, const WorkerMetadata&) {
    return headers;
  };
  codec.worker_response = [](const Headers& headers) {
    WorkerResponse response;
    if (const std::string* id = FindHeader(headers, "id")) {
      response.request_id = *id;
      response.is_signed = true;
    }
    response.not_run = FindHeader(headers, "not-run") != nullptr;
    if (const std::string* pause = FindHeader(headers, "pause-ms")) {
      response.retry_after = std::chrono::milliseconds(std::stoul(*pause));
    }
    if (const std::string* rejections = FindHeader(headers, "brittle")) {
      response.max_rejections = std::stod(*rejections);
    }
    if (const std::string* limit = FindHeader(headers, "limit")) {
      response.request_limit = std::stod(*limit);
    }
    return response;
  };
  codec.caller_headers = [](const Headers& headers) { return headers; };
  codec.report_call = [] {
    HttpCall call;
    call.url = "/report";
    return call;
  };
  codec.report = [](const std::string&) -> absl::StatusOr<EngineReport> {
    return EngineReport{};
  };
  return codec;
}

}  // namespace limpetlink
