#include <microhttpd.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>

#include "absl/strings/str_cat.h"
#include "adapters/adapters.h"
#include "adapters/detail/exchange.h"

namespace limpetlink {
namespace {

using ExchangePointer = std::shared_ptr<Exchange>;

constexpr std::uint64_t kWakeupId = 0;  // no request uses this id
constexpr int kMaxWatcherEvents = 64;

}  // namespace

class HttpServer::Impl {
 public:
  Impl(HttpServerSettings settings, EventSink sink)
      : settings(std::move(settings)), sink(std::move(sink)) {}

  ~Impl() { this->Stop(); }

  absl::Status Start();
  void Stop();
  std::uint16_t Port() const;
  ExchangePointer Find(RequestId id);
  void MarkChanged(const ExchangePointer& exchange);
  void Flush();

  HttpServerSettings settings;
  std::atomic<std::uint64_t> requests{0};
  std::atomic<std::uint64_t> disconnected{0};
  std::atomic<std::uint64_t> too_large{0};
  std::atomic<std::uint64_t> overflowed{0};
  std::mutex mutex;  ///< guards exchanges and changed
  std::unordered_map<RequestId, ExchangePointer> exchanges;

 private:
  /// State that libmicrohttpd stores for a request and for the reader of its
  /// reply.
  struct Holder {
    Impl* server;
    ExchangePointer exchange;
  };

  static void* OnTarget(void* self, const char* target,
                        MHD_Connection* connection);
  static MHD_Result OnRequest(void* self, MHD_Connection* connection,
                              const char* url, const char* method,
                              const char* version, const char* upload,
                              std::size_t* upload_size, void** state);
  static void OnCompleted(void* self, MHD_Connection* connection, void** state,
                          MHD_RequestTerminationCode code);
  static ssize_t OnRead(void* holder, std::uint64_t position, char* to,
                        std::size_t max);
  static void FreeHolder(void* holder) { delete static_cast<Holder*>(holder); }

  MHD_Result HandOver(MHD_Connection* connection,
                      const ExchangePointer& exchange);
  MHD_Result Reply(MHD_Connection* connection, const ExchangePointer& exchange);
  void Watch(MHD_Connection* connection, RequestId id);
  void Unwatch(MHD_Connection* connection) const;
  void RunWatcher();
  void HandleDisconnect(RequestId id);

  EventSink sink;
  MHD_Daemon* daemon = nullptr;
  std::atomic<std::uint64_t> last_id{0};
  std::atomic<bool> stopping{false};
  std::vector<ExchangePointer> changed;
  int watch_epoll = -1;
  int watch_wake = -1;
  std::thread watcher;
};

absl::Status HttpServer::Impl::Start() {
  const absl::StatusOr<SocketAddress> address =
      ParseSocketAddress(this->settings.listen);
  if (!address.ok()) {
    return address.status();
  }
  this->watch_epoll = epoll_create1(EPOLL_CLOEXEC);
  this->watch_wake = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  epoll_event wake{};
  wake.events = EPOLLIN;
  wake.data.u64 = kWakeupId;
  epoll_ctl(this->watch_epoll, EPOLL_CTL_ADD, this->watch_wake, &wake);
  unsigned flags =
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC;
  if (address->storage.ss_family == AF_INET6) {
    flags |= MHD_USE_IPv6;
  }
  const unsigned pool = this->settings.threads > 1 ? this->settings.threads : 0;
  this->daemon = MHD_start_daemon(
      flags, 0, nullptr, nullptr, &Impl::OnRequest, this, MHD_OPTION_SOCK_ADDR,
      address->Get(), MHD_OPTION_URI_LOG_CALLBACK, &Impl::OnTarget, this,
      MHD_OPTION_NOTIFY_COMPLETED, &Impl::OnCompleted, this,
      MHD_OPTION_CONNECTION_LIMIT, this->settings.max_connections,
      MHD_OPTION_CONNECTION_TIMEOUT,
      static_cast<unsigned>(this->settings.idle_timeout.count()),
      MHD_OPTION_THREAD_POOL_SIZE, pool, MHD_OPTION_END);
  if (this->daemon == nullptr) {
    return absl::UnavailableError(
        absl::StrCat("cannot listen on ", this->settings.listen));
  }
  this->watcher = std::thread([this] { this->RunWatcher(); });
  return absl::OkStatus();
}

void HttpServer::Impl::Stop() {
  if (this->daemon != nullptr) {
    this->stopping = true;
    const MHD_socket listening = MHD_quiesce_daemon(this->daemon);
    std::vector<ExchangePointer> open;
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      for (const auto& [id, exchange] : this->exchanges) {
        open.push_back(exchange);
      }
    }
    for (const ExchangePointer& exchange : open) {
      exchange->Cut();
      exchange->Resume();
    }
    MHD_stop_daemon(this->daemon);
    this->daemon = nullptr;
    if (listening != MHD_INVALID_SOCKET) {
      close(listening);
    }
  }
  if (this->watcher.joinable()) {
    eventfd_write(this->watch_wake, 1);
    this->watcher.join();
  }
  for (int* const descriptor : {&this->watch_epoll, &this->watch_wake}) {
    if (*descriptor >= 0) {
      close(*descriptor);
      *descriptor = -1;
    }
  }
}

std::uint16_t HttpServer::Impl::Port() const {
  const MHD_DaemonInfo* const info =
      this->daemon == nullptr
          ? nullptr
          : MHD_get_daemon_info(this->daemon, MHD_DAEMON_INFO_BIND_PORT);
  return info == nullptr ? std::uint16_t{0} : info->port;
}

ExchangePointer HttpServer::Impl::Find(RequestId id) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->exchanges.find(id);
  return found == this->exchanges.end() ? nullptr : found->second;
}

void HttpServer::Impl::MarkChanged(const ExchangePointer& exchange) {
  if (exchange->MarkChanged()) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->changed.push_back(exchange);
  }
}

void HttpServer::Impl::Flush() {
  std::vector<ExchangePointer> ready;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    ready.swap(this->changed);
  }
  for (const ExchangePointer& exchange : ready) {
    exchange->Resume();
  }
}

void* HttpServer::Impl::OnTarget(void* self, const char* target,
                                 MHD_Connection* /*connection*/) {
  auto* const server = static_cast<Impl*>(self);
  const RequestId id{++server->last_id};
  return std::make_unique<Holder>(
             Holder{server, std::make_shared<Exchange>(id, target)})
      .release();
}

MHD_Result HttpServer::Impl::OnRequest(void* self, MHD_Connection* connection,
                                       const char* /*url*/, const char* method,
                                       const char* /*version*/,
                                       const char* upload,
                                       std::size_t* upload_size, void** state) {
  auto* const server = static_cast<Impl*>(self);
  const ExchangePointer exchange = static_cast<Holder*>(*state)->exchange;
  if (server->stopping) {
    return MHD_NO;
  }
  if (exchange->Begin(connection, method)) {
    return MHD_YES;
  }
  if (*upload_size > 0) {
    const bool accepted = exchange->AppendBody(upload, *upload_size,
                                               server->settings.max_body_bytes);
    *upload_size = 0;
    return accepted ? MHD_YES : MHD_NO;
  }
  if (!exchange->HandedOver()) {
    return server->HandOver(connection, exchange);
  }
  return server->Reply(connection, exchange);
}

MHD_Result HttpServer::Impl::HandOver(MHD_Connection* connection,
                                      const ExchangePointer& exchange) {
  if (exchange->BodyTooLarge()) {
    ++this->too_large;
  }
  ++this->requests;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->exchanges.emplace(exchange->Id(), exchange);
  }
  CallerRequest request;
  exchange->HandOver(&request);
  this->Watch(connection, exchange->Id());
  if (this->stopping) {  // Stop may have collected the open exchanges before
                         // this one was added
    exchange->Cut();
    exchange->Resume();
    return MHD_YES;
  }
  this->sink(std::move(request));
  return MHD_YES;
}

MHD_Result HttpServer::Impl::Reply(MHD_Connection* connection,
                                   const ExchangePointer& exchange) {
  auto holder = std::make_unique<Holder>(Holder{this, exchange});
  int status = 0;
  bool used_reader = false;
  MHD_Response* const response = exchange->MakeResponse(
      &status, &Impl::OnRead, holder.get(), &Impl::FreeHolder, &used_reader);
  if (response == nullptr) {
    return exchange->SuspendUnlessCut() ? MHD_NO : MHD_YES;
  }
  if (used_reader) {
    static_cast<void>(holder.release());  // FreeHolder deletes it
  }
  const MHD_Result result =
      MHD_queue_response(connection, static_cast<unsigned>(status), response);
  MHD_destroy_response(response);
  return result;
}

ssize_t HttpServer::Impl::OnRead(void* holder, std::uint64_t /*position*/,
                                 char* to, std::size_t max) {
  const auto* const reader = static_cast<Holder*>(holder);
  std::size_t copied = 0;
  CallerBufferDrained drained;
  const ReadResult result = reader->exchange->Read(
      to, max, HttpServer::kDrainStep, &copied, &drained);
  if (drained.id.value != 0) {
    reader->server->sink(drained);
  }
  switch (result) {
    case ReadResult::kBytes:
      return static_cast<ssize_t>(copied);
    case ReadResult::kSuspended:
      return 0;
    case ReadResult::kEnd:
      return MHD_CONTENT_READER_END_OF_STREAM;
    case ReadResult::kCut:
      break;
  }
  return MHD_CONTENT_READER_END_WITH_ERROR;
}

void HttpServer::Impl::OnCompleted(void* self, MHD_Connection* connection,
                                   void** state,
                                   MHD_RequestTerminationCode /*code*/) {
  auto* const server = static_cast<Impl*>(self);
  const std::unique_ptr<Holder> holder(static_cast<Holder*>(*state));
  *state = nullptr;
  if (holder == nullptr || !holder->exchange->HandedOver()) {
    return;
  }
  server->Unwatch(connection);
  {
    const std::lock_guard<std::mutex> lock(server->mutex);
    server->exchanges.erase(holder->exchange->Id());
  }
  if (holder->exchange->Finish() && !server->stopping) {
    ++server->disconnected;
    server->sink(CallerDisconnected{holder->exchange->Id()});
  }
}

void HttpServer::Impl::Watch(MHD_Connection* connection, RequestId id) {
  epoll_event event{};
  event.events = EPOLLRDHUP | EPOLLONESHOT;
  event.data.u64 = id.value;
  epoll_ctl(this->watch_epoll, EPOLL_CTL_ADD, SocketOf(connection), &event);
}

void HttpServer::Impl::Unwatch(MHD_Connection* connection) const {
  epoll_ctl(this->watch_epoll, EPOLL_CTL_DEL, SocketOf(connection), nullptr);
}

// Detects disconnects with a separate epoll instance, since libmicrohttpd does
// not poll suspended connections.
void HttpServer::Impl::RunWatcher() {
  std::array<epoll_event, kMaxWatcherEvents> events{};
  while (!this->stopping) {
    const int count =
        epoll_wait(this->watch_epoll, events.data(), kMaxWatcherEvents, -1);
    for (int i = 0; i < count; ++i) {
      const RequestId id{events.at(static_cast<std::size_t>(i)).data.u64};
      if (id.value != kWakeupId) {
        this->HandleDisconnect(id);
      }
    }
  }
}

void HttpServer::Impl::HandleDisconnect(RequestId id) {
  const ExchangePointer exchange = this->Find(id);
  if (exchange == nullptr || !exchange->SetDisconnected()) {
    return;
  }
  exchange->Resume();
  ++this->disconnected;
  this->sink(CallerDisconnected{id});
}

HttpServer::HttpServer(HttpServerSettings settings, EventSink sink)
    : impl(std::make_unique<Impl>(std::move(settings), std::move(sink))) {}
HttpServer::~HttpServer() = default;

absl::Status HttpServer::Start() { return this->impl->Start(); }
void HttpServer::Stop() { this->impl->Stop(); }
std::uint16_t HttpServer::Port() const { return this->impl->Port(); }
void HttpServer::Flush() { this->impl->Flush(); }

void HttpServer::Execute(const ReplyHead& head) {
  if (const ExchangePointer exchange = this->impl->Find(head.id)) {
    exchange->SetHead(head);
    this->impl->MarkChanged(exchange);
  }
}

void HttpServer::Execute(ReplyBody body) {
  const ExchangePointer exchange = this->impl->Find(body.id);
  if (exchange == nullptr) {
    return;
  }
  if (!exchange->AppendReply(std::move(body.bytes),
                             this->impl->settings.max_buffered_bytes)) {
    ++this->impl->overflowed;
  }
  this->impl->MarkChanged(exchange);
}

void HttpServer::Execute(const ReplyEnd& end) {
  if (const ExchangePointer exchange = this->impl->Find(end.id)) {
    exchange->End(end.abort);
    this->impl->MarkChanged(exchange);
  }
}

HttpServerCounts HttpServer::Counts() const {
  HttpServerCounts counts;
  counts.requests = this->impl->requests;
  counts.disconnected = this->impl->disconnected;
  counts.too_large = this->impl->too_large;
  counts.overflowed = this->impl->overflowed;
  const std::lock_guard<std::mutex> lock(this->impl->mutex);
  counts.open = this->impl->exchanges.size();
  return counts;
}

}  // namespace limpetlink
