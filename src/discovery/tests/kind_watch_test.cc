#include <catch2/catch.hpp>

#include "discovery/discovery.h"

namespace limpetlink {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// @brief A store whose answers the test writes: "list:REVISION:NAMES",
/// "events:REVISION:NAMES" or "gone".
StoreDialect ScriptedDialect() {
  StoreDialect dialect;
  dialect.target = [](const StoreRequest& request) {
    return request.verb == StoreVerb::kListRecords
               ? "/list?after=" + request.after
               : std::string(request.may_be_stale ? "/stale" : "/watch") +
                     "?from=" + std::to_string(request.version);
  };
  dialect.read = [](StoreVerb /*verb*/, StoreAnswer* answer,
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
               [this](Instant) { ++this->proved; }},
              &this->client) {
    this->watch.Start(this->now);
  }

  static MetadataStoreSettings Settings() {
    MetadataStoreSettings settings;
    settings.url = "http://store";
    settings.dialect = ScriptedDialect();
    return settings;
  }

  /// @brief Gives the URL of the call that waits.
  std::string Asked() {
    for (Action& action : this->client.TakeActions()) {
      if (auto* call = std::get_if<HttpCall>(&action)) {
        this->waiting = *call;
      }
    }
    return this->waiting.url;
  }

  void Answer(int status, const std::string& body) {
    this->Asked();
    this->client.OnHead(this->now, {this->waiting.id, status, {}});
    this->client.OnChunk(this->now, {this->waiting.id, body});
    this->client.OnDone(this->now, {this->waiting.id, HttpEnd::kComplete});
    this->TakeResults();
  }

  void Cut() {
    this->Asked();
    this->client.OnDone(this->now, {this->waiting.id, HttpEnd::kCut});
    this->TakeResults();
  }

  void TakeResults() {
    for (StoreResult& result : this->client.TakeResults()) {
      CHECK(this->watch.OnResult(this->now, &result));
    }
  }

  void Pass(Duration span) {
    this->now += span;
    this->client.Tick(this->now);
    this->TakeResults();
    this->watch.Tick(this->now);
  }

  Instant now{seconds(100)};
  std::uint64_t last_call = 0;
  MetadataStoreClient client;
  std::string listed;
  std::string changed;
  int lists = 0;
  int proved = 0;
  KindWatch watch;
  HttpCall waiting;
};

TEST_CASE_METHOD(KindWatchFixture,
                 "kind watch, list in pages, is handed over whole",
                 "[discovery]") {
  this->Answer(200, "7:ab+");
  CHECK_FALSE(this->watch.HasSnapshot());
  CHECK(this->Asked() == "http://store/list?after=b");
  this->Answer(200, "9:c");
  CHECK(this->listed == "abc");
  CHECK(this->Asked() == "http://store/stale?from=7");  // 8 and 9 come again
}

TEST_CASE_METHOD(KindWatchFixture,
                 "kind watch, stale answers, bring news but prove nothing",
                 "[discovery]") {
  this->Answer(200, "7:a");
  this->Pass(milliseconds(500));
  this->Answer(200, "8:b");
  CHECK(this->changed == "b");
  CHECK(this->watch.Age(this->now) == milliseconds(500));
}

TEST_CASE_METHOD(KindWatchFixture,
                 "kind watch, quiet, proves its freshness in time by a call "
                 "that may not be stale",
                 "[discovery]") {
  this->Answer(200, "7:a");
  this->Pass(seconds(1));
  this->Answer(200, "7:");
  CHECK(this->Asked() == "http://store/watch?from=7");
  CHECK(this->watch.Age(this->now) == seconds(1));
  this->Pass(milliseconds(4));
  this->Answer(200, "7:");
  CHECK(this->watch.Age(this->now) == milliseconds(4));
  CHECK(this->Asked() == "http://store/stale?from=7");
}

TEST_CASE_METHOD(KindWatchFixture,
                 "kind watch, changes, next call waits for further ones",
                 "[discovery]") {
  this->Answer(200, "7:a");
  this->Answer(200, "8:b");
  CHECK(this->changed == "b");
  const std::uint64_t calls = this->last_call;
  this->Pass(milliseconds(90));
  CHECK(this->last_call == calls);
  this->Pass(milliseconds(10));
  CHECK(this->Asked() == "http://store/stale?from=8");
}

TEST_CASE_METHOD(KindWatchFixture, "kind watch, history gone, lists anew",
                 "[discovery]") {
  this->Answer(200, "7:ab");
  this->Answer(410, "");
  CHECK(this->Asked() == "http://store/list?after=");
  this->Answer(200, "90:b");
  CHECK(this->listed == "b");
  CHECK(this->lists == 2);
}

TEST_CASE_METHOD(KindWatchFixture,
                 "kind watch, another host proves what is known here, is as "
                 "fresh as that host's call",
                 "[discovery]") {
  this->Answer(200, "7:a");
  this->Pass(milliseconds(800));
  this->watch.ApplyLinearizableRead(
      {"workers", 7, 12, this->now - milliseconds(100)});
  CHECK(this->watch.Age(this->now) == milliseconds(100));
  CHECK(this->proved == 1);  // the list was the only call of this host
}

TEST_CASE_METHOD(KindWatchFixture,
                 "kind watch, another host proves changes that are missing "
                 "here, is fresh only when they have come",
                 "[discovery]") {
  this->Answer(200, "7:a");
  this->Pass(milliseconds(500));
  const Instant asked_at = this->now - milliseconds(50);
  this->watch.ApplyLinearizableRead({"workers", 9, 12, asked_at});
  CHECK(this->watch.Age(this->now) == milliseconds(500));
  this->Answer(200, "8:b");
  CHECK(this->watch.Age(this->now) == milliseconds(500));
  this->Pass(milliseconds(100));
  this->Answer(200, "9:c");
  CHECK(this->changed == "bc");
  CHECK(this->watch.Age(this->now) == this->now - asked_at);
}

TEST_CASE_METHOD(KindWatchFixture,
                 "kind watch, an older proof comes, makes nothing older",
                 "[discovery]") {
  this->Answer(200, "7:a");
  this->Pass(milliseconds(300));
  this->watch.ApplyLinearizableRead({"workers", 7, 8, this->now - seconds(5)});
  CHECK(this->watch.Age(this->now) == milliseconds(300));
}

TEST_CASE_METHOD(KindWatchFixture,
                 "kind watch, others rely on its proofs, asks before they "
                 "would",
                 "[discovery]") {
  this->watch.SetIsLeader(true);
  this->Answer(200, "7:a");
  this->Pass(milliseconds(600));
  this->Answer(200, "7:");
  CHECK(this->Asked() == "http://store/watch?from=7");
}

TEST_CASE_METHOD(KindWatchFixture,
                 "kind watch, call cut, goes on from the same revision and is "
                 "no fresher",
                 "[discovery]") {
  this->Answer(200, "7:a");
  this->Pass(milliseconds(500));
  this->Cut();
  CHECK(this->watch.Age(this->now) == milliseconds(500));
  this->Pass(milliseconds(400));
  CHECK(this->Asked() == "http://store/stale?from=7");
}

}  // namespace
}  // namespace limpetlink
