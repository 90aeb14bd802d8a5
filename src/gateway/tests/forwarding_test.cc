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
                 "forwarding, request, is sent unchanged and names its worker",
                 "[gateway]") {
  const RequestId id = this->SendRequest("/order/7");
  const HttpCall call = this->Call();
  CHECK(call.method == "POST");
  CHECK(call.url.find(":80/order/7?a=%20b") != std::string::npos);
  CHECK(call.body == "body");
  const std::string worker = HeaderOf(call.headers, "worker");
  CHECK(call.url.find(worker) != std::string::npos);
  CHECK(HeaderOf(call.headers, "time-left") == "4000");
  this->Respond(call, 200, "done");
  CHECK(this->ResponseTo(id).status == 200);
  CHECK(this->ResponseTo(id).body == "done");
  CHECK(this->ResponseTo(id).ended);
}

TEST_CASE_METHOD(
    ForwardingFixture,
    "forwarding, order cut after it was sent, fails at once without a retry",
    "[gateway]") {
  const RequestId id = this->SendRequest("/order/7");
  this->EndCall(this->Call(), HttpEnd::kCut);
  CHECK(this->ResponseTo(id).status == 502);
  CHECK(this->ResponseTo(id).body.find("\"unknown\"") != std::string::npos);
  CHECK(this->TakeCalls().empty());
}

TEST_CASE_METHOD(
    ForwardingFixture,
    "forwarding, order refused by its worker, is retried at another one",
    "[gateway]") {
  const RequestId id = this->SendRequest("/order/7");
  const HttpCall first = this->Call();
  this->Respond(first, 503, "", {{"not-run", "1"}, {"signed", ""}});
  const HttpCall second = this->Call();
  CHECK(HeaderOf(second.headers, "worker") !=
        HeaderOf(first.headers, "worker"));
  this->Respond(second, 503, "", {{"not-run", "1"}, {"signed", ""}});
  CHECK(this->ResponseTo(id).status == 503);
  CHECK(this->ResponseTo(id).body.find("not_run") != std::string::npos);
  CHECK_FALSE(HeaderOf(this->ResponseTo(id).headers, "Retry-After").empty());
}

TEST_CASE_METHOD(ForwardingFixture,
                 "forwarding, 503 without the guarantee that it did not run, "
                 "is not passed on",
                 "[gateway]") {
  const RequestId id = this->SendRequest("/order/7");
  this->Respond(this->Call(), 503, "busy");
  CHECK(this->ResponseTo(id).status == 502);
}

TEST_CASE_METHOD(ForwardingFixture,
                 "forwarding, response to another request, is not delivered",
                 "[gateway]") {
  const RequestId id = this->SendRequest("/order/7");
  const HttpCall call = this->Call();
  this->RespondHead(call, 200, {{"id", "r999"}});
  CHECK(this->Cancelled(call));
  CHECK(this->ResponseTo(id).status == 502);
}

TEST_CASE_METHOD(ForwardingFixture,
                 "forwarding, success without a signature, is not delivered",
                 "[gateway]") {
  const RequestId id = this->SendRequest("/order/7");
  this->RespondHead(this->Call(), 200, {{"signed", ""}});
  CHECK(this->ResponseTo(id).status == 502);
}

TEST_CASE_METHOD(ForwardingFixture,
                 "forwarding, lookup fails, is retried once and the second "
                 "failure is delivered",
                 "[gateway]") {
  const RequestId id = this->SendRequest("/lookup/7");
  this->Respond(this->Call(), 500, "first");
  CHECK(this->ResponseTo(id).status == 0);
  this->Respond(this->Call(), 500, "second");
  CHECK(this->ResponseTo(id).status == 500);
  CHECK(this->ResponseTo(id).body == "second");
}

TEST_CASE_METHOD(
    ForwardingFixture,
    "forwarding, slow lookup, is hedged and the first response is delivered",
    "[gateway]") {
  const RequestId id = this->SendRequest("/lookup/7");
  const HttpCall first = this->Call();
  this->Advance(milliseconds(130));
  const HttpCall second = this->Call();
  this->Respond(second, 200, "fast");
  CHECK(this->ResponseTo(id).body == "fast");
  CHECK(this->Cancelled(first));
  this->Advance(seconds(5));
  CHECK(this->TakeCalls().empty());
}

TEST_CASE_METHOD(
    ForwardingFixture,
    "forwarding, worker unresponsive, times out exactly at the deadline",
    "[gateway]") {
  const RequestId id = this->SendRequest("/order/7");
  const HttpCall call = this->Call();
  this->Advance(milliseconds(3999));
  CHECK(this->ResponseTo(id).status == 0);
  this->Advance(milliseconds(2));
  CHECK(this->ResponseTo(id).status == 504);
  CHECK(this->Cancelled(call));
}

TEST_CASE_METHOD(
    ForwardingFixture,
    "forwarding, caller disconnects, the call to the worker is cancelled",
    "[gateway]") {
  const RequestId id = this->SendRequest("/order/7");
  const HttpCall call = this->Call();
  this->Disconnect(id);
  CHECK(this->Cancelled(call));
  CHECK_FALSE(this->ResponseTo(id).ended);
}

TEST_CASE_METHOD(ForwardingFixture,
                 "forwarding, no worker, is refused at once with Retry-After",
                 "[gateway]") {
  this->Unregister("app-1");
  this->Register("app-2", "app", true);
  const RequestId id = this->SendRequest("/order/7");
  CHECK(this->ResponseTo(id).status == 503);
  CHECK_FALSE(HeaderOf(this->ResponseTo(id).headers, "Retry-After").empty());
}

TEST_CASE_METHOD(
    ForwardingFixture,
    "forwarding, worker drains, gets no new request and finishes the old ones",
    "[gateway]") {
  const RequestId id = this->SendRequest("/order/1");
  const HttpCall call = this->Call();
  const std::string worker = HeaderOf(call.headers, "worker");
  this->Register(worker, "app", true);
  for (int i = 0; i < 20; ++i) {
    this->SendRequest("/order/2");
    CHECK(HeaderOf(this->Call().headers, "worker") != worker);
  }
  this->Respond(call, 200, "done");
  CHECK(this->ResponseTo(id).status == 200);
}

TEST_CASE_METHOD(ForwardingFixture,
                 "forwarding, unknown key or route, is refused if the "
                 "configuration is current",
                 "[gateway]") {
  CHECK(this->ResponseTo(this->SendRequest("/order/7", "other")).status == 401);
  CHECK(this->ResponseTo(this->SendRequest("/none/7")).status == 404);
}

TEST_CASE_METHOD(ForwardingFixture,
                 "forwarding, store unreachable beyond the revocation delay, "
                 "neither accepts nor rejects a key",
                 "[gateway]") {
  this->store_unreachable = true;
  this->Advance(milliseconds(4000));
  const RequestId early = this->SendRequest("/order/7");
  CHECK(this->ResponseTo(early).status == 0);
  this->Advance(milliseconds(300));
  CHECK(this->ResponseTo(this->SendRequest("/order/7")).status == 503);
  CHECK(this->ResponseTo(this->SendRequest("/order/7", "other")).status == 503);
  CHECK(this->ResponseTo(this->SendRequest("/none/7")).status == 503);
  this->store_unreachable = false;
  this->Advance(seconds(3));
  this->TakeCalls();
  CHECK(this->ResponseTo(this->SendRequest("/order/7")).status == 0);
}

TEST_CASE_METHOD(ForwardingFixture,
                 "forwarding, revoked key, is refused from that version on",
                 "[gateway]") {
  Deployment next = MakeDeployment(8);
  next.holders.front().key_digests = {Sha256Hex("key-2")};
  this->Publish(next);
  CHECK(this->ResponseTo(this->SendRequest("/order/7", "key-1")).status == 401);
  CHECK(this->ResponseTo(this->SendRequest("/order/7", "key-2")).status == 0);
}

TEST_CASE_METHOD(ForwardingFixture,
                 "forwarding, older version arrives late, is not activated",
                 "[gateway]") {
  Deployment next = MakeDeployment(9);
  next.routes.pop_back();
  this->Publish(next);
  this->Publish(MakeDeployment(8));
  CHECK(this->ResponseTo(this->SendRequest("/stream/7")).status == 404);
}

// Guards against requests that are taken late in a planned stop and cut at its
// end, among them such that may not be repeated.
TEST_CASE_METHOD(ForwardingFixture,
                 "forwarding, late in a shutdown, refuses what may not end in "
                 "it as not run",
                 "[gateway]") {
  this->Drain();
  this->Advance(milliseconds(3600));  // 4.1 s are left, an order takes up to 4
  const RequestId early = this->SendRequest("/order/1");
  this->Respond(this->Call(), 200, "done");
  CHECK(this->ResponseTo(early).status == 200);
  this->Advance(milliseconds(200));
  const RequestId late = this->SendRequest("/order/2");
  CHECK(this->TakeCalls().empty());
  CHECK(this->ResponseTo(late).status == 503);
  CHECK(this->ResponseTo(late).body.find("not_run") != std::string::npos);
  CHECK(FindHeader(this->ResponseTo(late).headers, "Retry-After") != nullptr);
  CHECK(HeaderOf(this->ResponseTo(late).headers, "Connection") == "close");
  // A lookup, which its caller may repeat, is taken while it can be answered.
  const RequestId lookup = this->SendRequest("/lookup/1");
  this->Respond(this->Call(), 200, "done");
  CHECK(this->ResponseTo(lookup).status == 200);
  this->Advance(milliseconds(3700));
  const RequestId last = this->SendRequest("/lookup/2");
  CHECK(this->TakeCalls().empty());
  CHECK(this->ResponseTo(last).status == 503);
}

TEST_CASE_METHOD(ForwardingFixture,
                 "forwarding, order in progress at the end of a shutdown, is "
                 "answered and not cut",
                 "[gateway]") {
  this->Drain();
  this->Advance(milliseconds(3600));
  const RequestId id = this->SendRequest("/order/1");
  this->Call();
  this->now += seconds(5);
  this->Deliver(WallClockRead{});
  CHECK(this->ResponseTo(id).ended);
  CHECK_FALSE(this->ResponseTo(id).aborted);
  CHECK(this->ResponseTo(id).body.find("unknown") != std::string::npos);
}

TEST_CASE_METHOD(
    ForwardingFixture,
    "forwarding, shutdown, finishes open requests and closes connections",
    "[gateway]") {
  const RequestId id = this->SendRequest("/order/7");
  const HttpCall call = this->Call();
  this->host.Drain(this->now);
  CHECK_FALSE(this->host.Ready(this->now));
  this->Advance(seconds(3));
  CHECK_FALSE(this->host.Drained());
  CHECK_FALSE(this->host.AcceptsCallers());
  this->Respond(call, 200, "done");
  CHECK(this->ResponseTo(id).body == "done");
  CHECK(HeaderOf(this->ResponseTo(id).headers, "Connection") == "close");
  this->Advance(milliseconds(10));
  CHECK(this->host.Drained());
}

TEST_CASE_METHOD(
    ForwardingFixture,
    "forwarding, retry budget exhausted, a failed lookup is delivered",
    "[gateway]") {
  int attempts = 0;
  int requests = 0;
  for (int i = 0; i < 40; ++i) {
    this->SendRequest("/lookup/7");
    ++requests;
    for (std::vector<HttpCall> calls = this->TakeCalls(); !calls.empty();
         calls = this->TakeCalls()) {
      this->Respond(calls.front(), 500, "");
      attempts += 1;
    }
  }
  CHECK(attempts - requests <= requests);
  CHECK(attempts > requests);
}

TEST_CASE_METHOD(GatewayFixture,
                 "forwarding, a worker's responses come without end, are cut "
                 "in bounded memory and the worker is avoided",
                 "[gateway]") {
  this->Register("sound", "app");
  this->Register("endless", "app");
  constexpr std::size_t kChunk = 1U << 20U;
  std::map<std::uint64_t, std::size_t> open;  // bytes by call
  std::size_t most = 0;
  const auto write_all = [&] {
    for (const auto& [call, bytes] : std::map(open)) {
      HttpCall endless;
      endless.id = CallId{call};
      if (this->Cancelled(endless)) {
        open.erase(call);
        continue;
      }
      open[call] += kChunk;
      this->RespondBytes(endless, std::string(kChunk, 'x'));
      std::size_t sum = 0;
      for (const auto& [id, each] : open) {
        HttpCall other;
        other.id = CallId{id};
        sum += this->Cancelled(other) ? 0 : each;
      }
      most = std::max(most, sum);
    }
  };
  int placed_late = 0;
  std::vector<RequestId> sent;
  for (int round = 0; round < 60; ++round) {
    for (int i = 0; i < (round == 0 ? 40 : 1); ++i) {
      sent.push_back(this->SendRequest("/lookup/" + std::to_string(round)));
    }
    for (const HttpCall& call : this->TakeCalls()) {
      if (HeaderOf(call.headers, "worker") == "endless") {
        placed_late += round >= 45 ? 1 : 0;
        this->RespondHead(call, 200);
        open[call.id.value] = 0;
      } else {
        this->Respond(call, 200, "done");
      }
    }
    write_all();
    for (const HttpCall& call : this->TakeCalls()) {
      this->Respond(call, 200, "done");  // a retry
    }
    this->Advance(milliseconds(40));
  }
  CHECK(most > (16U << 20U));
  CHECK(most <= (25U << 20U));
  CHECK(placed_late == 0);
  for (const RequestId& id : sent) {
    CHECK(this->ResponseTo(id).ended);
    CHECK((this->ResponseTo(id).status == 200 ||
           this->ResponseTo(id).body.find("unknown") != std::string::npos));
  }
}

}  // namespace
}  // namespace limpetlink::testing
