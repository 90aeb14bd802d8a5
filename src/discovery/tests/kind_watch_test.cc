#include <catch2/catch.hpp>

#include "discovery/discovery.h"

namespace limpetlink {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// @brief A dialect whose responses the test scripts: status 410 when the
/// history is gone, otherwise "REVISION:NAMES" with one letter for each object,
/// followed by its version if it has one, an '-' before those that were
/// deleted, and a '+' when the list is truncated. The header "era" is the
/// store's era.
StoreDialect ScriptedDialect() {
  StoreDialect dialect;
  dialect.target = [](const StoreRequest& request) {
    return request.verb == StoreVerb::kListRecords
               ? std::string(request.allow_stale ? "/stale-list" : "/list") +
                     "?after=" + request.after
               : std::string(request.allow_stale ? "/stale" : "/watch") +
                     "?from=" + std::to_string(request.version);
  };
  dialect.read = [](StoreVerb /*verb*/, StoreResponse* answer,
                    StoreResult* result) {
    if (const std::string* era = FindHeader(answer->headers, "era")) {
      result->era = std::stoull(*era);
    }
    if (answer->status == 410) {
      return StoreStatus::kHistoryGone;
    }
    const std::size_t colon = answer->body.find(':');
    result->revision = std::stoull(answer->body.substr(0, colon));
    bool deleted = false;
    for (const char symbol : answer->body.substr(colon + 1)) {
      if (symbol == '+') {
        result->truncated = true;
      } else if (symbol == '-') {
        deleted = true;
      } else if (symbol >= '0' && symbol <= '9') {
        std::uint64_t& version = result->records.back().version;
        version = 10 * version + static_cast<std::uint64_t>(symbol - '0');
      } else {
        ObjectRecord record;
        record.name = std::string(1, symbol);
        record.deleted = std::exchange(deleted, false);
        result->records.push_back(record);
      }
    }
    return StoreStatus::kOk;
  };
  return dialect;
}

class KindWatchFixture {
 public:
  KindWatchFixture()
      : client(Settings(), [this] { return CallId{++this->last_call}; }),
        watch({"workers", seconds(1), milliseconds(100)},
              {[this](Instant, std::vector<ObjectRecord> records) {
                 this->listed.clear();
                 for (const ObjectRecord& record : records) {
                   this->listed += record.name;
                 }
                 ++this->lists;
               },
               [this](Instant, const ObjectRecord& record) {
                 this->changed += (record.deleted ? "-" : "") + record.name;
               },
               [this](Instant) { ++this->reads; },
               [this](Instant) { ++this->relays; },
               [this](Instant, const MissingChanges& missing) {
                 this->requested.push_back(missing.revision);
               },
               [this](Instant) { ++this->failures; },
               [this](Instant) { ++this->restorations; }},
              &this->client) {
    this->watch.Start(this->now);
  }

  static MetadataStoreSettings Settings() {
    MetadataStoreSettings settings;
    settings.url = "http://store";
    settings.dialect = ScriptedDialect();
    return settings;
  }

  /// @brief Returns the URL of the call in progress.
  std::string PendingUrl() {
    for (Action& action : this->client.TakeActions()) {
      if (auto* call = std::get_if<HttpCall>(&action)) {
        this->pending = *call;
      }
    }
    return this->pending.url;
  }

  void Respond(int status, const std::string& body, int era = 0) {
    this->PendingUrl();
    Headers headers;
    if (era > 0) {
      headers.push_back({"era", std::to_string(era)});
    }
    this->client.OnHead(this->now, {this->pending.id, status, headers});
    this->client.OnChunk(this->now, {this->pending.id, body});
    this->client.OnDone(this->now, {this->pending.id, HttpEnd::kComplete});
    this->HandleResults();
  }

  /// @brief Answers the list of a starting host and its first linearizable
  /// read, without a change in between.
  void ListAndRead(const std::string& body) {
    this->Respond(200, body);
    this->Advance(seconds(1));
    this->Respond(200, body.substr(0, body.find(':') + 1));
    this->Respond(200, body.substr(0, body.find(':') + 1));
    this->reads = 0;
  }

  void Disconnect() {
    this->PendingUrl();
    this->client.OnDone(this->now, {this->pending.id, HttpEnd::kCut});
    this->HandleResults();
  }

  void HandleResults() {
    for (StoreResult& result : this->client.TakeResults()) {
      CHECK(this->watch.OnResult(this->now, &result));
    }
  }

  void Advance(Duration span) {
    this->now += span;
    this->client.Tick(this->now);
    this->HandleResults();
    this->watch.Tick(this->now);
  }

  Instant now{seconds(100)};
  std::uint64_t last_call = 0;
  MetadataStoreClient client;
  std::string listed;
  std::string changed;
  int lists = 0;
  int reads = 0;
  int relays = 0;
  int restorations = 0;
  int failures = 0;
  std::vector<std::uint64_t> requested;
  KindWatch watch;
  HttpCall pending;
};

TEST_CASE_METHOD(
    KindWatchFixture,
    "kind watch, list in several pages, delivers one complete snapshot",
    "[discovery]") {
  this->Respond(200, "7:ab+");
  CHECK(this->lists == 0);
  CHECK(this->PendingUrl() == "http://store/stale-list?after=b");
  this->Respond(200, "9:c");
  CHECK(this->listed == "abc");
  CHECK(this->PendingUrl() ==
        "http://store/stale?from=7");  // sends 8 and 9 again
}

TEST_CASE_METHOD(KindWatchFixture,
                 "kind watch, page of a list older than the one before, "
                 "continues from the oldest and applies no change twice",
                 "[discovery]") {
  this->Respond(200, "9:a9b3+");
  this->Respond(200, "6:c5");
  CHECK(this->PendingUrl() == "http://store/stale?from=6");
  this->Respond(200, "9:-b3c7a8a9");
  CHECK(this->changed == "-bc");
}

TEST_CASE_METHOD(KindWatchFixture,
                 "kind watch, list of a starting host, counts only after a "
                 "linearizable read",
                 "[discovery]") {
  this->Respond(200, "7:a");
  CHECK(this->listed == "a");
  CHECK_FALSE(this->watch.HasSnapshot());
  CHECK(this->watch.Age(this->now) == Duration::max());
  this->Advance(milliseconds(600));
  this->Respond(200, "7:");
  CHECK(this->PendingUrl() == "http://store/watch?from=7");
  this->Respond(200, "7:");
  CHECK(this->watch.HasSnapshot());
  CHECK(this->watch.Age(this->now) == Duration{0});
}

TEST_CASE_METHOD(KindWatchFixture,
                 "kind watch, read of another host during the list, counts "
                 "once the list is complete",
                 "[discovery]") {
  this->watch.ApplyLinearizableRead(
      this->now, {"workers", 7, 12, this->now - milliseconds(900), 0});
  this->Respond(200, "7:a");
  CHECK(this->watch.Age(this->now) == milliseconds(900));
}

TEST_CASE_METHOD(
    KindWatchFixture,
    "kind watch, stale response, delivers changes but does not lower "
    "the age",
    "[discovery]") {
  this->ListAndRead("7:a");
  this->Advance(milliseconds(500));
  this->Respond(200, "8:b");
  CHECK(this->changed == "b");
  CHECK(this->watch.Age(this->now) == milliseconds(500));
}

TEST_CASE_METHOD(KindWatchFixture,
                 "kind watch, no changes, sends a linearizable read when it is "
                 "due",
                 "[discovery]") {
  this->ListAndRead("7:a");
  this->Advance(seconds(1));
  this->Respond(200, "7:");
  CHECK(this->PendingUrl() == "http://store/watch?from=7");
  CHECK(this->watch.Age(this->now) == seconds(1));
  this->Advance(milliseconds(4));
  this->Respond(200, "7:");
  CHECK(this->watch.Age(this->now) == milliseconds(4));
  CHECK(this->PendingUrl() == "http://store/stale?from=7");
}

TEST_CASE_METHOD(
    KindWatchFixture,
    "kind watch, changes, delays the next call to batch further ones",
    "[discovery]") {
  this->ListAndRead("7:a");
  this->Respond(200, "8:b");
  CHECK(this->changed == "b");
  const std::uint64_t calls = this->last_call;
  this->Advance(milliseconds(90));
  CHECK(this->last_call == calls);
  this->Advance(milliseconds(10));
  CHECK(this->PendingUrl() == "http://store/stale?from=8");
}

TEST_CASE_METHOD(KindWatchFixture,
                 "kind watch, changes before the first linearizable read, do "
                 "not delay it",
                 "[discovery]") {
  this->watch.SetBatchDelay(seconds(1));
  this->Respond(200, "7:a");
  this->Respond(200, "8:b");
  this->Advance(milliseconds(300));
  CHECK(this->PendingUrl() == "http://store/watch?from=8");
}

TEST_CASE_METHOD(KindWatchFixture, "kind watch, history gone, lists again",
                 "[discovery]") {
  this->Respond(200, "7:ab");
  this->Respond(410, "");
  CHECK(this->PendingUrl() == "http://store/list?after=");
  this->Respond(200, "90:b");
  CHECK(this->listed == "b");
  CHECK(this->lists == 2);
  CHECK(this->watch.Age(this->now) == Duration{0});
}

TEST_CASE_METHOD(KindWatchFixture,
                 "kind watch, read of another host without missing changes, "
                 "takes over its age",
                 "[discovery]") {
  this->ListAndRead("7:a");
  this->Advance(milliseconds(800));
  this->watch.ApplyLinearizableRead(
      this->now, {"workers", 7, 12, this->now - milliseconds(100)});
  CHECK(this->watch.Age(this->now) == milliseconds(100));
  CHECK(this->reads == 0);  // of this host
}

TEST_CASE_METHOD(KindWatchFixture,
                 "kind watch, read of another host with missing changes, takes "
                 "over its age once they have arrived",
                 "[discovery]") {
  this->ListAndRead("7:a");
  this->Advance(milliseconds(500));
  const Instant sent_at = this->now - milliseconds(50);
  this->watch.ApplyLinearizableRead(this->now, {"workers", 9, 12, sent_at});
  CHECK(this->watch.Age(this->now) == milliseconds(500));
  this->Respond(200, "8:b");
  CHECK(this->watch.Age(this->now) == milliseconds(500));
  this->Advance(milliseconds(100));
  this->Respond(200, "9:c");
  CHECK(this->changed == "bc");
  CHECK(this->watch.Age(this->now) == this->now - sent_at);
}

TEST_CASE_METHOD(
    KindWatchFixture,
    "kind watch, older read of another host, does not raise the age",
    "[discovery]") {
  this->ListAndRead("7:a");
  this->Advance(milliseconds(300));
  this->watch.ApplyLinearizableRead(this->now,
                                    {"workers", 7, 8, this->now - seconds(5)});
  CHECK(this->watch.Age(this->now) == milliseconds(300));
}

TEST_CASE_METHOD(KindWatchFixture,
                 "kind watch, leader, reads before the other hosts",
                 "[discovery]") {
  this->watch.SetRole(this->now, WatchRole::kLeader);
  this->Respond(200, "7:a");
  this->Respond(200, "7:");
  this->Advance(milliseconds(600));
  this->Respond(200, "7:");
  CHECK(this->PendingUrl() == "http://store/watch?from=7");
}

TEST_CASE_METHOD(KindWatchFixture,
                 "kind watch, call disconnected, continues from the same "
                 "revision and does not lower the age",
                 "[discovery]") {
  this->ListAndRead("7:a");
  this->Advance(milliseconds(500));
  this->Disconnect();
  CHECK(this->watch.Age(this->now) == milliseconds(500));
  this->Advance(milliseconds(400));
  CHECK(this->PendingUrl() == "http://store/stale?from=7");
}

/// @brief A watch whose changes other hosts relay.
class FollowerFixture : public KindWatchFixture {
 public:
  FollowerFixture() {
    this->watch.SetRole(this->now, WatchRole::kFollower);
    this->Respond(200, "7:a5b6");
    this->watch.ApplyLinearizableRead(this->now,
                                      {"workers", 7, 7, this->now, 0});
    this->calls = this->last_call;
  }

  static ObjectRecord Change(const std::string& name, std::uint64_t version,
                             bool deleted = false) {
    ObjectRecord record;
    record.name = name;
    record.version = version;
    record.deleted = deleted;
    return record;
  }

  std::uint64_t calls = 0;
};

TEST_CASE_METHOD(FollowerFixture,
                 "kind watch, follower with relayed changes and reads, does "
                 "not call the store",
                 "[discovery]") {
  for (std::uint64_t i = 0; i < 40; ++i) {
    this->Advance(milliseconds(200));
    this->watch.ApplyChanges(
        this->now, {"workers", 0, 7 + i, 8 + i, {Change("a", 8 + i)}});
    this->watch.ApplyLinearizableRead(
        this->now, {"workers", 8 + i, 8 + i, this->now - milliseconds(100), 0});
  }
  CHECK(this->changed == std::string(40, 'a'));
  CHECK(this->last_call == this->calls);
  CHECK(this->watch.Age(this->now) == milliseconds(100));
}

TEST_CASE_METHOD(FollowerFixture,
                 "kind watch, relayed changes that overlap, applies each once",
                 "[discovery]") {
  this->watch.ApplyChanges(this->now,
                           {"workers", 0, 7, 9, {Change("b", 6, true)}});
  this->watch.ApplyChanges(
      this->now, {"workers",
                  0,
                  8,
                  11,
                  {Change("b", 6, true), Change("b", 10), Change("c", 11)}});
  this->watch.ApplyChanges(
      this->now, {"workers",
                  0,
                  7,
                  11,
                  {Change("b", 6, true), Change("b", 10), Change("c", 11)}});
  CHECK(this->changed == "-bbc");
}

TEST_CASE_METHOD(FollowerFixture,
                 "kind watch, a relayed change was lost, reads it from the "
                 "store soon",
                 "[discovery]") {
  this->watch.ApplyChanges(this->now, {"workers", 0, 9, 10, {Change("c", 10)}});
  CHECK(this->changed.empty());
  this->Advance(milliseconds(90));
  CHECK(this->last_call == this->calls);
  this->Advance(milliseconds(210));
  CHECK(this->PendingUrl() == "http://store/stale?from=7");
  this->Respond(200, "10:a9c10");
  CHECK(this->changed == "ac");
  CHECK(this->relays == 0);  // it was announced to all
}

TEST_CASE_METHOD(FollowerFixture,
                 "kind watch, a lost change arrives with the next ones, does "
                 "not call the store",
                 "[discovery]") {
  this->watch.ApplyChanges(this->now, {"workers", 0, 9, 10, {Change("c", 10)}});
  this->Advance(milliseconds(50));
  this->watch.ApplyChanges(
      this->now, {"workers", 0, 7, 10, {Change("a", 9), Change("c", 10)}});
  this->Advance(milliseconds(500));
  CHECK(this->changed == "ac");
  CHECK(this->last_call == this->calls);
}

TEST_CASE_METHOD(FollowerFixture,
                 "kind watch, silent leader, follower reads the store before "
                 "the interval ends and relays what it finds",
                 "[discovery]") {
  this->Advance(milliseconds(1000));
  CHECK(this->PendingUrl() == "http://store/watch?from=7");
  this->Respond(200, "9:c9");
  CHECK(this->relays == 1);
  const KindChanges relayed = this->watch.RecentChanges(this->now, 1000);
  CHECK(relayed.from == 7);
  CHECK(relayed.to == 9);
  REQUIRE(relayed.records.size() == 1);
}

TEST_CASE_METHOD(FollowerFixture,
                 "kind watch, quiet time after changes, relays them twice more "
                 "and keeps those of other hosts",
                 "[discovery]") {
  this->watch.SetRole(this->now, WatchRole::kStandby);
  this->Advance(Duration{0});
  this->watch.ApplyChanges(this->now, {"workers", 0, 7, 8, {Change("a", 8)}});
  CHECK(this->relays == 0);
  this->Respond(200, "9:c9");
  CHECK(this->relays == 1);
  this->Advance(milliseconds(1000));
  CHECK(this->relays == 2);
  const KindChanges relayed = this->watch.RecentChanges(this->now, 1000);
  CHECK(relayed.from == 7);
  CHECK(relayed.records.size() == 2);
  this->Advance(milliseconds(1000));
  CHECK(this->relays == 3);
  this->Advance(seconds(3));
  CHECK(this->relays == 3);
}

TEST_CASE_METHOD(FollowerFixture,
                 "kind watch, missing changes and an unreachable store, asks "
                 "other hosts until they arrive",
                 "[discovery]") {
  this->watch.ApplyChanges(this->now, {"workers", 0, 9, 9, {}});
  this->Advance(milliseconds(300));
  CHECK(this->requested.empty());  // the store may still answer
  this->Disconnect();
  CHECK(this->requested == std::vector<std::uint64_t>{7});
  this->watch.ApplyLinearizableRead(this->now, {"workers", 9, 9, this->now, 0});
  CHECK(this->requested.size() == 2);
  this->watch.ApplyChanges(this->now, {"workers", 0, 7, 9, {Change("c", 9)}});
  CHECK(this->watch.Age(this->now) == Duration{0});
  this->watch.ApplyLinearizableRead(
      this->now + milliseconds(10),
      {"workers", 9, 9, this->now + milliseconds(10), 0});
  CHECK(this->requested.size() == 2);
}

TEST_CASE_METHOD(FollowerFixture,
                 "kind watch, changes that another host misses, are known "
                 "unless an object was deleted since",
                 "[discovery]") {
  this->watch.ApplyChanges(
      this->now, {"workers", 0, 7, 9, {Change("c", 8), Change("a", 9)}});
  const auto since = this->watch.ChangesSince({"workers", 0, 8}, 100);
  REQUIRE(since.has_value());
  CHECK(since->from == 8);
  CHECK(since->to == 9);
  REQUIRE(since->records.size() == 1);
  CHECK(since->records[0].name == "a");
  CHECK_FALSE(this->watch.ChangesSince({"workers", 0, 9}, 100).has_value());
  CHECK_FALSE(this->watch.ChangesSince({"workers", 1, 8}, 100).has_value());
  CHECK_FALSE(this->watch.ChangesSince({"workers", 0, 8}, 0).has_value());
  this->watch.ApplyChanges(this->now,
                           {"workers", 0, 9, 12, {Change("b", 6, true)}});
  CHECK_FALSE(this->watch.ChangesSince({"workers", 0, 8}, 100).has_value());
}

TEST_CASE_METHOD(FollowerFixture,
                 "kind watch, calls of other hosts fail, follower waits for "
                 "its turn and for the first read",
                 "[discovery]") {
  this->watch.SetFailureSpread(seconds(10));
  this->Advance(milliseconds(600));
  this->watch.OnNeighbourFailure(this->now);
  this->Advance(milliseconds(5000));
  CHECK(this->last_call == this->calls);
  this->Advance(milliseconds(5000));  // its phase is the last of all
  CHECK(this->last_call == this->calls + 1);
  this->Disconnect();
  CHECK(this->failures == 1);
  this->Advance(seconds(9));
  CHECK(this->last_call == this->calls + 1);
  this->watch.ApplyLinearizableRead(
      this->now, {"workers", 8, 9, this->now - milliseconds(10), 0});
  this->Advance(milliseconds(300));
  CHECK(this->last_call == this->calls + 2);
}

TEST_CASE_METHOD(FollowerFixture,
                 "kind watch, linearizable read without a response, counts as "
                 "failed before it times out",
                 "[discovery]") {
  this->Advance(milliseconds(1000));
  CHECK(this->last_call == this->calls + 1);
  this->Advance(milliseconds(390));
  CHECK(this->failures == 0);
  this->Advance(milliseconds(20));
  CHECK(this->failures == 1);
  this->Respond(200, "7:");
  CHECK(this->watch.Age(this->now) == milliseconds(410));
}

TEST_CASE_METHOD(FollowerFixture,
                 "kind watch, changes too large to relay, announces only "
                 "their revision",
                 "[discovery]") {
  this->Advance(milliseconds(1000));
  this->Respond(200, "9:c9");
  const KindChanges relayed = this->watch.RecentChanges(this->now, 0);
  CHECK(relayed.from == 9);
  CHECK(relayed.to == 9);
  CHECK(relayed.records.empty());
}

TEST_CASE_METHOD(FollowerFixture,
                 "kind watch, restored store, lists again and uses no "
                 "revision of the previous era",
                 "[discovery]") {
  // The follower reads itself and finds the store in a new era, in which the
  // revisions 6 and 7 were assigned again.
  this->Advance(milliseconds(1000));
  this->Respond(200, "7:", 1);
  CHECK(this->restorations == 1);
  CHECK(this->PendingUrl() == "http://store/list?after=");
  this->watch.ApplyLinearizableRead(this->now, {"workers", 7, 9, this->now, 0});
  this->watch.ApplyChanges(this->now, {"workers", 0, 7, 9, {Change("x", 9)}});
  this->Respond(200, "6:a5c6", 1);
  CHECK(this->listed == "ac");
  CHECK(this->changed.empty());
  this->Advance(milliseconds(10));
  this->watch.ApplyLinearizableRead(this->now, {"workers", 6, 9, this->now, 0});
  CHECK(this->watch.Age(this->now) == milliseconds(10));
  this->watch.ApplyChanges(this->now, {"workers", 1, 6, 7, {Change("d", 7)}});
  CHECK(this->changed == "d");
}

TEST_CASE_METHOD(FollowerFixture,
                 "kind watch, read of another host in a later era, lists again "
                 "soon",
                 "[discovery]") {
  this->watch.ApplyLinearizableRead(this->now, {"workers", 5, 6, this->now, 1});
  CHECK(this->watch.Age(this->now) == Duration{0});  // of its own era
  this->Advance(milliseconds(300));
  this->Respond(410, "", 1);
  CHECK(this->restorations == 1);
  CHECK(this->PendingUrl() == "http://store/list?after=");
}

TEST_CASE_METHOD(KindWatchFixture,
                 "kind watch, response of an earlier era, is not used",
                 "[discovery]") {
  this->Respond(200, "7:a5", 2);
  this->Respond(200, "9:b8", 1);
  CHECK(this->changed.empty());
  this->Advance(milliseconds(60));
  CHECK(this->PendingUrl() == "http://store/stale?from=7");
}

}  // namespace
}  // namespace limpetlink
