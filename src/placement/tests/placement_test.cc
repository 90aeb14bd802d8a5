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

/// @brief An engine that executes commands.
struct FakeEngine {
  bool checks_fencing = true;
  std::string version = "v1";
  std::string loading;  ///< version being loaded
  Instant load_done_at = kNever;
  std::uint64_t fence = 0;
  std::string command_id;
  std::vector<std::uint64_t> fences;  ///< of the accepted commands
};

/// @brief A host that competes for the lease.
struct FakeHost {
  std::unique_ptr<MetadataStoreClient> client;
  std::unique_ptr<Lease> lease;
  std::unique_ptr<PlacementController> controller;
  Instant paused_until{};
  std::vector<HttpCall> delayed;  ///< commands held back by the test
  bool delays_commands = false;
};

class PlacementFixture {
 public:
  void Build(std::size_t hosts, std::size_t engines, bool checks_fencing) {
    this->document = std::make_shared<FleetDocument>();
    this->document->models.push_back({"choros-model", "v2", {}, 1000});
    for (std::size_t i = 0; i < engines; ++i) {
      const std::string id = "worker-" + std::to_string(i);
      const std::string url = "http://" + id + ":1";
      this->document->upstreams.push_back(
          {UpstreamId{id}, UpstreamKind::kEngine, "choros-model", url,
           FailureDomainId{"attica-a"}, checks_fencing});
      this->engines[id].checks_fencing = checks_fencing;
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
        settings, DesiredStateForModel, host.lease.get(), next_call);
    host.lease->Start(this->now);
    host.controller->Configure(this->now, this->document);
    this->hosts.push_back(std::move(host));
  }

  void AdvanceTime(Duration span) {
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
      this->max_loading = std::max(this->max_loading, this->CountLoading());
    }
  }

  void StepEngine(FakeEngine* engine) const {
    if (engine->load_done_at <= this->now) {
      engine->version = engine->loading;
      engine->load_done_at = kNever;
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
        this->Execute(host, *call);
      }
    }
    for (const StoreResult& result : host->client->TakeResults()) {
      host->lease->OnStoreResult(this->now, result);
    }
  }

  void Execute(FakeHost* host, const HttpCall& call) {
    const bool command = call.method == "POST";
    if (command && host->delays_commands) {
      host->delayed.push_back(call);
      return;
    }
    const auto response = this->Serve(call);
    if (command && this->lose_command_responses) {
      this->Deliver(host, HttpDone{call.id, HttpEnd::kCut});
      return;
    }
    for (const Event& event : testing::ToEvents(call.id, response)) {
      this->Deliver(host, event);
    }
  }

  void Deliver(FakeHost* host, const Event& event) const {
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
    return call.method == "POST"
               ? this->HandleCommand(&found->second, call.body)
               : Report(found->second);
  }

  testing::FakePlatform::Response HandleCommand(FakeEngine* engine,
                                                const std::string& body) const {
    const Json command = Json::parse(body);
    const auto fence = command["fence"].get<std::uint64_t>();
    if (engine->checks_fencing && fence < engine->fence) {
      return {409, 0, Json{{"fence", engine->fence}}.dump()};
    }
    engine->fence = std::max(engine->fence, fence);
    engine->fences.push_back(fence);
    engine->command_id = command["order_id"];
    engine->loading = command["wanted"]["version"];
    engine->load_done_at = this->now + kLoadTime;
    return {202, 0, ""};
  }

  static testing::FakePlatform::Response Report(const FakeEngine& engine) {
    const bool loading = engine.load_done_at != kNever;
    const Json report = {{"model", "choros-model"},
                         {"version", engine.version},
                         {"adapters", Json::array()},
                         {"role", "serve"},
                         {"draining", false},
                         {"fence", engine.fence},
                         {"order_id", engine.command_id},
                         {"order_state", loading ? "loading" : "done"}};
    return {200, 0, report.dump()};
  }

  std::size_t CountLoading() const {
    return static_cast<std::size_t>(std::count_if(
        this->engines.begin(), this->engines.end(),
        [](const auto& row) { return row.second.load_done_at != kNever; }));
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
  bool lose_command_responses = false;
  std::size_t max_loading = 0;
  Instant now{seconds(1000)};
};

TEST_CASE_METHOD(PlacementFixture,
                 "placement, new desired version, every engine loads it after "
                 "one command, at most a quarter at a time") {
  this->Build(2, 12, true);
  SECTION("responses arrive") {}
  SECTION("responses to commands are lost") {
    this->lose_command_responses = true;
  }
  this->AdvanceTime(seconds(120));
  CHECK(this->CountAt("v2") == 12);
  CHECK(this->max_loading <= 3);
  for (const auto& [id, engine] : this->engines) {
    CHECK(engine.fences.size() == 1);
  }
  CHECK(this->weight_calls <= 3);
  CHECK((this->hosts[0].controller->Converged() ||
         this->hosts[1].controller->Converged()));
}

TEST_CASE_METHOD(PlacementFixture,
                 "placement, weight store throttles or lacks the version, no "
                 "engine receives a command to load it") {
  this->Build(1, 4, true);
  SECTION("throttles") { this->weights_status = 429; }
  SECTION("lacks the version") { this->weights_status = 404; }
  this->AdvanceTime(seconds(30));
  CHECK(this->CountAt("v1") == 4);
  CHECK(this->hosts[0].controller->Counters().commands == 0);
  CHECK(this->weight_calls <= 16);
  this->weights_status = 200;
  this->AdvanceTime(seconds(100));
  CHECK(this->CountAt("v2") == 4);
}

TEST_CASE_METHOD(PlacementFixture,
                 "placement, engines ignore fencing numbers, a new holder "
                 "waits for the old lease and the maximum command delay") {
  this->Build(1, 4, false);
  this->AdvanceTime(seconds(30));
  CHECK(this->hosts[0].controller->Counters().commands == 0);
  this->AdvanceTime(seconds(90));
  CHECK(this->CountAt("v2") == 4);
}

TEST_CASE(
    "placement, holder paused with commands in flight, cannot revert the "
    "changes of a later holder") {
  for (const bool checks_fencing : {true, false}) {
    PlacementFixture fixture;
    fixture.Build(1, 4, checks_fencing);
    FakeHost& old_holder = fixture.hosts[0];
    old_holder.delays_commands = true;
    while (old_holder.delayed.empty()) {
      fixture.AdvanceTime(kSlice);
    }
    old_holder.paused_until = fixture.now + seconds(600);
    fixture.document = std::make_shared<FleetDocument>(*fixture.document);
    fixture.document->models[0].version = "v3";
    fixture.AddHost("entry-late");
    fixture.AdvanceTime(seconds(checks_fencing ? 60 : 20));
    for (const HttpCall& call : old_holder.delayed) {
      fixture.Serve(call);  // the delayed command of the old holder arrives
    }
    fixture.AdvanceTime(seconds(160));
    INFO("checks fencing: " << checks_fencing);
    CHECK(fixture.CountAt("v3") == 4);
    for (const auto& [id, engine] : fixture.engines) {
      CHECK(std::is_sorted(engine.fences.begin(), engine.fences.end()));
    }
    old_holder.paused_until = fixture.now;
    old_holder.delays_commands = false;
    fixture.AdvanceTime(seconds(60));
    CHECK(fixture.CountAt("v3") == 4);
    CHECK_FALSE(old_holder.lease->Held(fixture.now));
  }
}

TEST_CASE("engine report, malformed text, is rejected") {
  CHECK_FALSE(ParseEngineStateReport("").has_value());
  CHECK_FALSE(ParseEngineStateReport("[1]").has_value());
  CHECK_FALSE(
      ParseEngineStateReport(R"({"model":1,"version":"v"})").has_value());
  CHECK(ParseEngineStateReport(
            R"({"model":"m","version":"v","adapters":["b","a"]})")
            ->state.adapters == std::vector<std::string>{"a", "b"});
}

}  // namespace
}  // namespace limpetlink
