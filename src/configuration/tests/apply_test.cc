#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>

#include "configuration/configuration.h"
#include "metadata_store/tests/fake_platform.h"

namespace limpetlink {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::CallOutcome;
using testing::FakePlatform;

constexpr Duration kLateDelay = seconds(7);

/// @brief Runs one operator's change against the fake platform, where any call
/// may fail.
class ApplyFixture {
 public:
  ApplyFixture() {
    this->platform.objects["fleet/today"] = {4, Text("base")};
    this->client = std::make_unique<MetadataStoreClient>(
        MetadataStoreSettings{"http://10.0.0.9:80", {100, 100, 100, 100}},
        [this] { return CallId{++this->last_call}; });
  }

  static std::string Text(const std::string& change_id) {
    return *StampChange(R"({"name":"today","weights":{}})", change_id, "ann");
  }

  /// @brief Applies another operator's change with the same sequence of writes.
  void ApplyOtherChange(const std::string& change_id) {
    const auto current = this->platform.objects["fleet/today"];
    const std::string own = nlohmann::json::parse(current.bytes)["change_id"];
    const std::string record = nlohmann::json{{"change_id", own}}.dump();
    const std::string key = "fleet-history/today%2F" +
                            HistoryName("today", current.version).substr(6);
    this->platform.objects.emplace(key, FakePlatform::Object{1, record});
    this->platform.objects["fleet/today"] = {current.version + 1,
                                             Text(change_id)};
  }

  ApplyResult Run() {
    FleetChange change;
    change.fleet_name = "today";
    change.change_id = "mine";
    change.base_version = 4;
    change.base_text = Text("base");
    change.text = Text("mine");
    FleetChangeOperation operation(this->client.get(), change);
    operation.Start(this->now);
    while (!operation.Result()) {
      this->ExchangeMessages(&operation);
      this->now += milliseconds(10);
      this->client->Tick(this->now);
      operation.Tick(this->now);
    }
    this->DeliverLateCalls(this->now + kLateDelay);  // all remaining calls
    return *operation.Result();
  }

  void ExchangeMessages(FleetChangeOperation* operation) {
    this->DeliverLateCalls(this->now);
    for (const Action& action : this->client->TakeActions()) {
      if (const auto* call = std::get_if<HttpCall>(&action)) {
        this->Serve(*call);
      }
    }
    for (const StoreResult& result : this->client->TakeResults()) {
      operation->OnStoreResult(this->now, result);
    }
  }

  void Serve(const HttpCall& call) {
    const int number = this->calls++;
    const CallOutcome outcome = number == this->failing_call
                                    ? this->failing_outcome
                                    : CallOutcome::kServed;
    const bool late = outcome == CallOutcome::kHangs;
    if (late) {
      this->late_calls.emplace_back(this->now + kLateDelay, call);
      this->client->OnDone(this->now, {call.id, HttpEnd::kCut});
    } else if (outcome == CallOutcome::kNotConnected) {
      this->client->OnDone(this->now, {call.id, HttpEnd::kNotConnected});
    } else if (outcome == CallOutcome::kOutage ||
               outcome == CallOutcome::kThrottled) {
      this->Respond(call, {outcome == CallOutcome::kOutage ? 503 : 429, 0, ""});
    } else {
      const auto response = this->platform.Serve(call);
      this->RecordOwnVersion();
      if (outcome == CallOutcome::kResponseLost) {
        this->client->OnDone(this->now, {call.id, HttpEnd::kCut});
      } else {
        this->Respond(call, response);
      }
    }
    if (number == this->other_after) {
      for (int i = 0; i < this->other_writes; ++i) {
        this->ApplyOtherChange("other-" + std::to_string(i));
      }
    }
  }

  void Respond(const HttpCall& call, const FakePlatform::Response& response) {
    for (const Event& event : testing::ToEvents(call.id, response)) {
      if (const auto* head = std::get_if<HttpHead>(&event)) {
        this->client->OnHead(this->now, *head);
      } else if (const auto* chunk = std::get_if<HttpChunk>(&event)) {
        this->client->OnChunk(this->now, *chunk);
      } else {
        this->client->OnDone(this->now, std::get<HttpDone>(event));
      }
    }
  }

  void DeliverLateCalls(Instant until) {
    for (auto& [at, call] : this->late_calls) {
      if (at <= until && !call.url.empty()) {
        this->platform.Serve(call);
        this->RecordOwnVersion();
        call.url.clear();
      }
    }
    const auto is_delivered = [](const auto& late) {
      return late.second.url.empty();
    };
    this->late_calls.erase(std::remove_if(this->late_calls.begin(),
                                          this->late_calls.end(), is_delivered),
                           this->late_calls.end());
  }

  /// @brief Records every version that the change under test produced.
  void RecordOwnVersion() {
    const auto& object = this->platform.objects["fleet/today"];
    const auto document = nlohmann::json::parse(object.bytes);
    if (document["change_id"] == "mine") {
      this->own_versions.insert(object.version);
    }
  }

  FakePlatform platform;
  std::unique_ptr<MetadataStoreClient> client;
  std::uint64_t last_call = 0;
  int calls = 0;
  int failing_call = -1;
  CallOutcome failing_outcome = CallOutcome::kServed;
  int other_after = -1;
  int other_writes = 1;
  std::vector<std::pair<Instant, HttpCall>> late_calls;
  std::set<std::uint64_t> own_versions;
  Instant now{seconds(50)};
};

TEST_CASE_METHOD(ApplyFixture, "fleet change, no failures, is applied once") {
  const ApplyResult result = this->Run();
  CHECK(result.outcome == ApplyOutcome::kApplied);
  CHECK(result.version == 5);
  CHECK(this->platform.objects.count("fleet-history/today%2F000000000004") ==
        1);
}

TEST_CASE_METHOD(ApplyFixture,
                 "fleet change, another change applied first, ends as a "
                 "conflict with the difference") {
  this->ApplyOtherChange("other");
  const ApplyResult result = this->Run();
  CHECK(result.outcome == ApplyOutcome::kConflict);
  CHECK(result.current_version == 5);
  CHECK(result.difference.find("other") != std::string::npos);
  CHECK(this->own_versions.empty());
}

TEST_CASE(
    "fleet change, every failure at every call and other changes after every "
    "call, reports its real outcome") {
  constexpr CallOutcome kOutcomes[] = {
      CallOutcome::kServed, CallOutcome::kResponseLost,
      CallOutcome::kHangs,  CallOutcome::kNotConnected,
      CallOutcome::kOutage, CallOutcome::kThrottled};
  int unknown = 0;
  for (const CallOutcome outcome : kOutcomes) {
    for (int failing = 0; failing < 6; ++failing) {
      for (int other = -1; other < 6; ++other) {
        for (int writes = 1; writes <= 3; ++writes) {
          ApplyFixture run;
          run.failing_call = failing;
          run.failing_outcome = outcome;
          run.other_after = other;
          run.other_writes = writes;
          const ApplyResult result = run.Run();
          INFO("outcome " << static_cast<int>(outcome) << " at " << failing
                          << ", other after " << other << " x" << writes);
          REQUIRE(run.own_versions.size() <= 1);
          if (result.outcome == ApplyOutcome::kApplied) {
            REQUIRE(run.own_versions.count(result.version) == 1);
          } else if (result.outcome != ApplyOutcome::kUnknown) {
            REQUIRE(run.own_versions.empty());
          }
          unknown += result.outcome == ApplyOutcome::kUnknown ? 1 : 0;
        }
      }
    }
  }
  CHECK(unknown == 0);
}

TEST_CASE_METHOD(ApplyFixture,
                 "fleet change, applied again with the same change id, finds "
                 "its own earlier success") {
  REQUIRE(this->Run().outcome == ApplyOutcome::kApplied);
  SECTION("still the newest") { CHECK(this->Run().version == 5); }
  SECTION("overwritten by others") {
    this->ApplyOtherChange("other-1");
    this->ApplyOtherChange("other-2");
    const ApplyResult again = this->Run();
    CHECK(again.outcome == ApplyOutcome::kApplied);
    CHECK(again.version == 5);
    CHECK(again.current_version == 7);
  }
}

TEST_CASE_METHOD(ApplyFixture,
                 "fleet change, platform unavailable throughout, ends in time "
                 "as not applied") {
  const Instant began = this->now;
  this->client = std::make_unique<MetadataStoreClient>(
      MetadataStoreSettings{"http://10.0.0.9:80", {0, 0, 0, 0}},
      [this] { return CallId{++this->last_call}; });
  CHECK(this->Run().outcome == ApplyOutcome::kNotApplied);
  CHECK(this->now - began <= seconds(31));
}

}  // namespace
}  // namespace limpetlink
