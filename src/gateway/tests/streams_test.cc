#include <catch2/catch.hpp>

#include "gateway/tests/gateway_fixture.h"

namespace limpetlink::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class StreamFixture : public GatewayFixture {
 public:
  StreamFixture() {
    this->Register("engine-1", "engines");
    this->Register("engine-2", "engines");
    this->id = this->Ask("/stream/7");
    this->call = this->Call();
    this->source = HeaderOf(this->call.headers, "worker");
    this->other = this->source == "engine-1" ? "engine-2" : "engine-1";
    this->Head(this->call, 200);
    this->Bytes(this->call, "id: 1\n\n");
  }

  /// @brief The source leaves; the plan is computed and the copy is ordered.
  HttpCall LeaveAndCopy() {
    this->Register(this->source, "engines", true);
    this->Answer(this->Order(this->source + ":80/report"), 200, "");
    this->Pass(milliseconds(20));
    return this->Order("/copy");
  }

  RequestId id;
  HttpCall call;
  std::string source;
  std::string other;
};

TEST_CASE_METHOD(StreamFixture,
                 "stream forwarding, events, go to the caller as they come",
                 "[gateway]") {
  CHECK(this->Told(this->id).body == "id: 1\n\n");
  this->Bytes(this->call, "id: 2\nda");
  CHECK(this->Told(this->id).body == "id: 1\n\n");
  this->Bytes(this->call, "ta: x\n\n");
  CHECK(this->Told(this->id).body == "id: 1\n\nid: 2\ndata: x\n\n");
  this->Done(this->call);
  CHECK(this->Told(this->id).ended);
  CHECK_FALSE(this->Told(this->id).aborted);
}

TEST_CASE_METHOD(StreamFixture,
                 "stream forwarding, ranks of routes and of an organisation, "
                 "the engine is told of the organisation's only",
                 "[gateway]") {
  CHECK(FindHeader(this->call.headers, "rank") == nullptr);
  Deployment ranked = MakeDeployment(8);
  ranked.routes[2].priority = 1;
  ranked.holders[0].priority = 3;
  this->Adopt(ranked);
  this->Ask("/stream/8");
  CHECK(HeaderOf(this->Order("/stream/8?a=%20b").headers, "rank") == "3");
}

TEST_CASE_METHOD(StreamFixture,
                 "stream forwarding, worker cut, breaks off visibly and is not "
                 "begun again",
                 "[gateway]") {
  this->Done(this->call, HttpEnd::kCut);
  CHECK(this->Told(this->id).aborted);
  CHECK(this->TakeCalls().empty());
}

TEST_CASE_METHOD(StreamFixture,
                 "stream forwarding, ends inside an event, is not whole",
                 "[gateway]") {
  this->Bytes(this->call, "id: 2\nda");
  this->Done(this->call);
  CHECK(this->Told(this->id).aborted);
}

TEST_CASE_METHOD(StreamFixture,
                 "stream forwarding, event comes twice, breaks off",
                 "[gateway]") {
  this->Bytes(this->call, "id: 1\n\n");
  CHECK(this->Cancelled(this->call));
  CHECK(this->Told(this->id).aborted);
  CHECK(this->Told(this->id).body == "id: 1\n\n");
}

TEST_CASE_METHOD(StreamFixture,
                 "stream move, worker leaves, copies, stops, then goes on "
                 "behind the last event",
                 "[gateway]") {
  const HttpCall copy = this->LeaveAndCopy();
  CHECK(copy.url == "http://" + this->source + ":80/copy");
  CHECK(copy.body == "r1>" + this->other + ":80");
  this->Bytes(this->call, "id: 2\n\n");  // the run goes on meanwhile
  this->Answer(copy, 200, "h1");
  const HttpCall finish = this->Order("/finish");
  this->Bytes(this->call, "id: 3\n\nid: 4\nda");
  this->Done(this->call, HttpEnd::kCut);
  CHECK_FALSE(this->Told(this->id).ended);
  this->Answer(finish, 200, "h2");
  const HttpCall resumed = this->Order("/stream/7?a=%20b");
  CHECK(HeaderOf(resumed.headers, "worker") == this->other);
  CHECK(HeaderOf(resumed.headers, "resume") == this->source + ":80/h2/3");
  this->Head(resumed, 200);
  this->Bytes(resumed, "id: 4\n\n");
  this->Done(resumed);
  CHECK(this->Told(this->id).body == "id: 1\n\nid: 2\n\nid: 3\n\nid: 4\n\n");
  CHECK_FALSE(this->Told(this->id).aborted);
}

TEST_CASE_METHOD(StreamFixture,
                 "stream move, order answered before the last events, waits "
                 "for them",
                 "[gateway]") {
  const HttpCall copy = this->LeaveAndCopy();
  this->Answer(copy, 200, "h1");
  this->Answer(this->Order("/finish"), 200, "h2");
  this->Bytes(this->call, "id: 2\n\n");
  this->Done(this->call, HttpEnd::kCut);
  const HttpCall resumed = this->Order("/stream/7?a=%20b");
  CHECK(HeaderOf(resumed.headers, "resume") == this->source + ":80/h2/2");
}

TEST_CASE_METHOD(StreamFixture,
                 "stream move, stopped source never closes, is cancelled "
                 "before the stream goes on elsewhere",
                 "[gateway]") {
  const HttpCall copy = this->LeaveAndCopy();
  this->Answer(copy, 200, "h1");
  this->Answer(this->Order("/finish"), 200, "h2");
  this->Pass(milliseconds(30));
  CHECK(this->Cancelled(this->call));
  this->Order("/stream/7?a=%20b");
}

TEST_CASE_METHOD(StreamFixture,
                 "stream move, source gone after the first copy, goes on from "
                 "that copy",
                 "[gateway]") {
  const HttpCall copy = this->LeaveAndCopy();
  this->Answer(copy, 200, "h1");
  const HttpCall finish = this->Order("/finish");
  this->Done(this->call, HttpEnd::kCut);
  this->Done(finish, HttpEnd::kCut);
  const HttpCall resumed = this->Order("/stream/7?a=%20b");
  CHECK(HeaderOf(resumed.headers, "resume") == this->source + ":80/h1/1");
}

TEST_CASE_METHOD(StreamFixture,
                 "stream move, source gone during the copy, breaks off",
                 "[gateway]") {
  this->LeaveAndCopy();
  this->Done(this->call, HttpEnd::kCut);
  CHECK(this->Told(this->id).aborted);
}

TEST_CASE_METHOD(StreamFixture,
                 "stream move, run ends by itself, is delivered whole and its "
                 "copy is freed",
                 "[gateway]") {
  const HttpCall copy = this->LeaveAndCopy();
  this->Answer(copy, 200, "h1");
  this->Bytes(this->call, "id: 2\n\n");
  this->Done(this->call);
  CHECK_FALSE(this->Told(this->id).aborted);
  CHECK(this->Told(this->id).body == "id: 1\n\nid: 2\n\n");
  CHECK(this->Order("/release/h1").url ==
        "http://" + this->source + ":80/release/h1");
}

TEST_CASE_METHOD(StreamFixture,
                 "stream move, copy refused for lack of room, is tried at "
                 "another worker",
                 "[gateway]") {
  this->Register("engine-3", "engines");
  const HttpCall copy = this->LeaveAndCopy();
  this->Answer(copy, 503, "");
  this->Pass(milliseconds(1));
  const HttpCall again = this->Order("/copy");
  CHECK(again.body != copy.body);
}

TEST_CASE_METHOD(StreamFixture,
                 "stream move, every destination refuses at once, does not "
                 "flood the worker with orders",
                 "[gateway]") {
  for (const char* name : {"engine-3", "engine-4", "engine-5", "engine-6"}) {
    this->Register(name, "engines");
  }
  HttpCall copy = this->LeaveAndCopy();
  int orders = 0;
  for (int i = 0; i < 100; ++i) {
    this->Answer(copy, 503, "");
    ++orders;
    for (int waited = 0; waited < 100; ++waited) {
      this->Pass(milliseconds(1));
      i += 1;
      std::vector<HttpCall> calls = this->TakeCalls();
      if (!calls.empty()) {
        copy = calls.front();
        break;
      }
    }
  }
  CHECK(orders <= 6);
}

TEST_CASE_METHOD(StreamFixture,
                 "stream move, last part finds no room, goes on at its source "
                 "and moves again to another worker",
                 "[gateway]") {
  this->Register("engine-3", "engines");
  const HttpCall copy = this->LeaveAndCopy();
  this->Answer(copy, 200, "h1");
  const HttpCall finish = this->Order("/finish");
  this->Done(this->call, HttpEnd::kCut);
  this->Answer(finish, 503, "h2");
  const HttpCall resumed = this->Order("/stream/7?a=%20b");
  CHECK(HeaderOf(resumed.headers, "worker") == this->source);
  this->Head(resumed, 200);
  this->Bytes(resumed, "id: 2\n\n");
  this->Pass(milliseconds(60));
  const HttpCall again = this->Order("/copy");
  CHECK(again.url.find(this->source) != std::string::npos);
  CHECK(again.body != copy.body);  // names another destination
}

TEST_CASE_METHOD(StreamFixture,
                 "stream move, run has not begun, is asked again shortly",
                 "[gateway]") {
  const HttpCall copy = this->LeaveAndCopy();
  this->Answer(copy, 404, "");
  this->Pass(milliseconds(45));
  CHECK(this->Order("/copy").body == copy.body);
}

TEST_CASE_METHOD(StreamFixture,
                 "stream move, caller leaves, orders end and the copy is freed",
                 "[gateway]") {
  const HttpCall copy = this->LeaveAndCopy();
  this->Answer(copy, 200, "h1");
  const HttpCall finish = this->Order("/finish");
  this->Leave(this->id);
  CHECK(this->Cancelled(finish));
  CHECK(this->Cancelled(this->call));
  this->Order("/release/h1");
  this->Done(finish);  // an answer that comes after all is passed over
}

TEST_CASE_METHOD(StreamFixture,
                 "stream move, store does not tell, the worker's own report "
                 "does",
                 "[gateway]") {
  this->store_away = true;
  this->Pass(milliseconds(600));
  this->Answer(this->Order(this->source + ":80/report"), 200, "leaving");
  const HttpCall report = this->Order(this->source + ":80/report");
  this->Answer(report, 200, "leaving");
  this->Pass(milliseconds(20));
  this->Order("/copy");
  this->Ask("/stream/8");
  CHECK(HeaderOf(this->Order("/stream/8?a=%20b").headers, "worker") ==
        this->other);
}

TEST_CASE_METHOD(StreamFixture,
                 "stream forwarding, host shuts down, refuses a stream that "
                 "would outlast it and serves a short one",
                 "[gateway]") {
  this->host.Drain(this->now);
  this->Pass(seconds(1));
  const RequestId late = this->Ask("/stream/8");
  CHECK(this->Told(late).status == 503);
  CHECK(this->Told(late).body.find("not_run") != std::string::npos);
  CHECK(this->Told(this->Ask("/order/8")).status == 503);  // no worker for it
}

}  // namespace
}  // namespace limpetlink::testing
