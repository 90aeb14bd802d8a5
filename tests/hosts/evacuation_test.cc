// Entry hosts and evacuations of failure domains in virtual time: which workers
// get requests after an evacuation was accepted.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/gateway.h"
#include "tests/hosts/fake_store.h"

namespace limpetlink {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(10);
constexpr std::size_t kDomains = 6;
constexpr Duration kMaxEvacuationDelay = seconds(5);

class EvacuationFixture {
 public:
  struct Member {
    std::unique_ptr<GatewayHost> host;
    std::vector<std::pair<HttpCall, Instant>> store_calls;
    std::vector<PeerFrame> received;
    bool is_cut_off = false;  ///< from the store
  };

  EvacuationFixture() {
    this->store.Write("deployments", "main", "1");
    for (std::size_t i = 0; i < 2 * kDomains; ++i) {
      this->store.Write("workers", "worker-" + std::to_string(i),
                        std::to_string(i % kDomains));
    }
  }

  static GatewayCodec Codec() {
    GatewayCodec codec;
    codec.deployment_kind = "deployments";
    codec.deployment_name = "main";
    codec.worker_kind = "workers";
    codec.evacuation_kind = "evacuations";
    codec.ready_path = "/ready";
    codec.deployment = [](const ObjectRecord& record) {
      Deployment deployment;
      deployment.version = std::stoull(record.bytes);
      ForwardingRoute route;
      route.name = "orders";
      route.host = "fleet";
      route.path_prefix = "/order/";
      route.services = {{"app", 1.0}};
      route.timeout = seconds(4);
      route.anonymous = true;
      deployment.routes = {route};
      deployment.services = {{"app", std::nullopt}};
      return absl::StatusOr<Deployment>(std::move(deployment));
    };
    codec.worker = [](const ObjectRecord& record) {
      WorkerRegistration worker;
      worker.id = UpstreamId{record.name};
      worker.service = "app";
      worker.address = record.name + ":80";
      worker.domain = FailureDomainId{record.bytes};
      worker.slots = 6;
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
      response.request_id = *FindHeader(headers, "id");
      response.is_signed = true;
      return response;
    };
    codec.caller_headers = [](const Headers& headers) { return headers; };
    return codec;
  }

  void Start(std::size_t number) {
    const std::string name = "host-" + std::to_string(10000 + number);
    GatewaySettings settings;
    settings.self = HostId{name};
    settings.failure_domain =
        FailureDomainId{std::to_string(number % kDomains)};
    for (std::size_t i = 0; i < kDomains; ++i) {
      settings.region_of[std::to_string(i)] = std::to_string(i % 3);
    }
    settings.store.url = "http://store";
    settings.store.dialect = FakeStore::Dialect();
    settings.store.budget = {1000, 1000, 1000, 1000};
    settings.limits.max_evacuation_delay = kMaxEvacuationDelay;
    settings.neighbour_address = name;
    settings.seeds = {"host-10000", "host-10001", "host-10002"};
    Member& member = this->members[name];
    member = Member{};
    member.host = std::make_unique<GatewayHost>(settings, Codec());
    this->Apply(name, member.host->Start(this->now));
  }

  void Apply(const std::string& name, Actions actions) {
    Member& member = this->members.at(name);
    for (Action& action : actions) {
      if (auto* call = std::get_if<HttpCall>(&action)) {
        if (call->url.rfind("http://store/", 0) == 0) {
          member.store_calls.emplace_back(std::move(*call), this->now);
          continue;
        }
        const std::string rest =
            call->url.substr(std::string("http://").size());
        const std::string worker = rest.substr(0, rest.find(':'));
        ++this->requests[this->store.objects.at("workers").at(worker).bytes];
        this->answers.emplace_back(name, std::move(*call));
      } else if (auto* cancel = std::get_if<HttpCancel>(&action)) {
        auto& calls = member.store_calls;
        calls.erase(std::remove_if(calls.begin(), calls.end(),
                                   [cancel](const auto& each) {
                                     return each.first.id == cancel->id;
                                   }),
                    calls.end());
      } else if (auto* send = std::get_if<PeerSend>(&action)) {
        const auto to = this->members.find(send->address);
        if (to != this->members.end()) {
          to->second.received.push_back({HostId{name}, std::move(send->bytes)});
        }
      } else if (auto* head = std::get_if<ReplyHead>(&action)) {
        ++this->statuses[head->status];
      }
    }
  }

  void Deliver(const std::string& name, const Event& event) {
    this->Apply(name, this->members.at(name).host->Step(this->now, event));
  }

  /// @brief Sends one request to each host; workers answer at once.
  void SendRequests() {
    std::vector<std::string> names;
    for (const auto& [name, member] : this->members) {
      names.push_back(name);
    }
    for (const std::string& name : names) {
      CallerRequest request;
      request.id = RequestId{++this->last_request};
      request.method = "POST";
      request.path = "/order/1";
      request.target = request.path;
      request.headers = {{"Host", "fleet"},
                         {"id", std::to_string(this->last_request)}};
      this->Deliver(name, request);
    }
    for (auto& [name, call] : std::exchange(this->answers, {})) {
      this->Deliver(name, HttpHead{call.id, 200, call.headers});
      this->Deliver(name, HttpDone{call.id, HttpEnd::kComplete});
    }
  }

  void RespondFromStore(const std::string& name, Member* member) {
    std::vector<std::pair<HttpCall, Instant>> waiting;
    for (auto& [call, sent_at] : std::exchange(member->store_calls, {})) {
      const std::optional<std::string> body =
          member->is_cut_off
              ? std::nullopt
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

  void Advance(Duration span) {
    const Instant end = this->now + span;
    while (this->now < end) {
      this->now += kStep;
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

  /// @return requests per failure domain of some rounds over all hosts
  std::map<std::string, int> Sample() {
    this->requests.clear();
    for (int i = 0; i < 5; ++i) {
      this->SendRequests();
      this->Advance(milliseconds(50));
    }
    return this->requests;
  }

  FakeStore store;
  std::map<std::string, Member> members;
  std::vector<std::pair<std::string, HttpCall>> answers;
  std::map<std::string, int> requests;  ///< by the worker's failure domain
  std::map<int, int> statuses;
  std::uint64_t last_request = 0;
  Instant now{seconds(1000)};
};

TEST_CASE_METHOD(EvacuationFixture,
                 "evacuation, accepted and removed, ends and resumes requests "
                 "to the domain's workers on all hosts",
                 "[gateway][scale]") {
  for (std::size_t i = 0; i < 48; ++i) {
    this->Start(i);
  }
  this->Advance(seconds(8));
  REQUIRE(this->Sample()["1"] > 0);
  // Some hosts can't read the store themselves.
  for (const char* name : {"host-10000", "host-10013", "host-10014"}) {
    this->members.at(name).is_cut_off = true;
  }
  this->store.Write("evacuations", "1", "{}");
  this->store.Write("evacuations", "nowhere", "{}");
  this->Advance(seconds(1));
  CHECK(this->Sample()["1"] == 0);
  CHECK(this->statuses[503] == 0);
  SECTION("a host starts later") {
    this->Start(49);  // in the evacuated domain
    this->Advance(seconds(1));
    CHECK(this->members.at("host-10049").host->Ready(this->now));
    CHECK(this->Sample()["1"] == 0);
  }
  SECTION("all hosts start again") {
    for (std::size_t i = 0; i < 48; ++i) {
      this->Start(i);
    }
    this->Advance(seconds(1));
    CHECK(this->Sample()["1"] == 0);
  }
  SECTION("two domains at once") {
    this->store.Write("evacuations", "4", "{}");
    this->Advance(seconds(1));
    CHECK(this->Sample()["4"] == 0);
    CHECK(this->Sample()["1"] == 0);
  }
  this->store.Delete("evacuations", "1");
  this->Advance(seconds(1));
  CHECK(this->Sample()["1"] > 0);
}

TEST_CASE_METHOD(EvacuationFixture,
                 "evacuation, of all domains, requests are refused at once",
                 "[gateway][scale]") {
  for (std::size_t i = 0; i < 6; ++i) {
    this->Start(i);
  }
  this->Advance(seconds(8));
  for (std::size_t i = 0; i < kDomains; ++i) {
    this->store.Write("evacuations", std::to_string(i), "{}");
  }
  this->Advance(seconds(1));
  this->statuses.clear();
  CHECK(this->Sample().empty());
  CHECK(this->statuses == std::map<int, int>{{503, 30}});
}

}  // namespace
}  // namespace limpetlink
