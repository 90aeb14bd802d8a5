#include "adapters/tests/support.h"

namespace limpetlink::testing {
namespace {

class ServerFixture {
 public:
  ServerFixture() {
    HttpServerSettings settings;
    settings.listen = "127.0.0.1:0";
    settings.max_body_bytes = 1000;
    settings.max_buffered_bytes = 4U << 20U;
    this->server = std::make_unique<HttpServer>(settings, this->events.Sink());
    REQUIRE(this->server->Start().ok());
  }

  std::string Url(const std::string& path) const {
    return "http://127.0.0.1:" + std::to_string(this->server->Port()) + path;
  }

  void Reply(RequestId id, const std::string& body) {
    this->server->Execute(ReplyHead{id, 200, {{"X-Test", "yes"}}});
    this->server->Execute(ReplyBody{id, body});
    this->server->Execute(ReplyEnd{id});
    this->server->Flush();
  }

  Recorder events;
  std::unique_ptr<HttpServer> server;
};

class ClientFixture : public ServerFixture {
 public:
  ClientFixture() { this->client.Start(); }

  void Call(std::uint64_t id, const std::string& method, const std::string& url,
            const std::string& body = "") {
    HttpCall call;
    call.id = CallId{id};
    call.method = method;
    call.url = url;
    call.body = body;
    this->client.Execute(call);
    this->client.Flush();
  }

  Recorder responses;
  HttpClient client{HttpClientSettings{}, this->responses.Sink()};
};

}  // namespace

TEST_CASE_METHOD(
    ClientFixture,
    "http, a post with a body, request and complete reply arrive") {
  this->Call(1, "POST", this->Url("/v1/a%2Fb?x=%20y"), "hello");
  const CallerRequest request = this->events.Next<CallerRequest>();
  CHECK(request.method == "POST");
  CHECK(request.path == "/v1/a%2Fb");
  CHECK(request.query == "x=%20y");
  CHECK(request.body == "hello");
  CHECK_FALSE(request.body_too_large);
  this->Reply(request.id, "world");
  const HttpHead head = this->responses.Next<HttpHead>();
  CHECK(head.status == 200);
  REQUIRE(FindHeader(head.headers, "x-test") != nullptr);
  CHECK(this->responses.Next<HttpDone>().end == HttpEnd::kComplete);
  CHECK(this->responses.BodyOf(CallId{1}) == "world");
}

TEST_CASE_METHOD(ClientFixture,
                 "http, a body over the limit, it is dropped and reported") {
  this->Call(1, "POST", this->Url("/"), std::string(100000, 'x'));
  const CallerRequest request = this->events.Next<CallerRequest>();
  CHECK(request.body_too_large);
  CHECK(request.body.empty());
  this->Reply(request.id, "no");
  CHECK(this->responses.Next<HttpDone>().end == HttpEnd::kComplete);
  CHECK(this->server->Counts().too_large == 1);
}

TEST_CASE_METHOD(
    ClientFixture,
    "http, a reply in many parts, it arrives complete and in order") {
  this->Call(1, "GET", this->Url("/stream"));
  const RequestId id = this->events.Next<CallerRequest>().id;
  this->server->Execute(
      ReplyHead{id, 200, {{"Content-Type", "text/event-stream"}}});
  this->server->Flush();
  CHECK(this->responses.Next<HttpHead>().status == 200);
  std::string expected;
  for (int part = 0; part < 500; ++part) {
    const std::string bytes = "part " + std::to_string(part) + "\n";
    expected += bytes;
    this->server->Execute(ReplyBody{id, bytes});
    if (part % 7 == 0) {
      this->server->Flush();
    }
  }
  this->server->Execute(ReplyEnd{id});
  this->server->Flush();
  CHECK(this->responses.Next<HttpDone>().end == HttpEnd::kComplete);
  CHECK(this->responses.BodyOf(CallId{1}) == expected);
}

TEST_CASE_METHOD(
    ClientFixture,
    "http, an aborted reply, the caller sees that it is incomplete") {
  this->Call(1, "GET", this->Url("/"));
  const RequestId id = this->events.Next<CallerRequest>().id;
  this->server->Execute(ReplyHead{id, 200, {}});
  this->server->Execute(ReplyBody{id, "partial"});
  this->server->Execute(ReplyEnd{id, true});
  this->server->Flush();
  CHECK(this->responses.Next<HttpDone>().end == HttpEnd::kCut);
}

TEST_CASE_METHOD(
    ServerFixture,
    "http, a caller disconnects while it waits, the core is notified once") {
  const int caller = ConnectTo(this->server->Port());
  SendAll(caller, "GET /wait HTTP/1.1\r\nHost: x\r\n\r\n");
  const RequestId id = this->events.Next<CallerRequest>().id;
  close(caller);
  CHECK(this->events.Next<CallerDisconnected>().id == id);
  this->Reply(id, "late");
  CHECK(this->server->Counts().disconnected == 1);
}

TEST_CASE_METHOD(
    ServerFixture,
    "http, a caller that reads, the core is notified of sent bytes") {
  const int caller = ConnectTo(this->server->Port());
  SendAll(caller, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  const RequestId id = this->events.Next<CallerRequest>().id;
  this->server->Execute(ReplyHead{id, 200, {}});
  this->server->Execute(
      ReplyBody{id, std::string(2 * HttpServer::kDrainStep, 'x')});
  this->server->Flush();
  CHECK(this->events.Next<CallerBufferDrained>().id == id);
  close(caller);
}

TEST_CASE_METHOD(
    ServerFixture,
    "http, a caller that does not read, its buffer stays limited") {
  const int caller = ConnectTo(this->server->Port());
  SendAll(caller, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  const RequestId id = this->events.Next<CallerRequest>().id;
  this->server->Execute(ReplyHead{id, 200, {}});
  for (int i = 0; i < 64 && this->server->Counts().overflowed == 0; ++i) {
    this->server->Execute(ReplyBody{id, std::string(1U << 20U, 'x')});
    this->server->Flush();
  }
  CHECK(this->server->Counts().overflowed == 1);
  CHECK(this->events.Next<CallerDisconnected>().id == id);
  close(caller);
}

TEST_CASE_METHOD(
    ServerFixture,
    "http, the server stops with waiting callers, they are closed") {
  const int caller = ConnectTo(this->server->Port());
  SendAll(caller, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  this->events.Next<CallerRequest>();
  this->server->Stop();
  CHECK(ReadUntil(caller, "HTTP").empty());
  close(caller);
}

TEST_CASE_METHOD(ClientFixture, "a call, nobody listens, it is not connected") {
  Listener listener;
  const std::string url = listener.Url("/");
  listener.Close();
  this->Call(1, "POST", url, "payload");
  CHECK(this->responses.Next<HttpDone>().end == HttpEnd::kNotConnected);
}

TEST_CASE_METHOD(ClientFixture,
                 "a call, the upstream closes after reading it, it is cut") {
  const Listener listener;
  this->Call(1, "POST", listener.Url("/"), "payload");
  const int upstream = listener.Accept();
  ReadUntil(upstream, "payload");
  close(upstream);
  CHECK(this->responses.Next<HttpDone>().end == HttpEnd::kCut);
}

TEST_CASE_METHOD(ClientFixture,
                 "a call, the upstream closes without reading, it is cut") {
  const Listener listener;
  this->Call(1, "POST", listener.Url("/"), "payload");
  close(listener.Accept());
  CHECK(this->responses.Next<HttpDone>().end == HttpEnd::kCut);
}

TEST_CASE_METHOD(ClientFixture,
                 "a call, the response is truncated, it is cut") {
  const Listener listener;
  this->Call(1, "GET", listener.Url("/"));
  const int upstream = listener.Accept();
  ReadUntil(upstream, "\r\n\r\n");
  SendAll(upstream, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort");
  close(upstream);
  CHECK(this->responses.Next<HttpDone>().end == HttpEnd::kCut);
  CHECK(this->responses.BodyOf(CallId{1}) == "short");
}

TEST_CASE_METHOD(ClientFixture,
                 "a call, an idle connection breaks, nothing is sent twice") {
  const Listener listener;
  this->Call(1, "GET", listener.Url("/first"));
  const int upstream = listener.Accept();
  ReadUntil(upstream, "\r\n\r\n");
  SendAll(upstream, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  CHECK(this->responses.Next<HttpDone>(0).end == HttpEnd::kComplete);
  this->Call(2, "GET", listener.Url("/second"));
  CHECK(ReadUntil(upstream, "\r\n\r\n").find("/second") != std::string::npos);
  close(upstream);
  CHECK(this->responses.Next<HttpDone>(1).end == HttpEnd::kCut);
  CHECK(this->client.Counts().resends_blocked == 1);
}

TEST_CASE_METHOD(ClientFixture,
                 "a call, a POST, it does not use an idle connection") {
  const Listener listener;
  this->Call(1, "GET", listener.Url("/first"));
  const int first = listener.Accept();
  ReadUntil(first, "\r\n\r\n");
  SendAll(first, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  CHECK(this->responses.Next<HttpDone>(0).end == HttpEnd::kComplete);
  this->Call(2, "POST", listener.Url("/second"), "payload");
  const int second = listener.Accept();
  CHECK(ReadUntil(second, "payload").find("/second") != std::string::npos);
  SendAll(second, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  CHECK(this->responses.Next<HttpDone>(1).end == HttpEnd::kComplete);
  close(first);
  close(second);
}

TEST_CASE_METHOD(ClientFixture,
                 "a call, its total timeout expires, it ends as a timeout") {
  const Listener listener;
  HttpCall call;
  call.id = CallId{1};
  call.method = "GET";
  call.url = listener.Url("/");
  call.total_timeout = std::chrono::milliseconds(20);
  this->client.Execute(call);
  this->client.Flush();
  CHECK(this->responses.Next<HttpDone>().end == HttpEnd::kTimeout);
}

TEST_CASE_METHOD(ClientFixture,
                 "a call, cancelled, the upstream sees the connection end") {
  const Listener listener;
  this->Call(1, "POST", listener.Url("/"), "payload");
  const int upstream = listener.Accept();
  ReadUntil(upstream, "payload");
  this->client.Execute(HttpCancel{CallId{1}});
  this->client.Flush();
  CHECK(ReadUntil(upstream, "never").empty());
  CHECK(this->client.Counts().cancelled == 1);
  close(upstream);
}

TEST_CASE_METHOD(ClientFixture,
                 "a call, paused and resumed, the complete response arrives") {
  const Listener listener;
  this->Call(1, "GET", listener.Url("/"));
  const int upstream = listener.Accept();
  ReadUntil(upstream, "\r\n\r\n");
  SendAll(upstream, "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n");
  this->responses.Next<HttpHead>();
  this->client.Execute(HttpPause{CallId{1}, true});
  this->client.Flush();
  SendAll(upstream, "12345678");
  this->client.Execute(HttpPause{CallId{1}, false});
  this->client.Flush();
  CHECK(this->responses.Next<HttpDone>().end == HttpEnd::kComplete);
  CHECK(this->responses.BodyOf(CallId{1}) == "12345678");
  close(upstream);
}

TEST_CASE_METHOD(ClientFixture,
                 "a call, a header with a line break, the header is omitted") {
  HttpCall call;
  call.id = CallId{1};
  call.method = "GET";
  call.url = this->Url("/");
  call.headers = {{"X-Bad", "a\r\nX-Smuggled: b"}, {"X-Good", "c"}};
  this->client.Execute(call);
  this->client.Flush();
  const CallerRequest request = this->events.Next<CallerRequest>();
  CHECK(FindHeader(request.headers, "X-Smuggled") == nullptr);
  CHECK(FindHeader(request.headers, "X-Good") != nullptr);
}

}  // namespace limpetlink::testing
