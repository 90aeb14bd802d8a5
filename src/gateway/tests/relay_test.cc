// Requests that pass through a second host: as the host whose caller it is, and
// as the one that relays.
#include <catch2/catch.hpp>
#include <string>

#include "gateway/tests/gateway_fixture.h"

namespace limpetlink::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// @brief A host that can't connect to its workers, and two that can.
class CutOffFixture : public GatewayFixture {
 public:
  CutOffFixture() {
    this->Register("a1", "app");
    this->Register("e1", "engines");
    this->Offer("entry-2");
    this->Offer("entry-3");
  }

  void Offer(const std::string& host) {
    NeighbourMessage message;
    message.host.value = host;
    message.domain.value = "here";
    message.address = host + ":7";
    message.sequence = ++this->sequence;
    message.gossip.relay.emplace().token = "token of " + host;
    this->ReceiveFromNeighbour(message);
  }

  /// @brief Sends a request, whose first connection fails.
  /// @return the call to the host that is to relay it
  HttpCall SendThroughRelay(const std::string& path) {
    this->request = this->SendRequest(path);
    this->EndCall(this->Call(), HttpEnd::kNotConnected);
    HttpCall call = this->Call();
    REQUIRE(call.url.find("http://entry-") == 0);
    return call;
  }

  static Headers Result(const std::string& result) {
    return {{"Limpet-Relay-Result", result}};
  }

  RequestId request;
  std::uint64_t sequence = 0;
};

TEST_CASE_METHOD(CutOffFixture,
                 "relayed request, a host reaches no worker, another one sends "
                 "it and the caller gets the worker's response",
                 "[gateway]") {
  const HttpCall call = this->SendThroughRelay("/order/1");
  const std::string host = call.url.substr(7, 7);
  CHECK(call.url == "http://" + host + ":7/order/1?a=%20b");
  CHECK(HeaderOf(call.headers, "Limpet-Relay-Worker") == "a1");
  CHECK(HeaderOf(call.headers, "Limpet-Relay-Token") == "token of " + host);
  CHECK(HeaderOf(call.headers, "worker") == "a1");
  CHECK(HeaderOf(call.headers, "time-left") == "4000");
  this->Respond(call, 200, "done", Result("worker"));
  CHECK(this->ResponseTo(this->request).status == 200);
  CHECK(this->ResponseTo(this->request).body == "done");
  CHECK(FindHeader(this->ResponseTo(this->request).headers,
                   "Limpet-Relay-Result") == nullptr);
  // The next one needs no failed connection.
  this->SendRequest("/order/2");
  CHECK(this->Call().url.find("http://entry-") == 0);
}

TEST_CASE_METHOD(CutOffFixture,
                 "relayed request, hosts refuse it, goes to each of them once "
                 "and is refused as not run",
                 "[gateway]") {
  const HttpCall first = this->SendThroughRelay("/order/1");
  this->Respond(first, 503, "", Result("not_sent"));
  const HttpCall second = this->Call();
  CHECK(second.url.find("http://entry-") == 0);
  CHECK(second.url != first.url);
  this->Respond(second, 503, "", Result("not_sent"));
  for (const HttpCall& call : this->TakeCalls()) {
    CHECK(call.url.find("http://a1") == 0);
    this->EndCall(call, HttpEnd::kNotConnected);
  }
  CHECK(this->ResponseTo(this->request).status == 503);
  CHECK(this->ResponseTo(this->request).body.find("not_run") !=
        std::string::npos);
}

TEST_CASE_METHOD(CutOffFixture,
                 "relayed request, its way is lost, is not sent again and the "
                 "caller is told that it may have run",
                 "[gateway]") {
  const HttpCall call = this->SendThroughRelay("/order/1");
  SECTION("between the hosts") { this->EndCall(call, HttpEnd::kCut); }
  SECTION("behind the other host") {
    this->Respond(call, 502, "", Result("unknown"));
  }
  SECTION("answered by something else") { this->Respond(call, 503, ""); }
  CHECK(this->TakeCalls().empty());
  CHECK(this->ResponseTo(this->request).status == 502);
  CHECK(this->ResponseTo(this->request).body.find("unknown") !=
        std::string::npos);
}

TEST_CASE_METHOD(CutOffFixture,
                 "relayed request, the other host has no connection to the "
                 "worker either, is refused as not run",
                 "[gateway]") {
  const HttpCall call = this->SendThroughRelay("/order/1");
  this->Respond(call, 503, "", Result("not_connected"));
  CHECK(this->TakeCalls().empty());
  CHECK(this->ResponseTo(this->request).status == 503);
}

TEST_CASE_METHOD(CutOffFixture,
                 "relayed request, the caller disconnects, the other host's "
                 "call is cancelled at once",
                 "[gateway]") {
  const HttpCall call = this->SendThroughRelay("/order/1");
  this->Disconnect(this->request);
  CHECK(this->Cancelled(call));
}

TEST_CASE_METHOD(CutOffFixture,
                 "relayed stream, events arrive, are passed on whole and in "
                 "order until its way is lost",
                 "[gateway]") {
  const HttpCall call = this->SendThroughRelay("/stream/1");
  this->RespondHead(call, 200, Result("worker"));
  this->RespondBytes(call, "id: 1\n\nid: 2\n");
  CHECK(this->ResponseTo(this->request).body == "id: 1\n\n");
  this->RespondBytes(call, "\nid: 3");
  this->EndCall(call, HttpEnd::kCut);
  CHECK(this->ResponseTo(this->request).body == "id: 1\n\nid: 2\n\n");
  CHECK(this->ResponseTo(this->request).aborted);
}

// Guards against a stream that a relay completes although its worker was told
// to stop: chunks between hosts hide that the worker only closed.
TEST_CASE_METHOD(CutOffFixture,
                 "relayed stream, its stopped worker closes the connection, "
                 "resumes at the next worker",
                 "[gateway]") {
  const HttpCall call = this->SendThroughRelay("/stream/1");
  this->Advance(milliseconds(100));  // registrations are read in batches
  this->Register("e2", "engines");
  Headers head = Result("worker");
  head.push_back({"Limpet-Relay-Body", "until-close"});
  this->RespondHead(call, 200, head);
  this->RespondBytes(call, "id: 1\n\n");
  this->Advance(milliseconds(100));
  this->Register("e1", "engines", true);
  this->Respond(this->CallTo("/report"), 200, "", Result("worker"));
  this->Advance(milliseconds(20));
  this->Respond(this->CallTo("/copy"), 200, "h1,1", Result("worker"));
  const HttpCall finish = this->CallTo("/finish");
  this->EndCall(call);
  CHECK_FALSE(this->ResponseTo(this->request).ended);
  this->Respond(finish, 200, "h2,1", Result("worker"));
  const HttpCall resumed = this->CallTo("/stream/1?a=%20b");
  CHECK(HeaderOf(resumed.headers, "worker") == "e2");
  CHECK(HeaderOf(resumed.headers, "resume") == "e1:80/h2/1");
}

TEST_CASE_METHOD(CutOffFixture,
                 "relayed request, its worker requests a pause, binds the host "
                 "whose caller it is",
                 "[gateway]") {
  const HttpCall call = this->SendThroughRelay("/order/1");
  Headers headers = Result("worker");
  headers.push_back({"not-run", "yes"});
  headers.push_back({"pause-ms", "3000"});
  this->Respond(call, 503, "", headers);
  const RequestId next = this->SendRequest("/order/2");
  CHECK(this->TakeCalls().empty());
  CHECK(this->ResponseTo(next).status == 503);
}

/// @brief A host that relays requests of others.
class RelayFixture : public GatewayFixture {
 public:
  RelayFixture() {
    this->Register("a1", "app");
    NeighbourMessage message;
    message.host.value = "entry-2";
    message.domain.value = "here";
    message.address = "10.0.0.2:7";
    message.sequence = 1;
    this->ReceiveFromNeighbour(message);
    this->Advance(milliseconds(1100));
    for (const PeerSend& datagram : this->datagrams) {
      const auto read = DecodeNeighbourMessage(datagram.bytes);
      if (read.ok() && read->gossip.relay.has_value()) {
        this->token = read->gossip.relay->token;
      }
    }
    REQUIRE(this->token.size() == 16);
    this->TakeCalls();
  }

  RequestId Relay(const std::string& path, const std::string& kind = "request",
                  const std::string& worker = "a1") {
    return this->SendHostRequest(path, {{"Host", "fleet"},
                                        {"id", "7"},
                                        {"Limpet-Relay-Worker", worker},
                                        {"Limpet-Relay-Token", this->token},
                                        {"Limpet-Relay-Kind", kind}});
  }

  std::string ResultOf(RequestId id) {
    return HeaderOf(this->ResponseTo(id).headers, "Limpet-Relay-Result");
  }

  std::string token;
};

TEST_CASE_METHOD(RelayFixture,
                 "relay, another host's request, reaches the worker unchanged "
                 "and its response that host",
                 "[gateway]") {
  const RequestId id = this->Relay("/order/1?a=%20b");
  const HttpCall call = this->Call();
  CHECK(call.url == "http://a1:80/order/1?a=%20b");
  CHECK(call.method == "POST");
  CHECK(HeaderOf(call.headers, "id") == "7");
  for (const Header& header : call.headers) {
    CHECK(header.name.find("Limpet-Relay-") == std::string::npos);
  }
  this->Respond(call, 500, "failed",
                {{"kept", "yes"}, {"Limpet-Relay-Result", "not_sent"}});
  CHECK(this->ResponseTo(id).status == 500);
  CHECK(this->ResponseTo(id).body == "failed");
  CHECK(this->ResponseTo(id).ended);
  CHECK_FALSE(this->ResponseTo(id).aborted);
  CHECK(HeaderOf(this->ResponseTo(id).headers, "kept") == "yes");
  CHECK(this->ResultOf(id) == "worker");
}

TEST_CASE_METHOD(RelayFixture,
                 "relay, a response that only its connection's end delimits, "
                 "is marked for the other host",
                 "[gateway]") {
  this->until_close = GENERATE(false, true);
  const RequestId id = this->Relay("/order/1");
  this->Respond(this->Call(), 200, "done", {{"Limpet-Relay-Body", "forged"}});
  CHECK(HeaderOf(this->ResponseTo(id).headers, "Limpet-Relay-Body") ==
        (this->until_close ? "until-close" : ""));
}

TEST_CASE_METHOD(RelayFixture,
                 "relay, a request that is not from a host, is not sent",
                 "[gateway]") {
  SECTION("wrong token") { this->token = "guessed"; }
  SECTION("no token") { this->token.clear(); }
  const RequestId id = this->Relay("/order/1");
  CHECK(this->TakeCalls().empty());
  CHECK(this->ResultOf(id) == "not_sent");
}

TEST_CASE_METHOD(RelayFixture,
                 "relay, a caller claims to be a host, is treated as a caller",
                 "[gateway]") {
  CallerRequest request;
  request.id = RequestId{900};
  request.method = "GET";
  request.path = "/order/1";
  request.target = "/order/1";
  request.headers = {{"Host", "fleet"},
                     {"id", "900"},
                     {"Limpet-Relay-Worker", "a1"},
                     {"Limpet-Relay-Token", this->token}};
  this->Deliver(request);
  CHECK(this->TakeCalls().empty());
  CHECK(this->ResponseTo(request.id).status == 401);  // it has no key
}

TEST_CASE_METHOD(RelayFixture,
                 "relay, the worker can't be reached or breaks off, tells the "
                 "other host what may have run",
                 "[gateway]") {
  const RequestId id = this->Relay("/order/1");
  const HttpCall call = this->Call();
  SECTION("no connection") {
    this->EndCall(call, HttpEnd::kNotConnected);
    CHECK(this->ResultOf(id) == "not_connected");
  }
  SECTION("cut before the response") {
    this->EndCall(call, HttpEnd::kCut);
    CHECK(this->ResultOf(id) == "unknown");
  }
  SECTION("cut in the response") {
    this->RespondHead(call, 200);
    this->RespondBytes(call, "part");
    this->EndCall(call, HttpEnd::kCut);
    CHECK(this->ResponseTo(id).aborted);
  }
}

TEST_CASE_METHOD(RelayFixture,
                 "relay, the worker requests a pause or leaves, gets no more "
                 "requests from this host but its commands",
                 "[gateway]") {
  this->Relay("/order/1");
  SECTION("pause") {
    this->Respond(this->Call(), 503, "",
                  {{"not-run", "yes"}, {"pause-ms", "3000"}});
  }
  SECTION("leaving") {
    this->Respond(this->Call(), 200, "done", {{"leaving", "yes"}});
  }
  const RequestId next = this->Relay("/order/2");
  CHECK(this->TakeCalls().empty());
  CHECK(this->ResultOf(next) == "not_sent");
  const RequestId own = this->SendRequest("/order/3");
  CHECK(this->ResponseTo(own).status == 503);
  this->Relay("/copy", "command");
  CHECK(this->Call().url == "http://a1:80/copy");
}

TEST_CASE_METHOD(RelayFixture,
                 "relay, unknown workers, a stop, a pause of the process or "
                 "too many requests, are refused as not sent",
                 "[gateway]") {
  RequestId id;
  SECTION("unknown worker") { id = this->Relay("/order/1", "request", "x"); }
  SECTION("stop") {
    this->Drain();
    id = this->Relay("/order/1");
  }
  SECTION("pause of the process") {
    this->now += seconds(5);  // no step meanwhile
    id = this->Relay("/order/1");
  }
  SECTION("too many") {
    for (std::size_t i = 0; i < RelayServer::kMaxInProgress; ++i) {
      this->Relay("/order/1");
    }
    CHECK(this->TakeCalls().size() == RelayServer::kMaxInProgress);
    id = this->Relay("/order/1");
  }
  CHECK(this->TakeCalls().empty());
  CHECK(this->ResultOf(id) == "not_sent");
}

TEST_CASE_METHOD(RelayFixture,
                 "relay, the other host cancels, the worker's call is "
                 "cancelled at once",
                 "[gateway]") {
  const RequestId id = this->Relay("/order/1");
  const HttpCall call = this->Call();
  this->Disconnect(id);
  CHECK(this->Cancelled(call));
}

TEST_CASE_METHOD(RelayFixture,
                 "relay, the other host reads slowly, the worker's response is "
                 "read no faster",
                 "[gateway]") {
  const RequestId id = this->Relay("/stream/1");
  const HttpCall call = this->Call();
  this->RespondHead(call, 200);
  this->RespondBytes(call, std::string(65U << 10U, 'x'));
  REQUIRE(this->pauses.size() == 1);
  CHECK(this->pauses[0].id == call.id);
  CHECK(this->pauses[0].paused);
  this->ReportBuffered(id, 1000);
  REQUIRE(this->pauses.size() == 2);
  CHECK_FALSE(this->pauses[1].paused);
}

}  // namespace
}  // namespace limpetlink::testing
