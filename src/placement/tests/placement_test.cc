#include "placement/placement.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>

#include "metadata_store/tests/fake_platform.h"

namespace limpetlink {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kSlice = milliseconds(50);
constexpr Duration kLoadTime = seconds(4);

/// @brief An engine that takes orders.
struct FakeEngine {
  bool checks = true;
  std::string version = "v1";
  std::string loading;  ///< version being loaded
  Instant loaded_at = kNever;
  std::uint64_t fence = 0;
  std::string order_id;
  std::vector<std::uint64_t> fences;  ///< of the orders that it took
};

/// @brief One host that may hold the lease.
struct FakeHost {
  std::unique_ptr<MetadataStoreClient> client;
  std::unique_ptr<Lease> lease;
  std::unique_ptr<PlacementController> controller;
  Instant paused_until{};
  std::vector<HttpCall> stuck;  ///< orders that left late
  bool delays_orders = false;
};

class PlacementFixture {
 public:
  void Make(std::size_t hosts, std::size_t engines, bool checks) {
    this->document = std::make_shared<FleetDocument>();
    this->document->models.push_back({"choros-model", "v2", {}, 1000});
    for (std::size_t i = 0; i < engines; ++i) {
      const std::string id = "worker-" + std::to_string(i);
      const std::string url = "http://" + id + ":1";
      this->document->upstreams.push_back(
          {UpstreamId{id}, UpstreamKind::kEngine, "choros-model", url,
           FailureDomainId{"attica-a"}, checks});
      this->engines[id].checks = checks;
    }
    for (std::size_t i = 0; i < hosts; ++i) {
      this->AddHost("entry-" + std::to_string(i));
    }
  }

  void AddHost(const std::string& name) {
    const auto next_call = [this] { return CallId{++this->last_call}; };
    FakeHost host;
    host.client = std::make_unique<MetadataStoreClient>(
        MetadataStoreSettings{"http://platform:1", {50, 50, 50, 50}},
        next_call);
    LeaseSettings lease;
    lease.name = "placement";
    lease.holder = name;
    host.lease = std::make_unique<Lease>(lease, host.client.get());
    PlacementSettings settings;
    settings.platform_url = "http://platform:1";
    host.controller = std::make_unique<PlacementController>(
        settings, WantedOfModel, host.lease.get(), next_call);
    host.lease->Start(this->now);
    host.controller->Configure(this->now, this->document);
    this->hosts.push_back(std::move(host));
  }

  void Run(Duration span) {
    const Instant end = this->now + span;
    for (; this->now < end; this->now += kSlice) {
      for (auto& [id, engine] : this->engines) {
        this->StepEngine(&engine);
      }
      for (FakeHost& host : this->hosts) {
        if (host.paused_until <= this->now) {
          this->Step(&host);
        }
      }
      this->most_loading = std::max(this->most_loading, this->CountLoading());
    }
  }

  void StepEngine(FakeEngine* engine) const {
    if (engine->loaded_at <= this->now) {
      engine->version = engine->loading;
      engine->loaded_at = kNever;
    }
  }

  void Step(FakeHost* host) {
    host->lease->Tick(this->now);
    host->controller->Tick(this->now);
    host->client->Tick(this->now);
    Actions actions = host->client->TakeActions();
    Actions more = host->controller->TakeActions();
    std::move(more.begin(), more.end(), std::back_inserter(actions));
    for (const Action& action : actions) {
      if (const auto* call = std::get_if<HttpCall>(&action)) {
        this->Carry(host, *call);
      }
    }
    for (const StoreResult& result : host->client->TakeResults()) {
      host->lease->OnPlatform(this->now, result);
    }
  }

  void Carry(FakeHost* host, const HttpCall& call) {
    const bool order = call.method == "POST";
    if (order && host->delays_orders) {
      host->stuck.push_back(call);
      return;
    }
    const auto answer = this->Serve(call);
    if (order && this->lose_order_answers) {
      this->Give(host, HttpDone{call.id, HttpEnd::kCut});
      return;
    }
    for (const Event& event : testing::ToEvents(call.id, answer)) {
      this->Give(host, event);
    }
  }

  void Give(FakeHost* host, const Event& event) const {
    if (const auto* head = std::get_if<HttpHead>(&event)) {
      (void)(host->client->OnHead(this->now, *head) ||
             host->controller->OnHead(this->now, *head));
    } else if (const auto* chunk = std::get_if<HttpChunk>(&event)) {
      (void)(host->client->OnChunk(this->now, *chunk) ||
             host->controller->OnChunk(this->now, *chunk));
    } else if (const auto* done = std::get_if<HttpDone>(&event)) {
      (void)(host->client->OnDone(this->now, *done) ||
             host->controller->OnDone(this->now, *done));
    }
  }

  testing::FakePlatform::Response Serve(const HttpCall& call) {
    if (call.url.find("/v1/weights/") != std::string::npos) {
      ++this->weight_calls;
      return {this->weights_status, 0, ""};
    }
    const std::string id = call.url.substr(7, call.url.find(':', 7) - 7);
    const auto found = this->engines.find(id);
    if (found == this->engines.end()) {
      return this->platform.Serve(call);
    }
    return call.method == "POST" ? this->TakeOrder(&found->second, call.body)
                                 : Report(found->second);
  }

  testing::FakePlatform::Response TakeOrder(FakeEngine* engine,
                                            const std::string& body) const {
    const Json order = Json::parse(body);
    const auto fence = order["fence"].get<std::uint64_t>();
    if (engine->checks && fence < engine->fence) {
      return {409, 0, Json{{"fence", engine->fence}}.dump()};
    }
    engine->fence = std::max(engine->fence, fence);
    engine->fences.push_back(fence);
    engine->order_id = order["order_id"];
    engine->loading = order["wanted"]["version"];
    engine->loaded_at = this->now + kLoadTime;
    return {202, 0, ""};
  }

  static testing::FakePlatform::Response Report(const FakeEngine& engine) {
    const bool loading = engine.loaded_at != kNever;
    const Json report = {{"model", "choros-model"},
                         {"version", engine.version},
                         {"adapters", Json::array()},
                         {"role", "serve"},
                         {"draining", false},
                         {"fence", engine.fence},
                         {"order_id", engine.order_id},
                         {"order_state", loading ? "loading" : "done"}};
    return {200, 0, report.dump()};
  }

  std::size_t CountLoading() const {
    return static_cast<std::size_t>(std::count_if(
        this->engines.begin(), this->engines.end(),
        [](const auto& row) { return row.second.loaded_at != kNever; }));
  }

  std::size_t CountAt(const std::string& version) const {
    return static_cast<std::size_t>(std::count_if(
        this->engines.begin(), this->engines.end(),
        [&version](const auto& row) { return row.second.version == version; }));
  }

  std::shared_ptr<FleetDocument> document;
  testing::FakePlatform platform;
  std::map<std::string, FakeEngine> engines;
  std::deque<FakeHost> hosts;
  std::uint64_t last_call = 0;
  int weights_status = 200;
  int weight_calls = 0;
  bool lose_order_answers = false;
  std::size_t most_loading = 0;
  Instant now{seconds(1000)};
};

TEST_CASE_METHOD(PlacementFixture,
                 "placement, a new version is wanted, every engine is brought "
                 "to it with one order and a quarter of them at a time") {
  this->Make(2, 12, true);
  SECTION("answers arrive") {}
  SECTION("answers to orders are lost") { this->lose_order_answers = true; }
  this->Run(seconds(120));
  CHECK(this->CountAt("v2") == 12);
  CHECK(this->most_loading <= 3);
  for (const auto& [id, engine] : this->engines) {
    CHECK(engine.fences.size() == 1);
  }
  CHECK(this->weight_calls <= 3);
  CHECK((this->hosts[0].controller->Settled() ||
         this->hosts[1].controller->Settled()));
}

TEST_CASE_METHOD(PlacementFixture,
                 "placement, weight store throttles or lacks the version, no "
                 "engine is ordered to load it") {
  this->Make(1, 4, true);
  SECTION("throttles") { this->weights_status = 429; }
  SECTION("lacks the version") { this->weights_status = 404; }
  this->Run(seconds(30));
  CHECK(this->CountAt("v1") == 4);
  CHECK(this->hosts[0].controller->Counters().orders == 0);
  CHECK(this->weight_calls <= 16);
  this->weights_status = 200;
  this->Run(seconds(100));
  CHECK(this->CountAt("v2") == 4);
}

TEST_CASE_METHOD(PlacementFixture,
                 "placement, engines ignore fencing numbers, a new holder "
                 "waits the old lease and the longest order out") {
  this->Make(1, 4, false);
  this->Run(seconds(30));
  CHECK(this->hosts[0].controller->Counters().orders == 0);
  this->Run(seconds(90));
  CHECK(this->CountAt("v2") == 4);
}

TEST_CASE(
    "placement, holder paused with orders on their way, cannot undo what "
    "a later holder brought about") {
  for (const bool checks : {true, false}) {
    PlacementFixture run;
    run.Make(1, 4, checks);
    FakeHost& old = run.hosts[0];
    old.delays_orders = true;
    while (old.stuck.empty()) {
      run.Run(kSlice);
    }
    old.paused_until = run.now + seconds(600);
    run.document = std::make_shared<FleetDocument>(*run.document);
    run.document->models[0].version = "v3";
    run.AddHost("entry-late");
    run.Run(seconds(checks ? 60 : 20));
    for (const HttpCall& call : old.stuck) {
      run.Serve(call);  // the old holder's order arrives at last
    }
    run.Run(seconds(160));
    INFO("checks fencing: " << checks);
    CHECK(run.CountAt("v3") == 4);
    for (const auto& [id, engine] : run.engines) {
      CHECK(std::is_sorted(engine.fences.begin(), engine.fences.end()));
    }
    old.paused_until = run.now;
    old.delays_orders = false;
    run.Run(seconds(60));
    CHECK(run.CountAt("v3") == 4);
    CHECK_FALSE(old.lease->Held(run.now));
  }
}

TEST_CASE("engine report, malformed text, is nothing") {
  CHECK_FALSE(ReadEngineReport("").has_value());
  CHECK_FALSE(ReadEngineReport("[1]").has_value());
  CHECK_FALSE(ReadEngineReport(R"({"model":1,"version":"v"})").has_value());
  CHECK(ReadEngineReport(R"({"model":"m","version":"v","adapters":["b","a"]})")
            ->state.adapters == std::vector<std::string>{"a", "b"});
}

}  // namespace
}  // namespace limpetlink
