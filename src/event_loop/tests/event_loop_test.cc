#include "event_loop/event_loop.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <functional>
#include <thread>

namespace limpetlink {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

/// @brief A core whose reactions to events are set by the test.
class ScriptedCore {
 public:
  Actions Start(Instant /*now*/) { return {}; }
  Actions Step(Instant /*now*/, const Event& event) {
    return this->step(event);
  }
  Actions Tick(Instant /*now*/) { return {}; }
  Actions Drain(Instant /*now*/) {
    this->draining = true;
    return {};
  }
  Instant NextWakeup() const { return kNever; }
  bool Draining() const { return this->draining; }
  bool Drained() const { return this->draining && !this->busy; }

  std::function<Actions(const Event&)> step;
  std::atomic<bool> busy{false};  ///< has requests in progress

 private:
  std::atomic<bool> draining{false};
};

Actions ReplyTo(const CallerRequest& request, std::string body) {
  return {ReplyHead{request.id, 200, {}},
          ReplyBody{request.id, std::move(body)}, ReplyEnd{request.id, false}};
}

/// @brief A worker that serves one connection at a time with raw bytes.
class RawServer {
 public:
  RawServer()
      : acceptor(context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {}

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->port);
  }

  void Close() { this->acceptor.close(); }

  Tcp::socket Accept() { return this->acceptor.accept(); }

 private:
  asio::io_context context;
  Tcp::acceptor acceptor;
  std::uint16_t port = this->acceptor.local_endpoint().port();
};

std::string ReadRequest(Tcp::socket* socket) {
  std::string text;
  std::array<char, 4096> buffer{};
  while (text.find("\r\n\r\n") == std::string::npos) {
    boost::system::error_code error;
    const std::size_t size = socket->read_some(asio::buffer(buffer), error);
    if (error) {
      break;
    }
    text.append(buffer.data(), size);
  }
  return text;
}

void WriteText(Tcp::socket* socket, const std::string& text) {
  boost::system::error_code
      ignored;  // the peer may have closed; the tests check that
  asio::write(*socket, asio::buffer(text), ignored);
}

class EventLoopFixture {
 public:
  EventLoopFixture() {
    EventLoopHooks hooks;
    hooks.http_limits = [this] { return this->http_limits; };
    hooks.accepts_callers = [this] { return !this->core.Drained(); };
    hooks.reload = [] {};
    hooks.log = [this](const LogLine& line, Instant) {
      this->ignored_signals += line.message == "signal ignored" ? 1 : 0;
    };
    hooks.span = [](const SpanRecord&) {};
    this->loop = std::make_unique<EventLoop>(
        EventLoopSettings{"127.0.0.1:0", "", "127.0.0.1:0", "127.0.0.1:0",
                          1U << 20U},
        HooksOf(&this->core), hooks);
    REQUIRE(this->loop->Start().ok());
  }

  ~EventLoopFixture() { this->Stop(); }

  void Run() {
    this->thread = std::thread([this] { this->loop->Run(); });
  }

  void Stop() {
    if (this->thread.joinable()) {
      this->loop->RequestDrain();
      this->thread.join();
    }
  }

  Tcp::socket Connect() {
    Tcp::socket socket(this->context);
    socket.connect(
        {asio::ip::address_v4::loopback(), this->loop->CallersPort()});
    return socket;
  }

  /// @brief Sends bytes on a new connection and reads until the peer closes it.
  std::string Exchange(const std::string& bytes) {
    Tcp::socket socket = this->Connect();
    WriteText(&socket, bytes);
    std::string text;
    boost::system::error_code end;
    asio::read(socket, asio::dynamic_buffer(text), end);
    return text;
  }

  ScriptedCore core;
  std::atomic<int> ignored_signals{0};
  HttpLimits http_limits;
  asio::io_context context;
  std::unique_ptr<EventLoop> loop;
  std::thread thread;
};

TEST_CASE_METHOD(EventLoopFixture,
                 "event loop, request, reaches the core unchanged",
                 "[event_loop]") {
  this->core.step = [](const Event& event) -> Actions {
    const auto* request = std::get_if<CallerRequest>(&event);
    return request == nullptr
               ? Actions{}
               : ReplyTo(*request, request->method + " " + request->target +
                                       " " + request->body);
  };
  this->Run();
  const std::string text = this->Exchange(
      "POST /a%2Fb//c?x=%20&y HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
      "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  CHECK(text.find("POST /a%2Fb//c?x=%20&y abcde") != std::string::npos);
  CHECK(text.find("Content-Length: 28") != std::string::npos);
}

TEST_CASE_METHOD(
    EventLoopFixture,
    "event loop, requests at the address for hosts, are told apart "
    "and their connections outlast the callers' idle timeout",
    "[event_loop]") {
  this->http_limits.idle_timeout = std::chrono::milliseconds(100);
  this->core.step = [](const Event& event) -> Actions {
    const auto* request = std::get_if<CallerRequest>(&event);
    return request == nullptr
               ? Actions{}
               : ReplyTo(*request, request->source == RequestSource::kHost
                                       ? "from a host"
                                       : "from a caller");
  };
  this->Run();
  Tcp::socket socket(this->context);
  socket.connect({asio::ip::address_v4::loopback(), this->loop->RelaysPort()});
  for (int i = 0; i < 2; ++i) {
    WriteText(&socket, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    std::string text;
    std::array<char, 4096> buffer{};
    while (text.find("from a") == std::string::npos) {
      boost::system::error_code error;
      const std::size_t size = socket.read_some(asio::buffer(buffer), error);
      REQUIRE_FALSE(error);
      text.append(buffer.data(), size);
    }
    CHECK(text.find("from a host") != std::string::npos);
    std::this_thread::sleep_for(std::chrono::milliseconds(1200));
  }
  CHECK(this->Exchange("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                       "\r\n")
            .find("from a caller") != std::string::npos);
}

TEST_CASE_METHOD(EventLoopFixture,
                 "event loop, connection opened ahead of a call, tells whether "
                 "it was established",
                 "[event_loop]") {
  RawServer worker;
  const std::string address = worker.Address();
  RequestId caller;
  this->core.step = [&](const Event& event) -> Actions {
    if (const auto* request = std::get_if<CallerRequest>(&event)) {
      caller = request->id;
      return {HttpPreconnect{address, CallId{request->id.value}}};
    }
    if (const auto* done = std::get_if<HttpDone>(&event)) {
      CallerRequest request;
      request.id = caller;
      return ReplyTo(request, std::string(ToText(done->end)));
    }
    return {};
  };
  this->Run();
  const std::string request =
      "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
  CHECK(this->Exchange(request).find("complete") != std::string::npos);
  worker.Close();
  CHECK(this->Exchange(request).find("not_connected") != std::string::npos);
}

TEST_CASE_METHOD(EventLoopFixture,
                 "event loop, request with ambiguous length, is rejected",
                 "[event_loop]") {
  int requests = 0;
  this->core.step = [&requests](const Event& event) -> Actions {
    if (const auto* request = std::get_if<CallerRequest>(&event)) {
      ++requests;
      return ReplyTo(*request, "");
    }
    return {};
  };
  this->Run();
  const std::string conflicting_framing = this->Exchange(
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\n\r\n");
  CHECK(conflicting_framing.find("400") != std::string::npos);
  const std::string two_lengths = this->Exchange(
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
      "Content-Length: 4\r\n\r\nabcd");
  CHECK(two_lengths.find("400") != std::string::npos);
  this->Stop();
  CHECK(requests == 0);
}

TEST_CASE_METHOD(EventLoopFixture,
                 "event loop, head or body over its limit, is rejected",
                 "[event_loop]") {
  this->http_limits.header_bytes = 1024;
  this->http_limits.body_bytes = 100;
  this->core.step = [](const Event& /*event*/) { return Actions{}; };
  this->Run();
  CHECK(this->Exchange("GET / HTTP/1.1\r\nHost: h\r\nX: " +
                       std::string(2000, 'x') + "\r\n\r\n")
            .find("431") != std::string::npos);
  CHECK(this->Exchange("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200\r\n"
                       "\r\n")
            .find("413") != std::string::npos);
}

TEST_CASE_METHOD(EventLoopFixture,
                 "event loop, caller disconnects while its request waits, the "
                 "core is notified",
                 "[event_loop]") {
  std::atomic<bool> disconnected{false};
  this->core.step = [&disconnected](const Event& event) -> Actions {
    disconnected =
        disconnected || std::holds_alternative<CallerDisconnected>(event);
    return {};
  };
  this->Run();
  {
    Tcp::socket socket = this->Connect();
    WriteText(&socket, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  for (int i = 0; !disconnected && i < 200; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  CHECK(disconnected);
}

// Guards against streams that are cut by a second SIGTERM within the grace
// period.
TEST_CASE_METHOD(EventLoopFixture,
                 "event loop, second SIGTERM, lets requests in progress finish",
                 "[event_loop]") {
  RequestId first;
  this->core.step = [&](const Event& event) -> Actions {
    if (const auto* request = std::get_if<CallerRequest>(&event)) {
      if (first.value == 0) {
        first = request->id;
        return {ReplyHead{first, 200, {}}, ReplyBody{first, "begin "}};
      }
      this->core.busy = false;
      Actions actions = ReplyTo(*request, "second");
      actions.emplace_back(ReplyBody{first, "end"});
      actions.emplace_back(ReplyEnd{first, false});
      return actions;
    }
    return {};
  };
  this->core.busy = true;
  this->Run();
  Tcp::socket other = this->Connect();
  Tcp::socket socket = this->Connect();
  const std::string request =
      "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
  WriteText(&socket, request);
  ReadRequest(&socket);  // the head
  const auto wait_for = [](const std::function<bool()>& condition) {
    for (int i = 0; !condition() && i < 500; ++i) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return condition();
  };
  std::raise(SIGTERM);
  REQUIRE(wait_for([this] { return this->core.Draining(); }));
  std::raise(SIGTERM);
  REQUIRE(wait_for([this] { return this->ignored_signals == 1; }));
  WriteText(&other, request);
  std::string rest;
  boost::system::error_code end;
  asio::read(socket, asio::dynamic_buffer(rest), end);
  CHECK(rest.find("end") != std::string::npos);
  CHECK(rest.find("0\r\n\r\n") != std::string::npos);
}

TEST_CASE_METHOD(EventLoopFixture,
                 "event loop, aborted reply, is seen as incomplete",
                 "[event_loop]") {
  this->core.step = [](const Event& event) -> Actions {
    const auto* request = std::get_if<CallerRequest>(&event);
    if (request == nullptr) {
      return {};
    }
    return {ReplyHead{request->id, 200, {}}, ReplyBody{request->id, "part"},
            ReplyEnd{request->id, true}};
  };
  this->Run();
  const std::string text = this->Exchange("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(text.find("part") != std::string::npos);
  CHECK(text.find("Content-Length") == std::string::npos);
  CHECK(text.find("0\r\n\r\n") == std::string::npos);
}

// Guards against a process that runs out of memory: bodies were bounded one by
// one only, and bytes that the parser had not consumed by the idle timeout.
TEST_CASE_METHOD(EventLoopFixture,
                 "event loop, requests beyond the memory for them, are "
                 "rejected until others have ended",
                 "[event_loop]") {
  constexpr int kCallers = 12;
  constexpr std::size_t kBody = 200U << 10U;  // the loop holds 1 MiB of them
  const std::string request =
      "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: " +
      std::to_string(kBody) + "\r\n\r\n" + std::string(kBody, 'x');
  std::vector<RequestId> waiting;
  std::atomic<bool> answers{false};
  this->core.step = [&](const Event& event) -> Actions {
    const auto* arrived = std::get_if<CallerRequest>(&event);
    if (arrived == nullptr) {
      return {};
    }
    waiting.push_back(arrived->id);
    if (!answers) {
      return {};
    }
    Actions actions;
    for (const RequestId id : std::exchange(waiting, {})) {
      CallerRequest each;
      each.id = id;
      for (Action& action : ReplyTo(each, "done")) {
        actions.push_back(std::move(action));
      }
    }
    return actions;
  };
  this->Run();
  std::vector<Tcp::socket> held;
  int rejected = 0;
  for (int i = 0; i < kCallers; ++i) {
    Tcp::socket socket = this->Connect();
    WriteText(&socket, request);
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    if (socket.available() > 0) {
      const std::string text = ReadRequest(&socket);
      CHECK(text.find("503") != std::string::npos);
      CHECK(text.find("Retry-After: 1") != std::string::npos);
      ++rejected;
    } else {
      held.push_back(std::move(socket));
    }
  }
  CHECK(held.size() == 5);
  CHECK(rejected == kCallers - 5);
  answers = true;
  CHECK(this->Exchange("GET / HTTP/1.1\r\nHost: h\r\n"
                       "Connection: close\r\n\r\n")
            .find("done") != std::string::npos);
  for (Tcp::socket& socket : held) {
    CHECK(ReadRequest(&socket).find("200") != std::string::npos);
  }
  CHECK(this->Exchange(request).find("done") != std::string::npos);
}

TEST_CASE_METHOD(EventLoopFixture,
                 "event loop, caller's size line or trailer without end, is "
                 "rejected",
                 "[event_loop]") {
  this->core.step = [](const Event& /*event*/) { return Actions{}; };
  this->Run();
  const std::string begin =
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  CHECK(this->Exchange(begin + "1;" + std::string(100U << 10U, 'x'))
            .find("400") != std::string::npos);
  std::string lines;
  for (int i = 0; i < 100; ++i) {
    lines += "X-Line: " + std::string(1000, 'x') + "\r\n";
  }
  CHECK(this->Exchange(begin + "0\r\n" + lines).find("400") !=
        std::string::npos);
}

/// @brief A core that makes a call for each caller's request and replies with
/// how the call ended.
class CallFixture : public EventLoopFixture {
 public:
  CallFixture() {
    this->core.step = [this](const Event& event) -> Actions {
      if (const auto* request = std::get_if<CallerRequest>(&event)) {
        this->caller = request->id;
        HttpCall call;
        call.id = CallId{++this->last_call};
        call.method = "POST";
        call.url = "http://" + this->worker.Address() + request->target;
        call.body = "body";
        call.total_timeout = this->total_timeout;
        call.max_body = this->max_body;
        return {call};
      }
      if (const auto* head = std::get_if<HttpHead>(&event)) {
        this->status = head->status;
        this->until_close = head->until_close;
      }
      if (const auto* chunk = std::get_if<HttpChunk>(&event)) {
        this->received += chunk->bytes;
      }
      if (const auto* done = std::get_if<HttpDone>(&event)) {
        CallerRequest request;
        request.id = this->caller;
        std::string summary = std::string(ToText(done->end)) + " " +
                              std::to_string(this->status) + " " +
                              this->received;
        this->received.clear();
        this->status = 0;
        return ReplyTo(request, summary);
      }
      return {};
    };
    this->Run();
  }

  /// @brief Sends one request on a new connection.
  std::string SendRequest() {
    return this->Exchange(
        "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  }

  RawServer worker;
  RequestId caller;
  std::uint64_t last_call = 0;
  int status = 0;
  std::atomic<bool> until_close{false};
  std::string received;
  Duration total_timeout{0};
  std::uint64_t max_body = 0;
};

TEST_CASE_METHOD(CallFixture,
                 "call, response without a length, is complete when the "
                 "connection closes in order",
                 "[event_loop]") {
  std::thread server([this] {
    Tcp::socket socket = this->worker.Accept();
    ReadRequest(&socket);
    WriteText(&socket, "HTTP/1.1 200 OK\r\n\r\nabc");
  });
  CHECK(this->SendRequest().find("complete 200 abc") != std::string::npos);
  CHECK(this->until_close);
  server.join();
}

TEST_CASE_METHOD(CallFixture,
                 "call, response with a length or chunks, is told apart from "
                 "one that its connection's end delimits",
                 "[event_loop]") {
  const std::string body =
      GENERATE(as<std::string>(), "Content-Length: 3\r\n\r\nabc",
               "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
  std::thread server([this, &body] {
    Tcp::socket socket = this->worker.Accept();
    ReadRequest(&socket);
    WriteText(&socket, "HTTP/1.1 200 OK\r\n" + body);
  });
  CHECK(this->SendRequest().find("complete 200 abc") != std::string::npos);
  CHECK_FALSE(this->until_close);
  server.join();
}

TEST_CASE_METHOD(CallFixture,
                 "call, response without a length is reset, is incomplete",
                 "[event_loop]") {
  std::thread server([this] {
    Tcp::socket socket = this->worker.Accept();
    ReadRequest(&socket);
    WriteText(&socket, "HTTP/1.1 200 OK\r\n\r\nabc");
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    socket.set_option(asio::socket_base::linger(true, 0));
    socket.close();  // resets the connection; the destructor would close it in
                     // order
  });
  const std::string text = this->SendRequest();
  INFO(text);
  CHECK(text.find("cut 200 abc") != std::string::npos);
  server.join();
}

TEST_CASE_METHOD(CallFixture,
                 "call, connection refused, reports that no byte was sent",
                 "[event_loop]") {
  this->worker.Close();
  CHECK(this->SendRequest().find("not_connected 0") != std::string::npos);
}

TEST_CASE_METHOD(CallFixture,
                 "call, idle connection gets unexpected bytes, is not reused",
                 "[event_loop]") {
  std::thread server([this] {
    Tcp::socket first = this->worker.Accept();
    ReadRequest(&first);
    WriteText(&first, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none");
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
    WriteText(&first, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray");
    Tcp::socket second = this->worker.Accept();
    ReadRequest(&second);
    WriteText(&second, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo");
  });
  CHECK(this->SendRequest().find("complete 200 one") != std::string::npos);
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  CHECK(this->SendRequest().find("complete 200 two") != std::string::npos);
  server.join();
}

TEST_CASE_METHOD(CallFixture,
                 "call, idle connection closes as the request is sent, is not "
                 "sent again",
                 "[event_loop]") {
  std::string second;  // read after the thread has ended
  std::thread server([this, &second] {
    Tcp::socket socket = this->worker.Accept();
    ReadRequest(&socket);
    WriteText(&socket, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none");
    second = ReadRequest(&socket);
  });
  CHECK(this->SendRequest().find("complete 200 one") != std::string::npos);
  CHECK(this->SendRequest().find("cut 0") != std::string::npos);
  server.join();
  CHECK(second.find("POST /x") == 0);
}

TEST_CASE_METHOD(CallFixture,
                 "call, response has more bytes than its length, drops them",
                 "[event_loop]") {
  std::thread server([this] {
    Tcp::socket socket = this->worker.Accept();
    ReadRequest(&socket);
    WriteText(&socket,
              "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\noneHTTP/1.1 200 "
              "OK\r\nContent-Length: 5\r\n\r\nextra");
    Tcp::socket second = this->worker.Accept();
    ReadRequest(&second);
    WriteText(&second, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo");
  });
  CHECK(this->SendRequest().find("complete 200 one") != std::string::npos);
  CHECK(this->SendRequest().find("complete 200 two") != std::string::npos);
  server.join();
}

TEST_CASE_METHOD(CallFixture, "call, malformed response, ends as cut",
                 "[event_loop]") {
  std::thread server([this] {
    Tcp::socket socket = this->worker.Accept();
    ReadRequest(&socket);
    WriteText(&socket, "\x01\x02 nonsense\r\n\r\n");
  });
  CHECK(this->SendRequest().find("cut 0") != std::string::npos);
  server.join();
}

/// @brief A server that writes without end until the client closes.
class EndlessFixture : public CallFixture {
 public:
  /// @return the bytes written before the client had closed; none if it never
  /// did
  std::size_t WriteUntilClosed(const std::string& begin,
                               const std::string& repeated,
                               std::chrono::milliseconds pause = {}) {
    constexpr std::size_t kGiveUp = 256U << 20U;
    Tcp::socket socket = this->worker.Accept();
    ReadRequest(&socket);
    WriteText(&socket, begin);
    boost::system::error_code error;
    std::size_t written = 0;
    while (!error && written < kGiveUp) {
      written += asio::write(socket, asio::buffer(repeated), error);
      std::this_thread::sleep_for(pause);
    }
    return error ? written : 0;
  }
};

// Guards against a process that runs out of memory (review/4): what a worker
// sends of a size line or trailer was kept until it was complete.
TEST_CASE_METHOD(EndlessFixture,
                 "call, bytes come without end, ends and closes the connection",
                 "[event_loop]") {
  std::size_t written = 0;
  std::string begin;
  std::string repeated;
  std::string end = "cut 0";
  SECTION("in a head") {
    begin = "HTTP/1.1 200 OK\r\nX: ";
    repeated = std::string(4096, 'x');
  }
  SECTION("in header lines") {
    begin = "HTTP/1.1 200 OK\r\n";
    repeated = "X-Line: " + std::string(1000, 'x') + "\r\n";
  }
  SECTION("in interim responses") {
    repeated = "HTTP/1.1 100 Continue\r\n\r\n";
  }
  SECTION("in a body without a length") {
    begin = "HTTP/1.1 200 OK\r\n\r\n";
    repeated = std::string(4096, 'x');
    end = "cut 200";
  }
  SECTION("in a chunk's size line") {
    begin = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;x=";
    repeated = std::string(4096, 'x');
    end = "cut 200";
  }
  SECTION("in a trailer") {
    begin = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
    repeated = "X-Line: " + std::string(1000, 'x') + "\r\n";
    end = "cut 200";
  }
  SECTION("in chunks") {
    begin = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    repeated = "400\r\n" + std::string(1024, 'x') + "\r\n";
    end = "cut 200";
  }
  this->max_body = 32U << 10U;
  std::thread server(
      [&] { written = this->WriteUntilClosed(begin, repeated); });
  const std::string text = this->SendRequest();
  server.join();
  CHECK(text.find(end) != std::string::npos);
  CHECK(text.size() < (40U << 10U));
  CHECK(written > 0);
  // What the process and the sockets hold, and no more.
  CHECK(written < (16U << 20U));
}

TEST_CASE_METHOD(EndlessFixture,
                 "call, a byte comes now and then without end, ends at its "
                 "total timeout",
                 "[event_loop]") {
  this->total_timeout = std::chrono::milliseconds(300);
  std::size_t written = 0;
  std::string begin;
  std::string end = "timeout 0";
  SECTION("in a head") { begin = "HTTP/1.1 200 OK\r\nX: "; }
  SECTION("in a body") {
    begin = "HTTP/1.1 200 OK\r\n\r\n";
    end = "timeout 200";
  }
  std::thread server([&] {
    written = this->WriteUntilClosed(begin, "x", std::chrono::milliseconds(20));
  });
  CHECK(this->SendRequest().find(end) != std::string::npos);
  server.join();
  CHECK(written > 0);
}

}  // namespace
}  // namespace limpetlink
