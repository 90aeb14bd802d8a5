#include "event_loop/detail/call_client.h"

#include <array>
#include <boost/asio/connect.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <optional>

#include "event_loop/detail/event_loop.h"

namespace limpetlink::event_loop {
namespace {

constexpr std::size_t kReadBytes = 8U << 10U;
// Keep-alive time of a connection whose server names none.
constexpr Duration kDefaultKeepAlive = std::chrono::seconds(4);
// Subtracted from the server's keep-alive time, to allow for network latency
// and the server's clock.
constexpr Duration kKeepAliveMargin = std::chrono::milliseconds(600);
constexpr Duration kPreconnectTimeout = std::chrono::milliseconds(400);
constexpr std::uint64_t kMaxBody = 64U << 20U;
constexpr std::uint32_t kMaxHead = 64U << 10U;
// Bytes that the parser consumes only when they are complete: size lines,
// trailers and heads.
constexpr std::size_t kMaxUnparsed = kMaxHead;
constexpr int kMaxInterimResponses = 16;
constexpr std::string_view kScheme = "http://";

std::optional<Duration> KeepAliveTime(const http::fields& fields) {
  const auto value = fields["Keep-Alive"];
  const std::string_view text(value.data(), value.size());
  constexpr std::string_view kTimeout = "timeout=";
  const std::size_t at = text.find(kTimeout);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  unsigned seconds = 0;
  const char* begin = text.data() + at + kTimeout.size();
  const auto [stop, error] =
      std::from_chars(begin, text.data() + text.size(), seconds);
  if (error != std::errc()) {
    return std::nullopt;
  }
  constexpr unsigned kMaxSeconds = 3600;
  return std::chrono::seconds(std::min(seconds, kMaxSeconds));
}

}  // namespace

/// @brief A connection and at most one call on it.
///
/// The handlers that wait on its socket share ownership; Close cancels them.
class CallConnection : public std::enable_shared_from_this<CallConnection> {
 public:
  CallConnection(CallClient* client, std::string address)
      : client(client),
        address(std::move(address)),
        socket(*client->context),
        connect_timer(*client->context),
        total_timer(*client->context) {}

  const std::string& Address() const { return this->address; }

  void Begin(HttpCall call, std::string target) {
    this->call = call.id;
    this->is_head = call.method == "HEAD";
    this->output = RenderRequest(call, target, this->address);
    this->head_emitted = false;
    this->interim_responses = 0;
    this->max_body = call.max_body > 0 ? call.max_body : kMaxBody;
    this->NewParser();
    if (call.total_timeout > Duration{0}) {
      this->StartTotalTimer(call.total_timeout);
    }
    if (this->connected) {
      this->Write();
      return;
    }
    this->Connect(call.connect_timeout);
  }

  /// @brief Connects without a call; the connection then becomes idle.
  /// @param probe if set, HttpDone tells the result
  void Open(CallId probe) {
    this->probe = probe;
    this->Connect(kPreconnectTimeout);
  }

  void Pause(bool paused) {
    this->paused = paused;
    if (!paused) {
      this->Read();
    }
  }

  /// @brief Closes the connection without emitting an event.
  void Close() {
    if (this->closed) {
      return;
    }
    this->closed = true;
    this->call = CallId{};
    ErrorCode ignored;  // close releases the descriptor even on an error
    this->connect_timer.cancel(ignored);
    this->total_timer.cancel(ignored);
    this->socket.close(ignored);
  }

  bool Usable(Instant now) const {
    return !this->closed && now < this->usable_until;
  }

 private:
  using Parser = http::response_parser<http::string_body>;

  void NewParser() {
    this->parser.emplace();
    this->parser->eager(true);
    this->parser->body_limit(this->max_body);
    this->parser->header_limit(kMaxHead);
    if (this->is_head) {
      this->parser->skip(true);
    }
  }

  void StartTotalTimer(Duration timeout) {
    this->total_timer.expires_after(timeout);
    this->total_timer.async_wait([self = this->shared_from_this(),
                                  timed = this->call](const ErrorCode& error) {
      if (!error && !self->closed && self->call == timed) {
        self->End(self->connected ? HttpEnd::kTimeout : HttpEnd::kNotConnected);
      }
    });
  }

  void Connect(Duration timeout) {
    const absl::StatusOr<SocketAddress> parsed =
        ParseSocketAddress(this->address);
    if (!parsed.ok()) {
      asio::post(*this->client->context, [self = this->shared_from_this()] {
        self->End(HttpEnd::kNotConnected);
      });
      return;
    }
    Tcp::endpoint endpoint;
    endpoint.resize(parsed->size);
    std::memcpy(endpoint.data(), parsed->Get(), parsed->size);
    this->connect_timer.expires_after(timeout);
    this->connect_timer.async_wait(
        [self = this->shared_from_this()](const ErrorCode& error) {
          if (!error && !self->connected && !self->closed) {
            self->End(HttpEnd::kNotConnected);
          }
        });
    this->socket.async_connect(
        endpoint, [self = this->shared_from_this()](const ErrorCode& error) {
          if (self->closed) {
            return;
          }
          if (error) {
            self->End(HttpEnd::kNotConnected);
            return;
          }
          self->connected = true;
          self->connect_timer.cancel();
          TuneSocket(&self->socket);
          self->Read();
          if (self->call.value != 0) {
            self->Write();
            return;
          }
          self->usable_until = BootNow() + kDefaultKeepAlive;
          self->client->AddIdle(self);
          self->ReportProbe(HttpEnd::kComplete);
        });
  }

  void Write() {
    this->writing = true;
    asio::async_write(
        this->socket, asio::buffer(this->output),
        [self = this->shared_from_this()](const ErrorCode& error, std::size_t) {
          self->writing = false;
          self->output = std::string();  // frees the memory, unlike clear()
          if (!self->closed && error) {
            self->End(HttpEnd::kCut);
          }
        });
  }

  void Read() {
    if (this->reading || this->paused || this->closed) {
      return;
    }
    this->reading = true;
    this->socket.async_read_some(asio::buffer(this->buffer),
                                 [self = this->shared_from_this()](
                                     const ErrorCode& error, std::size_t size) {
                                   self->reading = false;
                                   if (!self->closed) {
                                     self->HandleInput(error, size);
                                   }
                                 });
  }

  void HandleInput(const ErrorCode& error, std::size_t size) {
    if (this->call.value == 0) {
      // An idle connection ended or received bytes that belong to no call.
      this->client->RemoveIdle(this);
      this->Close();
      return;
    }
    if (error) {
      this->HandleReadError(error);
      return;
    }
    this->input.append(this->buffer.data(), size);
    this->Parse();
    this->Read();
  }

  void HandleReadError(const ErrorCode& error) {
    ErrorCode end_error;
    if (error == asio::error::eof && this->parser->is_header_done()) {
      this->parser->put_eof(end_error);
      const bool complete = !end_error && this->parser->is_done();
      this->End(complete ? HttpEnd::kComplete : HttpEnd::kCut);
      return;
    }
    this->End(HttpEnd::kCut);
  }

  void Parse() {
    while (!this->input.empty() && this->call.value != 0) {
      ErrorCode error;
      const std::size_t used =
          this->parser->put(asio::buffer(this->input), error);
      this->input.erase(0, used);
      if (error == http::error::need_more) {
        error = {};
      }
      if (error) {
        this->End(HttpEnd::kCut);
        return;
      }
      this->EmitProgress();
      if (this->call.value != 0 && this->parser->is_done()) {
        this->Finish();
        return;
      }
      if (used == 0) {
        break;
      }
    }
    if (this->call.value != 0 && this->input.size() > kMaxUnparsed) {
      this->End(HttpEnd::kCut);
    }
  }

  void EmitProgress() {
    if (!this->parser->is_header_done()) {
      return;
    }
    auto& message = this->parser->get();
    if (!this->head_emitted) {
      constexpr int kFirstFinalStatus = 200;
      if (message.result_int() < kFirstFinalStatus) {
        return;  // an interim response; Finish starts a new parser
      }
      this->head_emitted = true;
      this->client->EmitEvent(
          HttpHead{this->call, static_cast<int>(message.result_int()),
                   CopyHeaders(message), this->parser->need_eof()});
    }
    if (!message.body().empty()) {
      std::string bytes;
      bytes.swap(message.body());
      this->client->EmitEvent(HttpChunk{this->call, std::move(bytes)});
    }
  }

  void Finish() {
    if (!this->head_emitted) {
      if (++this->interim_responses > kMaxInterimResponses) {
        this->End(HttpEnd::kCut);
        return;
      }
      this->NewParser();
      this->Parse();
      return;
    }
    this->total_timer.cancel();
    const bool reusable = this->parser->keep_alive() && !this->writing &&
                          this->input.empty() && !this->paused;
    const Duration keep_alive =
        KeepAliveTime(this->parser->get())
            .value_or(kDefaultKeepAlive + kKeepAliveMargin);
    const CallId finished = this->call;
    this->call = CallId{};
    this->client->by_call.erase(finished.value);
    this->client->EmitEvent(HttpDone{finished, HttpEnd::kComplete});
    if (!reusable) {
      this->Close();
      return;
    }
    this->usable_until = BootNow() + keep_alive - kKeepAliveMargin;
    this->client->AddIdle(this->shared_from_this());
  }

  void ReportProbe(HttpEnd end) {
    const CallId reported = std::exchange(this->probe, CallId{});
    if (reported.value != 0) {
      this->client->EmitEvent(HttpDone{reported, end});
    }
  }

  void End(HttpEnd end) {
    const CallId finished = this->call;
    this->Close();
    this->ReportProbe(HttpEnd::kNotConnected);
    if (finished.value != 0) {
      this->client->by_call.erase(finished.value);
      this->client->EmitEvent(HttpDone{finished, end});
    }
  }

  CallClient* client;
  std::string address;
  Tcp::socket socket;
  asio::steady_timer connect_timer;
  asio::steady_timer total_timer;
  std::array<char, kReadBytes> buffer{};
  std::string input;
  std::string output;
  std::optional<Parser> parser;
  CallId call;
  CallId probe;  ///< of a connection that is opened without a call
  Instant usable_until{};
  std::uint64_t max_body = kMaxBody;
  int interim_responses = 0;  ///< to the current call
  bool is_head = false;
  bool head_emitted = false;
  bool connected = false;
  bool writing = false;
  bool reading = false;
  bool paused = false;
  bool closed = false;
};

CallClient::CallClient(asio::io_context* context, Emit emit)
    : context(context), emit(std::move(emit)) {}

CallClient::~CallClient() {
  for (auto& [call, connection] : this->by_call) {
    connection->Close();
  }
  for (auto& [address, connections] : this->idle) {
    for (const Connection& connection : connections) {
      connection->Close();
    }
  }
}

void CallClient::Execute(HttpCall call) {
  std::string_view rest(call.url);
  rest.remove_prefix(std::min(rest.size(), kScheme.size()));
  const std::size_t slash = std::min(rest.find('/'), rest.size());
  const std::string address(rest.substr(0, slash));
  std::string target(rest.substr(slash));
  Connection connection = this->TakeIdle(address);
  if (connection == nullptr) {
    connection = std::make_shared<CallConnection>(this, address);
  }
  this->by_call[call.id.value] = connection;
  connection->Begin(std::move(call), std::move(target));
}

void CallClient::Execute(const HttpCancel& cancel) {
  const auto found = this->by_call.find(cancel.id.value);
  if (found != this->by_call.end()) {
    const Connection connection = found->second;
    this->by_call.erase(found);
    connection->Close();
  }
}

void CallClient::Execute(const HttpPause& pause) {
  const auto found = this->by_call.find(pause.id.value);
  if (found != this->by_call.end()) {
    found->second->Pause(pause.paused);
  }
}

void CallClient::Execute(const HttpPreconnect& open) {
  std::make_shared<CallConnection>(this, open.address)->Open(open.id);
}

void CallClient::AddIdle(const Connection& connection) {
  this->idle[connection->Address()].push_back(connection);
}

void CallClient::RemoveIdle(CallConnection* connection) {
  auto& connections = this->idle[connection->Address()];
  connections.remove_if([connection](const Connection& each) {
    return each.get() == connection;
  });
}

CallClient::Connection CallClient::TakeIdle(const std::string& address) {
  const auto found = this->idle.find(address);
  if (found == this->idle.end()) {
    return nullptr;
  }
  const Instant now = BootNow();
  while (!found->second.empty()) {
    Connection connection = found->second.back();
    found->second.pop_back();
    if (connection->Usable(now)) {
      return connection;
    }
    connection->Close();
  }
  return nullptr;
}

void CallClient::Sweep(Instant now) {
  for (auto it = this->idle.begin(); it != this->idle.end();) {
    it->second.remove_if([now](const Connection& connection) {
      const bool expired = !connection->Usable(now);
      if (expired) {
        connection->Close();
      }
      return expired;
    });
    it = it->second.empty() ? this->idle.erase(it) : std::next(it);
  }
}

}  // namespace limpetlink::event_loop
