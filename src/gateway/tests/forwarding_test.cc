#include <catch2/catch.hpp>

#include "gateway/tests/gateway_fixture.h"

namespace limpetlink::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ForwardingFixture : public GatewayFixture {
 public:
  ForwardingFixture() {
    this->Register("app-1", "app");
    this->Register("app-2", "app");
  }
};

TEST_CASE_METHOD(ForwardingFixture,
                 "forwarding, request, goes on unchanged and names its worker",
                 "[gateway]") {
  const RequestId id = this->Ask("/order/7");
  const HttpCall call = this->Call();
  CHECK(call.method == "POST");
  CHECK(call.url.find(":80/order/7?a=%20b") != std::string::npos);
  CHECK(call.body == "body");
  const std::string worker = HeaderOf(call.headers, "worker");
  CHECK(call.url.find(worker) != std::string::npos);
  CHECK(HeaderOf(call.headers, "time-left") == "4000");
  this->Answer(call, 200, "done");
  CHECK(this->Told(id).status == 200);
  CHECK(this->Told(id).body == "done");
  CHECK(this->Told(id).ended);
}

TEST_CASE_METHOD(ForwardingFixture,
                 "forwarding, order cut after it was sent, fails at once and "
                 "is sent once",
                 "[gateway]") {
  const RequestId id = this->Ask("/order/7");
  this->Done(this->Call(), HttpEnd::kCut);
  CHECK(this->Told(id).status == 502);
  CHECK(this->Told(id).body.find("\"unknown\"") != std::string::npos);
  CHECK(this->TakeCalls().empty());
}

TEST_CASE_METHOD(ForwardingFixture,
                 "forwarding, order refused by its worker, goes to another one",
                 "[gateway]") {
  const RequestId id = this->Ask("/order/7");
  const HttpCall first = this->Call();
  this->Answer(first, 503, "", {{"not-run", "1"}, {"signed", ""}});
  const HttpCall second = this->Call();
  CHECK(HeaderOf(second.headers, "worker") !=
        HeaderOf(first.headers, "worker"));
  this->Answer(second, 503, "", {{"not-run", "1"}, {"signed", ""}});
  CHECK(this->Told(id).status == 503);
  CHECK(this->Told(id).body.find("not_run") != std::string::npos);
  CHECK_FALSE(HeaderOf(this->Told(id).headers, "Retry-After").empty());
}

TEST_CASE_METHOD(ForwardingFixture,
                 "forwarding, worker answers 503 without saying that it did "
                 "not run, is not passed on as a promise",
                 "[gateway]") {
  const RequestId id = this->Ask("/order/7");
  this->Answer(this->Call(), 503, "busy");
  CHECK(this->Told(id).status == 502);
}

TEST_CASE_METHOD(ForwardingFixture,
                 "forwarding, answer to another request, is not delivered",
                 "[gateway]") {
  const RequestId id = this->Ask("/order/7");
  const HttpCall call = this->Call();
  this->Head(call, 200, {{"id", "r999"}});
  CHECK(this->Cancelled(call));
  CHECK(this->Told(id).status == 502);
}

TEST_CASE_METHOD(ForwardingFixture,
                 "forwarding, success without a signature, is not delivered",
                 "[gateway]") {
  const RequestId id = this->Ask("/order/7");
  this->Head(this->Call(), 200, {{"signed", ""}});
  CHECK(this->Told(id).status == 502);
}

TEST_CASE_METHOD(ForwardingFixture,
                 "forwarding, lookup fails, is tried at another worker and the "
                 "second failure is delivered",
                 "[gateway]") {
  const RequestId id = this->Ask("/lookup/7");
  this->Answer(this->Call(), 500, "first");
  CHECK(this->Told(id).status == 0);
  this->Answer(this->Call(), 500, "second");
  CHECK(this->Told(id).status == 500);
  CHECK(this->Told(id).body == "second");
}

TEST_CASE_METHOD(ForwardingFixture,
                 "forwarding, lookup stays silent, a copy is sent and the "
                 "first answer wins",
                 "[gateway]") {
  const RequestId id = this->Ask("/lookup/7");
  const HttpCall first = this->Call();
  this->Pass(milliseconds(130));
  const HttpCall second = this->Call();
  this->Answer(second, 200, "fast");
  CHECK(this->Told(id).body == "fast");
  CHECK(this->Cancelled(first));
  this->Pass(seconds(5));
  CHECK(this->TakeCalls().empty());
}

TEST_CASE_METHOD(ForwardingFixture,
                 "forwarding, worker silent until the deadline, is answered "
                 "then and not later",
                 "[gateway]") {
  const RequestId id = this->Ask("/order/7");
  const HttpCall call = this->Call();
  this->Pass(milliseconds(3999));
  CHECK(this->Told(id).status == 0);
  this->Pass(milliseconds(2));
  CHECK(this->Told(id).status == 504);
  CHECK(this->Cancelled(call));
}

TEST_CASE_METHOD(ForwardingFixture,
                 "forwarding, caller leaves, the worker's call is cancelled",
                 "[gateway]") {
  const RequestId id = this->Ask("/order/7");
  const HttpCall call = this->Call();
  this->Leave(id);
  CHECK(this->Cancelled(call));
  CHECK_FALSE(this->Told(id).ended);
}

TEST_CASE_METHOD(ForwardingFixture,
                 "forwarding, no worker, is refused at once with a time to "
                 "come back",
                 "[gateway]") {
  this->Unregister("app-1");
  this->Register("app-2", "app", true);
  const RequestId id = this->Ask("/order/7");
  CHECK(this->Told(id).status == 503);
  CHECK_FALSE(HeaderOf(this->Told(id).headers, "Retry-After").empty());
}

TEST_CASE_METHOD(ForwardingFixture,
                 "forwarding, worker drains, gets nothing new while its "
                 "requests end",
                 "[gateway]") {
  const RequestId id = this->Ask("/order/1");
  const HttpCall call = this->Call();
  const std::string worker = HeaderOf(call.headers, "worker");
  this->Register(worker, "app", true);
  for (int i = 0; i < 20; ++i) {
    this->Ask("/order/2");
    CHECK(HeaderOf(this->Call().headers, "worker") != worker);
  }
  this->Answer(call, 200, "done");
  CHECK(this->Told(id).status == 200);
}

TEST_CASE_METHOD(ForwardingFixture,
                 "forwarding, unknown key or route, is refused in a current "
                 "configuration",
                 "[gateway]") {
  CHECK(this->Told(this->Ask("/order/7", "other")).status == 401);
  CHECK(this->Told(this->Ask("/none/7")).status == 404);
}

TEST_CASE_METHOD(ForwardingFixture,
                 "forwarding, store away for longer than revoked keys may "
                 "work, refuses keyed requests without a verdict on the key",
                 "[gateway]") {
  this->store_away = true;
  this->Pass(milliseconds(4000));
  const RequestId early = this->Ask("/order/7");
  CHECK(this->Told(early).status == 0);
  this->Pass(milliseconds(300));
  CHECK(this->Told(this->Ask("/order/7")).status == 503);
  CHECK(this->Told(this->Ask("/order/7", "other")).status == 503);
  CHECK(this->Told(this->Ask("/none/7")).status == 503);
  this->store_away = false;
  this->Pass(seconds(3));
  this->TakeCalls();
  CHECK(this->Told(this->Ask("/order/7")).status == 0);
}

TEST_CASE_METHOD(ForwardingFixture,
                 "forwarding, key taken away, is refused from the version on",
                 "[gateway]") {
  Deployment next = MakeDeployment(8);
  next.holders.front().key_digests = {Sha256Hex("key-2")};
  this->Adopt(next);
  CHECK(this->Told(this->Ask("/order/7", "key-1")).status == 401);
  CHECK(this->Told(this->Ask("/order/7", "key-2")).status == 0);
}

TEST_CASE_METHOD(ForwardingFixture,
                 "forwarding, older version arrives late, does not come back",
                 "[gateway]") {
  Deployment next = MakeDeployment(9);
  next.routes.pop_back();
  this->Adopt(next);
  this->Adopt(MakeDeployment(8));
  CHECK(this->Told(this->Ask("/stream/7")).status == 404);
}

TEST_CASE_METHOD(ForwardingFixture,
                 "forwarding, shutdown, finishes what is in progress and says "
                 "that connections close",
                 "[gateway]") {
  const RequestId id = this->Ask("/order/7");
  const HttpCall call = this->Call();
  this->host.Drain(this->now);
  CHECK_FALSE(this->host.Ready(this->now));
  this->Pass(seconds(3));
  CHECK_FALSE(this->host.Drained());
  CHECK_FALSE(this->host.AcceptsCallers());
  this->Answer(call, 200, "done");
  CHECK(this->Told(id).body == "done");
  CHECK(HeaderOf(this->Told(id).headers, "Connection") == "close");
  this->Pass(milliseconds(10));
  CHECK(this->host.Drained());
}

TEST_CASE_METHOD(ForwardingFixture,
                 "forwarding, retry budget spent, a failed lookup is delivered",
                 "[gateway]") {
  int repeats = 0;
  int asked = 0;
  for (int i = 0; i < 40; ++i) {
    this->Ask("/lookup/7");
    ++asked;
    for (std::vector<HttpCall> calls = this->TakeCalls(); !calls.empty();
         calls = this->TakeCalls()) {
      this->Answer(calls.front(), 500, "");
      repeats += 1;
    }
  }
  CHECK(repeats - asked <= asked);
  CHECK(repeats > asked);
}

}  // namespace
}  // namespace limpetlink::testing
