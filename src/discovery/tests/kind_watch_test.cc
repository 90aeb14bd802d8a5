#include <catch2/catch.hpp>

#include "discovery/discovery.h"

namespace limpetlink {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// @brief A dialect whose responses the test scripts: status 410 when the
/// history is gone, otherwise "REVISION:NAMES" with one letter for each object
/// and a '+' when the list is truncated.
StoreDialect ScriptedDialect() {
  StoreDialect dialect;
  dialect.target = [](const StoreRequest& request) {
    return request.verb == StoreVerb::kListRecords
               ? "/list?after=" + request.after
               : std::string(request.allow_stale ? "/stale" : "/watch") +
                     "?from=" + std::to_string(request.version);
  };
  dialect.read = [](StoreVerb /*verb*/, StoreResponse* answer,
                    StoreResult* result) {
    if (answer->status == 410) {
      return StoreStatus::kHistoryGone;
    }
    const std::size_t colon = answer->body.find(':');
    result->revision = std::stoull(answer->body.substr(0, colon));
    for (const char name : answer->body.substr(colon + 1)) {
      result->truncated = result->truncated || name == '+';
      if (name != '+') {
        ObjectRecord record;
        record.name = std::string(1, name);
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
                 this->changed += record.name;
               },
               [this](Instant) { ++this->reads; }},
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

  void Respond(int status, const std::string& body) {
    this->PendingUrl();
    this->client.OnHead(this->now, {this->pending.id, status, {}});
    this->client.OnChunk(this->now, {this->pending.id, body});
    this->client.OnDone(this->now, {this->pending.id, HttpEnd::kComplete});
    this->HandleResults();
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
  KindWatch watch;
  HttpCall pending;
};

TEST_CASE_METHOD(
    KindWatchFixture,
    "kind watch, list in several pages, delivers one complete snapshot",
    "[discovery]") {
  this->Respond(200, "7:ab+");
  CHECK_FALSE(this->watch.HasSnapshot());
  CHECK(this->PendingUrl() == "http://store/list?after=b");
  this->Respond(200, "9:c");
  CHECK(this->listed == "abc");
  CHECK(this->PendingUrl() ==
        "http://store/stale?from=7");  // sends 8 and 9 again
}

TEST_CASE_METHOD(
    KindWatchFixture,
    "kind watch, stale response, delivers changes but does not lower "
    "the age",
    "[discovery]") {
  this->Respond(200, "7:a");
  this->Advance(milliseconds(500));
  this->Respond(200, "8:b");
  CHECK(this->changed == "b");
  CHECK(this->watch.Age(this->now) == milliseconds(500));
}

TEST_CASE_METHOD(KindWatchFixture,
                 "kind watch, no changes, sends a linearizable read when it is "
                 "due",
                 "[discovery]") {
  this->Respond(200, "7:a");
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
  this->Respond(200, "7:a");
  this->Respond(200, "8:b");
  CHECK(this->changed == "b");
  const std::uint64_t calls = this->last_call;
  this->Advance(milliseconds(90));
  CHECK(this->last_call == calls);
  this->Advance(milliseconds(10));
  CHECK(this->PendingUrl() == "http://store/stale?from=8");
}

TEST_CASE_METHOD(KindWatchFixture, "kind watch, history gone, lists again",
                 "[discovery]") {
  this->Respond(200, "7:ab");
  this->Respond(410, "");
  CHECK(this->PendingUrl() == "http://store/list?after=");
  this->Respond(200, "90:b");
  CHECK(this->listed == "b");
  CHECK(this->lists == 2);
}

TEST_CASE_METHOD(KindWatchFixture,
                 "kind watch, read of another host without missing changes, "
                 "takes over its age",
                 "[discovery]") {
  this->Respond(200, "7:a");
  this->Advance(milliseconds(800));
  this->watch.ApplyLinearizableRead(
      {"workers", 7, 12, this->now - milliseconds(100)});
  CHECK(this->watch.Age(this->now) == milliseconds(100));
  CHECK(this->reads == 1);  // only the list was a read of this host
}

TEST_CASE_METHOD(KindWatchFixture,
                 "kind watch, read of another host with missing changes, takes "
                 "over its age once they have arrived",
                 "[discovery]") {
  this->Respond(200, "7:a");
  this->Advance(milliseconds(500));
  const Instant sent_at = this->now - milliseconds(50);
  this->watch.ApplyLinearizableRead({"workers", 9, 12, sent_at});
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
  this->Respond(200, "7:a");
  this->Advance(milliseconds(300));
  this->watch.ApplyLinearizableRead({"workers", 7, 8, this->now - seconds(5)});
  CHECK(this->watch.Age(this->now) == milliseconds(300));
}

TEST_CASE_METHOD(KindWatchFixture,
                 "kind watch, leader, reads before the other hosts",
                 "[discovery]") {
  this->watch.SetIsLeader(true);
  this->Respond(200, "7:a");
  this->Advance(milliseconds(600));
  this->Respond(200, "7:");
  CHECK(this->PendingUrl() == "http://store/watch?from=7");
}

TEST_CASE_METHOD(KindWatchFixture,
                 "kind watch, call disconnected, continues from the same "
                 "revision and does not lower the age",
                 "[discovery]") {
  this->Respond(200, "7:a");
  this->Advance(milliseconds(500));
  this->Disconnect();
  CHECK(this->watch.Age(this->now) == milliseconds(500));
  this->Advance(milliseconds(400));
  CHECK(this->PendingUrl() == "http://store/stale?from=7");
}

}  // namespace
}  // namespace limpetlink
