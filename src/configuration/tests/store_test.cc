#include <catch2/catch.hpp>

#include "configuration/configuration.h"
#include "metadata_store/tests/fake_platform.h"

namespace limpetlink {
namespace {

using std::chrono::seconds;

/// @brief One store with scripted platform responses.
class StoreFixture {
 public:
  StoreFixture()
      : client({"http://10.0.0.9:80", {50, 50, 50, 50}},
               [this] { return CallId{++this->last_call}; }),
        store(Settings(), &client,
              [](std::string_view) { return absl::OkStatus(); }) {
    const std::vector<HostId> live = {HostId{"entry-1"}, HostId{"entry-2"}};
    this->store.OnHosts(this->now, live, {HostId{"entry-2"}});
    this->store.Start(this->now);
    this->Respond({200, 5, R"({"mark":"v5"})"});
  }

  static ConfigurationSettings Settings() {
    ConfigurationSettings settings;
    settings.self = HostId{"entry-1"};
    settings.fleet_name = "today";
    return settings;
  }

  /// @brief Responds to the pending call, if there is one.
  void Respond(const testing::FakePlatform::Response& response) {
    for (const Action& action : this->client.TakeActions()) {
      const auto* call = std::get_if<HttpCall>(&action);
      if (call == nullptr) {
        continue;
      }
      ++this->response_count;
      for (const Event& event : testing::ToEvents(call->id, response)) {
        if (const auto* head = std::get_if<HttpHead>(&event)) {
          this->client.OnHead(this->now, *head);
        } else if (const auto* chunk = std::get_if<HttpChunk>(&event)) {
          this->client.OnChunk(this->now, *chunk);
        } else {
          this->client.OnDone(this->now, std::get<HttpDone>(event));
        }
      }
    }
    for (const StoreResult& result : this->client.TakeResults()) {
      this->store.OnStoreResult(this->now, result);
    }
  }

  void OfferFromPeer(std::uint64_t version, const std::string& text) {
    ConfigurationDeltas message;
    message.digest = {version, std::nullopt, true};
    DocumentDelta full;
    full.to = version;
    full.bytes = text;
    full.digest = StableHash(text);
    message.deltas.push_back(full);
    this->store.OnPeer(this->now, HostId{"entry-2"},
                       EncodeConfiguration(message));
  }

  std::uint64_t last_call = 0;
  int response_count = 0;
  MetadataStoreClient client;
  ConfigurationStore store;
  Instant now{seconds(100)};
};

TEST_CASE_METHOD(
    StoreFixture,
    "configuration store, older versions from any source, are never applied") {
  REQUIRE(this->store.Version() == 5);
  SECTION("from a peer") {
    this->OfferFromPeer(3, R"({"mark":"v3"})");
    this->OfferFromPeer(5, R"({"mark":"other"})");
  }
  SECTION("from a platform that returns a stale copy") {
    this->response_count = 0;
    this->now += seconds(1);
    this->store.Tick(this->now);
    this->Respond({200, 4, R"({"mark":"v4"})"});
    REQUIRE(this->response_count > 0);
    CHECK(this->store.ConfirmedAge(this->now) >= seconds(1));
  }
  CHECK(this->store.Version() == 5);
  CHECK(this->store.Text() == R"({"mark":"v5"})");
  CHECK(this->store.Counters().applied == 1);
}

TEST_CASE_METHOD(StoreFixture,
                 "configuration store, a platform's response from before a "
                 "freeze arrives first, is ignored") {
  this->now += seconds(1);
  this->store.Tick(this->now);
  this->now += seconds(30);
  this->Respond({204, 0, ""});
  CHECK_FALSE(this->store.Ready());
  CHECK(this->store.ConfirmedAge(this->now) > seconds(30));
}

TEST_CASE_METHOD(StoreFixture,
                 "configuration store, a peer's bytes do not match their "
                 "digest, are not applied") {
  ConfigurationDeltas message;
  message.digest = {6, std::nullopt, true};
  message.deltas.push_back(
      {0, 6, DeltaForm::kFull, 0, 0, R"({"mark":"v6"})", 1});
  this->store.OnPeer(this->now, HostId{"entry-2"},
                     EncodeConfiguration(message));
  CHECK(this->store.Version() == 5);
  CHECK(this->store.Counters().mismatched_deltas == 1);
}

}  // namespace
}  // namespace limpetlink
