#include <catch2/catch.hpp>

#include "metadata_store/metadata_store.h"
#include "metadata_store/tests/fake_platform.h"

namespace limpetlink {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ClientFixture {
 public:
  ClientFixture()
      : client({"http://10.0.0.1:80", CallBudget{}},
               [this] { return CallId{++this->last_call}; }) {}

  std::vector<HttpCall> Calls() {
    std::vector<HttpCall> calls;
    for (const Action& action : this->client.TakeActions()) {
      if (const auto* call = std::get_if<HttpCall>(&action)) {
        calls.push_back(*call);
      }
    }
    return calls;
  }

  void Respond(const HttpCall& call,
               const testing::FakePlatform::Response& response) {
    for (const Event& event : testing::ToEvents(call.id, response)) {
      if (const auto* head = std::get_if<HttpHead>(&event)) {
        REQUIRE(this->client.OnHead(this->now, *head));
      } else if (const auto* chunk = std::get_if<HttpChunk>(&event)) {
        REQUIRE(this->client.OnChunk(this->now, *chunk));
      } else if (const auto* done = std::get_if<HttpDone>(&event)) {
        REQUIRE(this->client.OnDone(this->now, *done));
      }
    }
  }

  StoreResult SingleResult() {
    const auto results = this->client.TakeResults();
    REQUIRE(results.size() == 1);
    return results.front();
  }

  /// @brief Advances the clock from wakeup to wakeup without responses.
  void AdvanceTime(Duration span) {
    const Instant end = this->now + span;
    while (this->client.NextWakeup() <= end) {
      this->now = std::max(this->now, this->client.NextWakeup());
      this->client.Tick(this->now);
    }
    this->now = end;
  }

  std::uint64_t last_call = 0;
  MetadataStoreClient client;
  Instant now{seconds(100)};
};

TEST_CASE_METHOD(ClientFixture,
                 "platform client, write with a lost response, ends as unknown "
                 "and is not retried") {
  this->client.Put(this->now, {"fleet", "a/b"}, "x",
                   WriteCondition::IfVersion(3));
  const auto calls = this->Calls();
  REQUIRE(calls.size() == 1);
  CHECK(calls[0].url == "http://10.0.0.1:80/v1/objects/fleet/a%2Fb");
  CHECK(*FindHeader(calls[0].headers, "If-Match") == "\"3\"");
  SECTION("connection lost") {
    this->client.OnDone(this->now, {calls[0].id, HttpEnd::kCut});
  }
  SECTION("no response arrives") { this->AdvanceTime(seconds(6)); }
  SECTION("gateway error") { this->Respond(calls[0], {502, 0, ""}); }
  CHECK(this->SingleResult().status == StoreStatus::kUnknown);
  CHECK(this->Calls().empty());
}

TEST_CASE_METHOD(ClientFixture,
                 "platform client, write that is known not to have run, is "
                 "retried within its time limit") {
  this->client.Put(this->now, {"fleet", "a"}, "x", WriteCondition::IfAbsent());
  const auto first = this->Calls();
  REQUIRE(first.size() == 1);
  SECTION("no connection") {
    this->client.OnDone(this->now, {first[0].id, HttpEnd::kNotConnected});
  }
  SECTION("throttled") { this->Respond(first[0], {429, 0, ""}); }
  SECTION("outage") { this->Respond(first[0], {503, 0, ""}); }
  this->AdvanceTime(milliseconds(1500));
  const auto second = this->Calls();
  REQUIRE(second.size() == 1);
  this->Respond(second[0], {201, 1, ""});
  const StoreResult result = this->SingleResult();
  CHECK(result.status == StoreStatus::kOk);
  CHECK(result.version == 1);
}

TEST_CASE_METHOD(ClientFixture,
                 "platform client, calls beyond the budget, are queued and end "
                 "as throttled without being sent") {
  for (int i = 0; i < 60; ++i) {
    this->client.Get(this->now, {"fleet", std::to_string(i)});
  }
  std::size_t sent = 0;
  std::size_t throttled = 0;
  const Instant end = this->now + seconds(6);
  while (this->now < end) {
    for (const HttpCall& call : this->Calls()) {
      ++sent;
      this->Respond(call, {404, 0, ""});
    }
    this->AdvanceTime(milliseconds(50));
    for (const StoreResult& result : this->client.TakeResults()) {
      throttled += result.status == StoreStatus::kThrottled ? 1 : 0;
    }
  }
  CHECK(sent <= 12 + 5 * 3);  // burst, then 3 per second for 5 s
  CHECK(sent >= 25);
  CHECK(sent + throttled == 60);
}

TEST_CASE_METHOD(ClientFixture,
                 "platform client, outage, every operation fails immediately "
                 "except for one probe") {
  for (int i = 0; i < 4; ++i) {
    this->client.Watch(this->now, {"fleet", "a"}, 1, seconds(5));
    for (const HttpCall& call : this->Calls()) {
      this->client.OnDone(this->now, {call.id, HttpEnd::kNotConnected});
    }
  }
  this->client.TakeResults();
  REQUIRE(this->client.Health().mode == StoreMode::kOutage);
  this->client.Get(this->now, {"fleet", "a"});
  CHECK(this->Calls().empty());
  const StoreResult failed = this->SingleResult();
  CHECK(failed.status == StoreStatus::kUnavailable);
  CHECK(failed.retry_after > Duration{0});
  this->now += failed.retry_after;
  this->client.Get(this->now, {"fleet", "a"});
  const auto probe = this->Calls();
  REQUIRE(probe.size() == 1);
  this->Respond(probe[0], {200, 7, "x"});
  CHECK(this->SingleResult().version == 7);
  CHECK(this->client.Health().mode == StoreMode::kNormal);
  CHECK(this->client.Health().Staleness(this->now + seconds(2)) == seconds(2));
}

TEST_CASE_METHOD(ClientFixture,
                 "platform client, malformed responses, end as unavailable "
                 "without affecting other operations") {
  this->client.Hosts(this->now);
  this->client.List(this->now, "fleet", "", "", 10);
  this->client.Get(this->now, {"fleet", "a"});
  for (const HttpCall& call : this->Calls()) {
    this->Respond(call, {200, 0, "{\"hosts\":[3],\"objects\":[{}]}"});
  }
  const auto results = this->client.TakeResults();
  REQUIRE(results.size() == 3);
  for (const StoreResult& result : results) {
    CHECK(result.status == StoreStatus::kUnavailable);
  }
}

TEST_CASE(
    "call budget, any number of hosts, adds up to at most 80% of the "
    "limits") {
  for (const std::size_t hosts : {6U, 60U, 550U}) {
    const CallBudget budget = CallBudgetPerHost({}, hosts);
    const auto count = static_cast<double>(hosts);
    CHECK(budget.reads_per_second * count <= 0.8 * 2000.0 + 1e-6);
    CHECK(budget.writes_per_second * count <= 0.8 * 300.0 + 1e-6);
  }
}

}  // namespace
}  // namespace limpetlink
