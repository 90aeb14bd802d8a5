#include <catch2/catch.hpp>

#include "gateway/tests/gateway_fixture.h"

namespace limpetlink::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class StreamFixture : public GatewayFixture {
 public:
  StreamFixture() {
    this->until_close = GENERATE(false, true);
    this->Register("engine-1", "engines");
    this->Register("engine-2", "engines");
    this->id = this->SendRequest("/stream/7");
    this->call = this->Call();
    this->source = HeaderOf(this->call.headers, "worker");
    this->other = this->source == "engine-1" ? "engine-2" : "engine-1";
    this->RespondHead(this->call, 200);
    this->RespondBytes(this->call, "id: 1\n\n");
  }

  /// @brief The source leaves; returns the first transfer command of the
  /// resulting plan.
  HttpCall StartMigration() {
    this->Register(this->source, "engines", true);
    this->Respond(this->CallTo(this->source + ":80/report"), 200, "");
    this->Advance(milliseconds(20));
    return this->CallTo("/copy");
  }

  /// @brief Ends the connection of a stream that its source was told to stop.
  void CloseStoppedSource() {
    this->EndCall(this->call,
                  this->until_close ? HttpEnd::kComplete : HttpEnd::kCut);
  }

  RequestId id;
  HttpCall call;
  std::string source;
  std::string other;
};

TEST_CASE_METHOD(StreamFixture,
                 "stream forwarding, events, are relayed as they arrive",
                 "[gateway]") {
  CHECK(this->ResponseTo(this->id).body == "id: 1\n\n");
  this->RespondBytes(this->call, "id: 2\nda");
  CHECK(this->ResponseTo(this->id).body == "id: 1\n\n");
  this->RespondBytes(this->call, "ta: x\n\n");
  CHECK(this->ResponseTo(this->id).body == "id: 1\n\nid: 2\ndata: x\n\n");
  this->EndCall(this->call);
  CHECK(this->ResponseTo(this->id).ended);
  CHECK_FALSE(this->ResponseTo(this->id).aborted);
}

TEST_CASE_METHOD(StreamFixture,
                 "stream forwarding, route and organisation priority, only the "
                 "latter is sent",
                 "[gateway]") {
  CHECK(FindHeader(this->call.headers, "rank") == nullptr);
  Deployment ranked = MakeDeployment(8);
  ranked.routes[2].priority = 1;
  ranked.holders[0].priority = 3;
  this->Publish(ranked);
  this->SendRequest("/stream/8");
  CHECK(HeaderOf(this->CallTo("/stream/8?a=%20b").headers, "rank") == "3");
}

TEST_CASE_METHOD(StreamFixture,
                 "stream forwarding, worker cut, is aborted and not restarted",
                 "[gateway]") {
  this->EndCall(this->call, HttpEnd::kCut);
  CHECK(this->ResponseTo(this->id).aborted);
  CHECK(this->TakeCalls().empty());
}

TEST_CASE_METHOD(StreamFixture,
                 "stream forwarding, ends within an event, is aborted",
                 "[gateway]") {
  this->RespondBytes(this->call, "id: 2\nda");
  this->EndCall(this->call);
  CHECK(this->ResponseTo(this->id).aborted);
}

TEST_CASE_METHOD(StreamFixture,
                 "stream forwarding, duplicate event, is aborted",
                 "[gateway]") {
  this->RespondBytes(this->call, "id: 1\n\n");
  CHECK(this->Cancelled(this->call));
  CHECK(this->ResponseTo(this->id).aborted);
  CHECK(this->ResponseTo(this->id).body == "id: 1\n\n");
}

TEST_CASE_METHOD(
    StreamFixture,
    "stream migration, worker leaves, resumes after the last event",
    "[gateway]") {
  const HttpCall transfer = this->StartMigration();
  CHECK(transfer.url == "http://" + this->source + ":80/copy");
  CHECK(transfer.body == "r1>" + this->other + ":80");
  this->RespondBytes(this->call, "id: 2\n\n");  // the stream keeps running
  this->Respond(transfer, 200, "h1");
  const HttpCall finish = this->CallTo("/finish");
  // A source may close within an event or behind one.
  const bool within = GENERATE(false, true);
  this->RespondBytes(this->call, "id: 3\n\n");
  if (within) {
    this->RespondBytes(this->call, "id: 4\nda");
  }
  this->CloseStoppedSource();
  CHECK_FALSE(this->ResponseTo(this->id).ended);
  this->Respond(finish, 200, "h2");
  const HttpCall resumed = this->CallTo("/stream/7?a=%20b");
  CHECK(HeaderOf(resumed.headers, "worker") == this->other);
  CHECK(HeaderOf(resumed.headers, "resume") == this->source + ":80/h2/3");
  this->RespondHead(resumed, 200);
  this->RespondBytes(resumed, "id: 4\n\n");
  this->EndCall(resumed);
  CHECK(this->ResponseTo(this->id).body ==
        "id: 1\n\nid: 2\n\nid: 3\n\nid: 4\n\n");
  CHECK_FALSE(this->ResponseTo(this->id).aborted);
}

TEST_CASE_METHOD(
    StreamFixture,
    "stream migration, command answered before the last events, waits for them",
    "[gateway]") {
  const HttpCall transfer = this->StartMigration();
  this->Respond(transfer, 200, "h1");
  this->Respond(this->CallTo("/finish"), 200, "h2");
  this->RespondBytes(this->call, "id: 2\n\n");
  this->CloseStoppedSource();
  const HttpCall resumed = this->CallTo("/stream/7?a=%20b");
  CHECK(HeaderOf(resumed.headers, "resume") == this->source + ":80/h2/2");
}

// Guards against the end of the process (review/3): a stream resumed while its
// second copy was in progress, whose response then found no move.
TEST_CASE_METHOD(StreamFixture,
                 "stream migration, destination leaves and the source ends in "
                 "the second copy, is aborted and frees the first copy",
                 "[gateway]") {
  this->Register("engine-3", "engines");
  const HttpCall transfer = this->StartMigration();
  const std::size_t name = transfer.body.find('>') + 1;
  this->Unregister(transfer.body.substr(name, transfer.body.find(':') - name));
  this->Respond(transfer, 200, "h1");
  this->CallTo("/release/h1");
  this->Advance(milliseconds(70));
  const HttpCall second = this->CallTo("/copy");
  CHECK(second.body != transfer.body);
  this->EndCall(this->call, HttpEnd::kCut);
  CHECK(this->ResponseTo(this->id).aborted);
  CHECK(this->Cancelled(second));
  this->EndCall(second, HttpEnd::kCut);  // a late end is ignored
  CHECK(this->TakeCalls().empty());
}

// Guards against a caller's stream that ends as complete where its source was
// stopped: the end of the connection was taken for the end of the stream.
TEST_CASE_METHOD(StreamFixture,
                 "stream migration, source ends by itself while it is told to "
                 "stop, is delivered",
                 "[gateway]") {
  const HttpCall transfer = this->StartMigration();
  this->Respond(transfer, 200, "h1,1");
  const HttpCall finish = this->CallTo("/finish");
  this->RespondBytes(this->call, "id: 2\n\n");
  const bool command_first = GENERATE(false, true);
  if (command_first) {
    this->Respond(finish, 404, "");
    this->EndCall(this->call);
  } else {
    this->EndCall(this->call);
    if (this->until_close) {
      CHECK_FALSE(this->ResponseTo(this->id).ended);
      this->Respond(finish, 404, "");
    }
  }
  CHECK(this->ResponseTo(this->id).ended);
  CHECK_FALSE(this->ResponseTo(this->id).aborted);
  CHECK(this->ResponseTo(this->id).body == "id: 1\n\nid: 2\n\n");
}

TEST_CASE_METHOD(StreamFixture,
                 "stream migration, source closes before the events that its "
                 "copy counts, goes on from the copy",
                 "[gateway]") {
  const HttpCall transfer = this->StartMigration();
  this->Respond(transfer, 200, "h1,3");
  const HttpCall finish = this->CallTo("/finish");
  this->RespondBytes(this->call, "id: 2\n\n");
  this->CloseStoppedSource();
  this->Respond(finish, 404, "");
  const HttpCall resumed = this->CallTo("/stream/7?a=%20b");
  CHECK(HeaderOf(resumed.headers, "resume") == this->source + ":80/h1/2");
}

TEST_CASE_METHOD(StreamFixture,
                 "stream migration, stopped source never closes, is cancelled "
                 "before resuming",
                 "[gateway]") {
  const HttpCall transfer = this->StartMigration();
  this->Respond(transfer, 200, "h1");
  this->Respond(this->CallTo("/finish"), 200, "h2");
  this->Advance(milliseconds(30));
  CHECK(this->Cancelled(this->call));
  this->CallTo("/stream/7?a=%20b");
}

TEST_CASE_METHOD(StreamFixture,
                 "stream migration, source lost after a transfer, resumes from "
                 "that transfer",
                 "[gateway]") {
  const HttpCall transfer = this->StartMigration();
  this->Respond(transfer, 200, "h1");
  const HttpCall finish = this->CallTo("/finish");
  this->CloseStoppedSource();
  this->EndCall(finish, HttpEnd::kCut);
  const HttpCall resumed = this->CallTo("/stream/7?a=%20b");
  CHECK(HeaderOf(resumed.headers, "resume") == this->source + ":80/h1/1");
}

TEST_CASE_METHOD(
    StreamFixture,
    "stream migration, source lost during the transfer, is aborted",
    "[gateway]") {
  this->StartMigration();
  this->EndCall(this->call, HttpEnd::kCut);
  CHECK(this->ResponseTo(this->id).aborted);
}

TEST_CASE_METHOD(
    StreamFixture,
    "stream migration, stream ends first, is delivered and its cache released",
    "[gateway]") {
  const HttpCall transfer = this->StartMigration();
  this->Respond(transfer, 200, "h1");
  this->RespondBytes(this->call, "id: 2\n\n");
  this->EndCall(this->call);
  if (this->until_close) {  // may be the stop that was ordered
    this->Respond(this->CallTo("/finish"), 404, "");
  }
  CHECK(this->ResponseTo(this->id).ended);
  CHECK_FALSE(this->ResponseTo(this->id).aborted);
  CHECK(this->ResponseTo(this->id).body == "id: 1\n\nid: 2\n\n");
  CHECK(this->CallTo("/release/h1").url ==
        "http://" + this->source + ":80/release/h1");
}

TEST_CASE_METHOD(
    StreamFixture,
    "stream migration, destination full, is retried at another worker",
    "[gateway]") {
  this->Register("engine-3", "engines");
  const HttpCall transfer = this->StartMigration();
  this->Respond(transfer, 503, "");
  this->Advance(milliseconds(1));
  const HttpCall again = this->CallTo("/copy");
  CHECK(again.body != transfer.body);
}

TEST_CASE_METHOD(
    StreamFixture,
    "stream migration, all destinations refuse, limits the rate of commands",
    "[gateway]") {
  for (const char* name : {"engine-3", "engine-4", "engine-5", "engine-6"}) {
    this->Register(name, "engines");
  }
  HttpCall transfer = this->StartMigration();
  int commands = 0;
  for (int i = 0; i < 100; ++i) {
    this->Respond(transfer, 503, "");
    ++commands;
    for (int waited = 0; waited < 100; ++waited) {
      this->Advance(milliseconds(1));
      i += 1;
      std::vector<HttpCall> calls = this->TakeCalls();
      if (!calls.empty()) {
        transfer = calls.front();
        break;
      }
    }
  }
  CHECK(commands <= 6);
}

TEST_CASE_METHOD(StreamFixture,
                 "stream migration, no capacity for the last part, resumes and "
                 "migrates again",
                 "[gateway]") {
  this->Register("engine-3", "engines");
  const HttpCall transfer = this->StartMigration();
  this->Respond(transfer, 200, "h1");
  const HttpCall finish = this->CallTo("/finish");
  this->CloseStoppedSource();
  this->Respond(finish, 503, "h2");
  const HttpCall resumed = this->CallTo("/stream/7?a=%20b");
  CHECK(HeaderOf(resumed.headers, "worker") == this->source);
  this->RespondHead(resumed, 200);
  this->RespondBytes(resumed, "id: 2\n\n");
  this->Advance(milliseconds(60));
  const HttpCall again = this->CallTo("/copy");
  CHECK(again.url.find(this->source) != std::string::npos);
  CHECK(again.body != transfer.body);  // names another destination
}

TEST_CASE_METHOD(StreamFixture,
                 "stream migration, stream has not started, is retried shortly",
                 "[gateway]") {
  const HttpCall transfer = this->StartMigration();
  this->Respond(transfer, 404, "");
  this->Advance(milliseconds(45));
  CHECK(this->CallTo("/copy").body == transfer.body);
}

TEST_CASE_METHOD(
    StreamFixture,
    "stream migration, caller disconnects, is cancelled and its cache released",
    "[gateway]") {
  const HttpCall transfer = this->StartMigration();
  this->Respond(transfer, 200, "h1");
  const HttpCall finish = this->CallTo("/finish");
  this->Disconnect(this->id);
  CHECK(this->Cancelled(finish));
  CHECK(this->Cancelled(this->call));
  this->CallTo("/release/h1");
  this->EndCall(finish);  // a late response is ignored
}

TEST_CASE_METHOD(
    StreamFixture,
    "stream migration, store unreachable, the worker's own report triggers it",
    "[gateway]") {
  this->store_unreachable = true;
  this->Advance(milliseconds(600));
  this->Respond(this->CallTo(this->source + ":80/report"), 200, "leaving");
  const HttpCall report = this->CallTo(this->source + ":80/report");
  this->Respond(report, 200, "leaving");
  this->Advance(milliseconds(20));
  this->CallTo("/copy");
  this->SendRequest("/stream/8");
  CHECK(HeaderOf(this->CallTo("/stream/8?a=%20b").headers, "worker") ==
        this->other);
}

TEST_CASE_METHOD(StreamFixture,
                 "stream forwarding, host shuts down, refuses a stream that "
                 "would outlast it",
                 "[gateway]") {
  this->host.Drain(this->now);
  this->Advance(seconds(1));
  const RequestId late = this->SendRequest("/stream/8");
  CHECK(this->ResponseTo(late).status == 503);
  CHECK(this->ResponseTo(late).body.find("not_run") != std::string::npos);
  CHECK(this->ResponseTo(this->SendRequest("/order/8")).status ==
        503);  // no worker for it
}

}  // namespace
}  // namespace limpetlink::testing
