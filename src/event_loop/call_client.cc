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
// A kept connection without a time of its own from its server.
constexpr Duration kKeptFor = std::chrono::seconds(4);
// Of a server's own time, for the way and its clock.
constexpr Duration kKeepMargin = std::chrono::milliseconds(600);
constexpr Duration kOpenTimeout = std::chrono::milliseconds(400);
constexpr std::uint64_t kMaxBody = 64U << 20U;
constexpr std::uint32_t kMaxHead = 64U << 10U;
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
  constexpr unsigned kLongest = 3600;
  return std::chrono::seconds(std::min(seconds, kLongest));
}

}  // namespace

/// @brief A connection and at most one call on it. Shared by the handlers that
/// wait on its socket; Close makes them all end.
class CallConnection : public std::enable_shared_from_this<CallConnection> {
 public:
  CallConnection(CallClient* client, std::string address)
      : client(client),
        address(std::move(address)),
        socket(*client->context),
        connect_timer(*client->context) {}

  const std::string& Address() const { return this->address; }

  void Begin(HttpCall call, std::string target) {
    this->call = call.id;
    this->is_head = call.method == "HEAD";
    this->output = RenderRequest(call, target, this->address);
    this->head_told = false;
    this->NewParser();
    if (this->connected) {
      this->Write();
      return;
    }
    this->Connect(call.connect_timeout);
  }

  /// @brief Connects without a call; the connection is then kept.
  void Open() { this->Connect(kOpenTimeout); }

  void Pause(bool paused) {
    this->paused = paused;
    if (!paused) {
      this->Read();
    }
  }

  /// @brief Closes without a further event.
  void Close() {
    if (this->closed) {
      return;
    }
    this->closed = true;
    this->call = CallId{};
    ErrorCode ignored;  // closing releases the descriptor whatever it says
    this->connect_timer.cancel(ignored);
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
    this->parser->body_limit(kMaxBody);
    this->parser->header_limit(kMaxHead);
    if (this->is_head) {
      this->parser->skip(true);
    }
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
          self->usable_until = BootNow() + kKeptFor;
          self->client->Keep(self);
        });
  }

  void Write() {
    this->writing = true;
    asio::async_write(
        this->socket, asio::buffer(this->output),
        [self = this->shared_from_this()](const ErrorCode& error, std::size_t) {
          self->writing = false;
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
                                     self->TakeInput(error, size);
                                   }
                                 });
  }

  void TakeInput(const ErrorCode& error, std::size_t size) {
    if (this->call.value == 0) {
      // A kept connection that ends, or bytes that answer nothing.
      this->client->Forget(this);
      this->Close();
      return;
    }
    if (error) {
      this->TakeEnd(error);
      return;
    }
    this->input.append(this->buffer.data(), size);
    this->Parse();
    this->Read();
  }

  void TakeEnd(const ErrorCode& error) {
    ErrorCode end_error;
    if (error == asio::error::eof && this->parser->is_header_done()) {
      this->parser->put_eof(end_error);
      const bool whole = !end_error && this->parser->is_done();
      this->End(whole ? HttpEnd::kComplete : HttpEnd::kCut);
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
      this->TellProgress();
      if (this->call.value != 0 && this->parser->is_done()) {
        this->Finish();
        return;
      }
      if (used == 0) {
        return;
      }
    }
  }

  void TellProgress() {
    if (!this->parser->is_header_done()) {
      return;
    }
    auto& message = this->parser->get();
    if (!this->head_told) {
      constexpr int kFirstFinalStatus = 200;
      if (message.result_int() < kFirstFinalStatus) {
        return;  // an interim answer; Finish begins anew
      }
      this->head_told = true;
      this->client->Emitted(HttpHead{this->call,
                                     static_cast<int>(message.result_int()),
                                     CopyHeaders(message)});
    }
    if (!message.body().empty()) {
      std::string bytes;
      bytes.swap(message.body());
      this->client->Emitted(HttpChunk{this->call, std::move(bytes)});
    }
  }

  void Finish() {
    if (!this->head_told) {
      this->NewParser();
      this->Parse();
      return;
    }
    const bool reusable = this->parser->keep_alive() && !this->writing &&
                          this->input.empty() && !this->paused;
    const Duration keep =
        KeepAliveTime(this->parser->get()).value_or(kKeptFor + kKeepMargin);
    const CallId ended = this->call;
    this->call = CallId{};
    this->client->by_call.erase(ended.value);
    this->client->Emitted(HttpDone{ended, HttpEnd::kComplete});
    if (!reusable) {
      this->Close();
      return;
    }
    this->usable_until = BootNow() + keep - kKeepMargin;
    this->client->Keep(this->shared_from_this());
  }

  void End(HttpEnd end) {
    const CallId ended = this->call;
    this->Close();
    if (ended.value != 0) {
      this->client->by_call.erase(ended.value);
      this->client->Emitted(HttpDone{ended, end});
    }
  }

  CallClient* client;
  std::string address;
  Tcp::socket socket;
  asio::steady_timer connect_timer;
  std::array<char, kReadBytes> buffer{};
  std::string input;
  std::string output;
  std::optional<Parser> parser;
  CallId call;
  Instant usable_until{};
  bool is_head = false;
  bool head_told = false;
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
  for (auto& [address, connections] : this->kept) {
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
  Connection connection = this->TakeKept(address);
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
  std::make_shared<CallConnection>(this, open.address)->Open();
}

void CallClient::Keep(const Connection& connection) {
  this->kept[connection->Address()].push_back(connection);
}

void CallClient::Forget(CallConnection* connection) {
  auto& connections = this->kept[connection->Address()];
  connections.remove_if([connection](const Connection& each) {
    return each.get() == connection;
  });
}

CallClient::Connection CallClient::TakeKept(const std::string& address) {
  const auto found = this->kept.find(address);
  if (found == this->kept.end()) {
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
  for (auto it = this->kept.begin(); it != this->kept.end();) {
    it->second.remove_if([now](const Connection& connection) {
      const bool old = !connection->Usable(now);
      if (old) {
        connection->Close();
      }
      return old;
    });
    it = it->second.empty() ? this->kept.erase(it) : std::next(it);
  }
}

}  // namespace limpetlink::event_loop
