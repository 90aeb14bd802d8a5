#include "adapters/tests/support.h"

namespace limpetlink::testing {
namespace {

/// Replies to each request with the request's body; holds requests for /hold
/// until it drains.
class EchoCore {
 public:
  Actions Start(Instant /*now*/) { return {}; }

  Actions Step(Instant /*now*/, const Event& event) {
    const auto* const request = std::get_if<CallerRequest>(&event);
    if (request == nullptr) {
      return {};
    }
    if (request->path == "/hold" && this->draining) {
      return Reply(request->id, "released");
    }
    if (request->path == "/hold") {
      this->held.push_back(request->id);
      return {};
    }
    return Reply(request->id, request->body);
  }

  Actions Tick(Instant now) {
    this->wakeup = now + std::chrono::milliseconds(1);
    ++this->ticks;
    return {};
  }

  Actions Drain(Instant /*now*/) {
    this->draining = true;
    Actions all;
    for (const RequestId id : this->held) {
      for (Action& action : Reply(id, "released")) {
        all.push_back(std::move(action));
      }
    }
    return all;
  }

  Instant NextWakeup() const { return this->wakeup; }
  bool Drained() const { return this->draining; }

  std::uint64_t ticks = 0;

 private:
  static Actions Reply(RequestId id, const std::string& body) {
    return {ReplyHead{id, 200, {}}, ReplyBody{id, body}, ReplyEnd{id, false}};
  }

  std::vector<RequestId> held;
  Instant wakeup{};
  bool draining = false;
};

class LoopFixture {
 public:
  LoopFixture() {
    REQUIRE(this->server.Start().ok());
    this->client.Start();
    this->thread = std::thread([this] { this->loop.Run(this->Hooks()); });
  }
  ~LoopFixture() {
    this->loop.RequestStop();
    this->Join();
  }

  void Join() {
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }

  ActionHooks Hooks() {
    ActionHooks hooks;
    hooks.execute = [this](Action action) {
      if (const auto* const head = std::get_if<ReplyHead>(&action)) {
        this->server.Execute(*head);
      } else if (auto* const body = std::get_if<ReplyBody>(&action)) {
        this->server.Execute(std::move(*body));
      } else if (const auto* const end = std::get_if<ReplyEnd>(&action)) {
        this->server.Execute(*end);
      }
    };
    hooks.flush = [this] { this->server.Flush(); };
    hooks.idle = [this] { return this->server.Counts().open == 0; };
    return hooks;
  }

  void Call(std::uint64_t id, const std::string& path,
            const std::string& body) {
    HttpCall call;
    call.id = CallId{id};
    call.method = "POST";
    call.url = "http://127.0.0.1:" + std::to_string(this->server.Port()) + path;
    call.body = body;
    this->client.Execute(call);
    this->client.Flush();
  }

  EchoCore core;
  CoreLoop loop{HooksOf(&this->core)};
  HttpServerSettings settings{"127.0.0.1:0"};
  HttpServer server{this->settings, this->loop.Sink()};
  Recorder responses;
  HttpClient client{HttpClientSettings{}, this->responses.Sink()};
  std::thread thread;
};

}  // namespace

TEST_CASE_METHOD(
    LoopFixture,
    "core loop, many concurrent requests, each gets its own reply") {
  constexpr std::uint64_t kCalls = 200;
  for (std::uint64_t id = 1; id <= kCalls; ++id) {
    this->Call(id, "/echo", "body " + std::to_string(id));
  }
  this->responses.Next<HttpDone>(kCalls - 1);
  for (std::uint64_t id = 1; id <= kCalls; ++id) {
    CHECK(this->responses.BodyOf(CallId{id}) == "body " + std::to_string(id));
  }
}

TEST_CASE_METHOD(
    LoopFixture,
    "core loop, a drain with an open request, it stops after the reply") {
  this->Call(1, "/hold", "");
  while (this->server.Counts().requests == 0) {
    std::this_thread::yield();
  }
  this->loop.RequestDrain();
  this->Join();
  CHECK(this->responses.Next<HttpDone>().end == HttpEnd::kComplete);
  CHECK(this->responses.BodyOf(CallId{1}) == "released");
}

TEST_CASE_METHOD(
    LoopFixture,
    "core loop, a wakeup is due, the core is ticked without events") {
  this->Call(1, "/echo", "");
  this->responses.Next<HttpDone>();
  this->loop.RequestDrain();
  this->Join();
  CHECK(this->core.ticks > 0);
}

}  // namespace limpetlink::testing
