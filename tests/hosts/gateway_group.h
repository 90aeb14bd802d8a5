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
    bool is_cut_off = false;  ///< from the other hosts and the store
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
        } else {
          this->on_worker_call(host, *call);
        }
      } else if (auto* cancel = std::get_if<HttpCancel>(&action)) {
        this->Cancel(host, cancel->id);
      } else if (auto* send = std::get_if<PeerSend>(&action)) {
        this->Send(host, std::move(*send));
      } else if (std::holds_alternative<ReplyHead>(action) ||
                 std::holds_alternative<ReplyBody>(action) ||
                 std::holds_alternative<ReplyEnd>(action)) {
        this->on_reply(action);
      }
    }
  }

  void Cancel(const std::string& host, CallId id) {
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
};

/// @brief The codec of a fleet with one application service, "app": lookups
/// below /lookup/ may be repeated, orders below /order/ may not.
///
/// A worker's registration is "ADDRESS DOMAIN STARTED_AT". A response has the
/// id of its request in "id", and may name a limit in "limit".
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
