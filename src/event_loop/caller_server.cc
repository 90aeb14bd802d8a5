#include "event_loop/detail/caller_server.h"

#include <array>
#include <boost/asio/write.hpp>
#include <optional>

#include "event_loop/detail/event_loop.h"

namespace limpetlink::event_loop {
namespace {

constexpr std::size_t kReadBytes = 8U << 10U;
// Maximum number of bytes buffered from a caller that pipelines requests.
constexpr std::size_t kMaxPipelined = 256U << 10U;
constexpr int kMalformed = 400;
constexpr int kTimedOut = 408;
constexpr int kBodyTooLarge = 413;
constexpr int kHeadTooLarge = 431;
constexpr int kUnavailable = 503;
// Requests that are held end within seconds, so memory is free soon.
constexpr const char* kMemoryRetryAfter = "1";
// Bytes of a request that the parser consumes only when they are complete: size
// lines and trailers.
constexpr std::size_t kMaxUnparsed = 64U << 10U;
// What a rejected caller still sends is read for this time, so that it gets the
// response; closing the connection before would reset it.
constexpr Duration kLingerTime = std::chrono::milliseconds(1000);
constexpr int kListenBacklog = 1024;

}  // namespace

/// @brief The connection of one caller.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(CallerServer* server, Tcp::socket socket)
      : server(server), socket(std::move(socket)) {}

  void Start() {
    TuneSocket(&this->socket);
    this->last_activity = BootNow();
    this->NewParser();
    this->Read();
  }

  void SetHead(const ReplyHead& head) { this->reply_head = head; }
  void AppendBody(const std::string& bytes) { this->reply_body += bytes; }
  void EndReply(const ReplyEnd& end) {
    this->reply_ended = true;
    this->reply_aborted = end.abort;
  }

  /// @brief Writes the queued parts of the reply.
  void Flush() {
    if (this->closed) {
      return;
    }
    if (this->reply_aborted) {
      // The bytes queued so far are still written; the missing last chunk shows
      // the caller that the reply is incomplete.
      this->close_after = true;
    }
    if (this->reply_head.has_value()) {
      this->WriteHead();
    }
    if (!this->reply_body.empty()) {
      this->output +=
          this->chunked ? RenderChunk(this->reply_body) : this->reply_body;
      this->reply_body.clear();
    }
    if (this->reply_ended && !this->reply_finished) {
      this->reply_finished = true;
      if (this->chunked && !this->reply_aborted) {
        this->output += RenderChunk({});
      }
    }
    this->Write();
  }

  bool HasRequest() const { return this->request.value != 0; }

  void Sweep(Instant now, const HttpLimits& limits) {
    if (this->lingering) {
      if (now - this->last_activity > kLingerTime) {
        this->Close();
      }
      return;
    }
    if (this->HasRequest() || this->is_writing) {
      return;
    }
    const bool has_input = this->parser->got_some() || !this->input.empty();
    if (has_input && now - this->head_started_at > limits.header_timeout &&
        !this->parser->is_header_done()) {
      this->Reject(kTimedOut, "the head is not complete in time");
    } else if (now - this->last_activity > limits.idle_timeout) {
      this->Close();
    }
  }

  void CloseIfIdle() {
    const bool has_input = this->parser->got_some() || !this->input.empty();
    if (!this->HasRequest() && !this->is_writing && !has_input) {
      this->Close();
    }
  }

  void Close() {
    if (this->closed) {
      return;
    }
    this->closed = true;
    this->Charge(0);
    ErrorCode ignored;  // close releases the descriptor even on an error
    this->socket.close(ignored);
    const auto self = this->shared_from_this();
    if (this->HasRequest()) {
      this->server->by_request.erase(this->request.value);
      this->server->hooks.emit(CallerDisconnected{this->request});
      this->request = RequestId{};
    }
    if (this->is_writing) {
      --this->server->writing;
      this->is_writing = false;
    }
    this->server->dirty.erase(self);
    this->server->connections.erase(self);
  }

 private:
  using Parser = http::request_parser<http::string_body>;

  void NewParser() {
    const HttpLimits limits = this->server->hooks.http_limits();
    this->parser.emplace();
    this->parser->eager(true);
    this->parser->header_limit(static_cast<std::uint32_t>(limits.header_bytes));
    this->parser->body_limit(limits.body_bytes);
  }

  void Read() {
    if (this->reading || this->closed || this->input.size() >= kMaxPipelined) {
      return;
    }
    this->reading = true;
    this->socket.async_read_some(asio::buffer(this->buffer),
                                 [self = this->shared_from_this()](
                                     const ErrorCode& error, std::size_t size) {
                                   self->reading = false;
                                   if (self->closed) {
                                     return;
                                   }
                                   if (error) {
                                     self->Close();
                                     return;
                                   }
                                   self->HandleInput(size);
                                 });
  }

  /// @brief Accounts for the bytes that this connection holds.
  void Charge(std::size_t bytes) {
    this->server->hooks.memory->used += bytes - this->charged;
    this->charged = bytes;
  }

  bool HasMemory() const {
    const RequestMemory& memory = *this->server->hooks.memory;
    return memory.used <= memory.limit;
  }

  void HandleInput(std::size_t size) {
    if (this->lingering) {
      this->Read();
      return;
    }
    const Instant now = BootNow();
    if (this->input.empty() && !this->parser->got_some()) {
      this->head_started_at = now;
    }
    this->last_activity = now;
    this->input.append(this->buffer.data(), size);
    this->Parse();
    if (!this->closed && !this->close_after && !this->HasRequest()) {
      this->CheckIncomplete();
    }
    this->Read();
  }

  /// @brief Bounds what is held of a request that is not complete.
  void CheckIncomplete() {
    if (this->input.size() > kMaxUnparsed) {
      this->Reject(kMalformed, "a size line or trailer is too long");
      return;
    }
    this->Charge(this->input.size() + this->parser->get().body().size());
    if (!this->HasMemory()) {
      this->Reject(kUnavailable, "too many bytes of requests are held");
    }
  }

  void Parse() {
    while (!this->HasRequest() && !this->close_after && !this->input.empty()) {
      ErrorCode error;
      const std::size_t used =
          this->parser->put(asio::buffer(this->input), error);
      this->input.erase(0, used);
      if (error == http::error::need_more) {
        error = {};
      }
      if (error) {
        this->RejectFor(error);
        return;
      }
      if (this->parser->is_done()) {
        this->Emit();
        return;
      }
      this->SendContinueIfExpected();
      if (used == 0) {
        return;
      }
    }
  }

  void SendContinueIfExpected() {
    if (!this->parser->is_header_done() || this->continue_handled) {
      return;
    }
    this->continue_handled = true;
    const auto expect = this->parser->get()[http::field::expect];
    if (boost::beast::iequals(expect, "100-continue")) {
      this->output += "HTTP/1.1 100 Continue\r\n\r\n";
      this->Write();
    }
  }

  void Emit() {
    auto message = this->parser->release();
    this->keep_alive = message.keep_alive();
    this->is_http_10 = message.version() < 11;
    this->is_head = message.method() == http::verb::head;
    this->continue_handled = false;
    this->NewParser();
    this->request = this->server->hooks.next_id();
    this->server->by_request[this->request.value] = this->shared_from_this();
    CallerRequest event;
    event.id = this->request;
    event.method = message.method_string().to_string();
    event.target = message.target().to_string();
    const std::size_t question_mark =
        std::min(event.target.find('?'), event.target.size());
    event.path = event.target.substr(0, question_mark);
    if (question_mark < event.target.size()) {
      event.query = event.target.substr(question_mark + 1);
    }
    event.headers = CopyHeaders(message);
    event.body = std::move(message.body());
    event.source = this->server->source;
    this->Charge(event.target.size() + event.body.size());
    this->server->hooks.emit(std::move(event));
  }

  void RejectFor(const ErrorCode& error) {
    int status = kMalformed;
    if (error == http::error::header_limit) {
      status = kHeadTooLarge;
    } else if (error == http::error::body_limit) {
      status = kBodyTooLarge;
    }
    this->Reject(status, "the request is malformed or too large");
  }

  void Reject(int status, const char* reason) {
    Headers headers = {{"Connection", "close"}};
    if (status == kUnavailable) {
      headers.push_back({"Retry-After", kMemoryRetryAfter});
    }
    this->server->hooks.rejected(status, reason);
    this->output += RenderResponseHead(status, headers, false, 0);
    this->close_after = true;
    this->rejected = true;
    this->input = std::string();
    this->NewParser();
    this->Charge(0);
    this->Write();
  }

  void WriteHead() {
    ReplyHead head = *std::move(this->reply_head);
    this->reply_head.reset();
    const std::string* connection = FindHeader(head.headers, "Connection");
    const bool requests_close = connection != nullptr;
    this->close_after =
        this->close_after || requests_close || !this->keep_alive;
    if (!this->keep_alive && !requests_close) {
      head.headers.push_back({"Connection", "close"});
    }
    const bool complete = this->reply_ended && !this->reply_aborted;
    this->chunked = !complete && !this->is_http_10;
    const auto length = static_cast<std::int64_t>(this->reply_body.size());
    this->output += RenderResponseHead(head.status, head.headers, this->chunked,
                                       complete ? length : -1);
    if (this->is_head) {
      this->reply_body.clear();
    }
  }

  void Write() {
    if (this->is_writing || this->closed) {
      return;
    }
    if (this->output.empty()) {
      this->AfterWrite();
      return;
    }
    this->is_writing = true;
    ++this->server->writing;
    this->in_flight.swap(this->output);
    this->output.clear();
    asio::async_write(
        this->socket, asio::buffer(this->in_flight),
        [self = this->shared_from_this()](const ErrorCode& error, std::size_t) {
          if (self->closed) {
            return;
          }
          self->is_writing = false;
          --self->server->writing;
          self->in_flight.clear();
          if (error) {
            self->Close();
            return;
          }
          if (self->HasRequest() && !self->reply_finished) {
            self->server->hooks.emit(
                CallerBufferDrained{self->request, self->output.size()});
          }
          self->Write();
        });
  }

  void AfterWrite() {
    if (this->HasRequest() && !this->reply_finished) {
      return;
    }
    const bool ended = this->reply_finished;
    if (ended) {
      this->server->by_request.erase(this->request.value);
      this->request = RequestId{};
      this->reply_ended = false;
      this->reply_finished = false;
      this->reply_aborted = false;
      this->chunked = false;
      this->last_activity = BootNow();
      this->Charge(0);
    }
    if (this->close_after) {
      this->Linger();
      return;
    }
    if (ended) {
      this->head_started_at = BootNow();
      this->Parse();
      this->Read();
    }
  }

  /// @brief Closes the connection, of a rejected caller after it has closed.
  void Linger() {
    if (!std::exchange(this->rejected, false)) {
      if (!this->lingering) {
        this->Close();
      }
      return;
    }
    ErrorCode error;
    this->socket.shutdown(Tcp::socket::shutdown_send, error);
    if (error) {
      this->Close();
      return;
    }
    this->lingering = true;
    this->input = std::string();
    this->last_activity = BootNow();
    this->Read();
  }

  CallerServer* server;
  Tcp::socket socket;
  std::array<char, kReadBytes> buffer{};
  std::string input;
  std::string output;
  std::string in_flight;
  std::optional<Parser> parser;
  RequestId request;
  std::optional<ReplyHead> reply_head;
  std::string reply_body;
  Instant last_activity{};
  Instant head_started_at{};
  bool reply_ended = false;
  bool reply_finished = false;
  bool reply_aborted = false;
  bool chunked = false;
  bool keep_alive = true;
  bool is_http_10 = false;
  bool is_head = false;
  bool continue_handled = false;
  bool close_after = false;
  bool is_writing = false;
  bool reading = false;
  bool rejected = false;
  bool lingering = false;  ///< discards what a rejected caller still sends
  bool closed = false;
  std::size_t charged = 0;
};

CallerServer::CallerServer(asio::io_context* context, RequestSource source,
                           CallerServerHooks hooks)
    : source(source), hooks(std::move(hooks)), acceptor(*context) {}

CallerServer::~CallerServer() = default;

absl::Status CallerServer::Listen(const std::string& address) {
  const absl::StatusOr<SocketAddress> parsed = ParseSocketAddress(address);
  if (!parsed.ok()) {
    return parsed.status();
  }
  Tcp::endpoint endpoint;
  endpoint.resize(parsed->size);
  std::memcpy(endpoint.data(), parsed->Get(), parsed->size);
  ErrorCode error;
  this->acceptor.open(endpoint.protocol(), error);
  if (!error) {
    this->acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    this->acceptor.bind(endpoint, error);
  }
  if (!error) {
    this->acceptor.listen(kListenBacklog, error);
  }
  if (error) {
    return absl::UnavailableError("cannot listen at " + address + ": " +
                                  error.message());
  }
  this->Accept();
  return absl::OkStatus();
}

std::uint16_t CallerServer::Port() const {
  ErrorCode ignored;  // a closed listener has port 0
  return this->acceptor.local_endpoint(ignored).port();
}

void CallerServer::Accept() {
  this->acceptor.async_accept(
      [this](const ErrorCode& error, Tcp::socket socket) {
        if (!this->acceptor.is_open()) {
          return;
        }
        if (!error) {
          auto connection =
              std::make_shared<CallerConnection>(this, std::move(socket));
          this->connections.insert(connection);
          connection->Start();
        }
        this->Accept();
      });
}

bool CallerServer::Execute(const ReplyHead& head) {
  const auto found = this->by_request.find(head.id.value);
  if (found == this->by_request.end()) {
    return false;
  }
  found->second->SetHead(head);
  this->dirty.insert(found->second);
  return true;
}

bool CallerServer::Execute(ReplyBody* body) {
  const auto found = this->by_request.find(body->id.value);
  if (found == this->by_request.end()) {
    return false;
  }
  found->second->AppendBody(body->bytes);
  this->dirty.insert(found->second);
  return true;
}

bool CallerServer::Execute(const ReplyEnd& end) {
  const auto found = this->by_request.find(end.id.value);
  if (found == this->by_request.end()) {
    return false;
  }
  found->second->EndReply(end);
  this->dirty.insert(found->second);
  return true;
}

void CallerServer::Flush() {
  while (!this->dirty.empty()) {
    const Connection connection = *this->dirty.begin();
    this->dirty.erase(this->dirty.begin());
    connection->Flush();
  }
}

void CallerServer::Sweep(Instant now) {
  const HttpLimits limits = this->hooks.http_limits();
  const std::set<Connection> all = this->connections;
  for (const Connection& connection : all) {
    connection->Sweep(now, limits);
  }
}

void CallerServer::StopAccepting() {
  ErrorCode ignored;  // close releases the descriptor even on an error
  this->acceptor.close(ignored);
  const std::set<Connection> all = this->connections;
  for (const Connection& connection : all) {
    connection->CloseIfIdle();
  }
}

}  // namespace limpetlink::event_loop
