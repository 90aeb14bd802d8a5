#include <curl/curl.h>

#include <atomic>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <variant>
#include <vector>

#include "adapters/adapters.h"
#include "adapters/detail/transfer.h"

namespace limpetlink {
namespace {

using Command = std::variant<HttpCall, HttpCancel, HttpPause>;

constexpr int kPollMilliseconds = 1000;

struct MultiCleanup {
  void operator()(CURLM* multi) const { curl_multi_cleanup(multi); }
};

// Initialises libcurl's global state once; it is never released.
void InitialiseLibrary() {
  static const CURLcode result = curl_global_init(CURL_GLOBAL_ALL);
  static_cast<void>(result);
}

}  // namespace

class HttpClient::Impl {
 public:
  Impl(HttpClientSettings settings, EventSink sink) : sink(std::move(sink)) {
    InitialiseLibrary();
    this->multi.reset(curl_multi_init());
    curl_multi_setopt(
        this->multi.get(), CURLMOPT_MAXCONNECTS,
        static_cast<long>(settings.max_idle_connections));  // NOLINT
    curl_multi_setopt(this->multi.get(), CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
  }

  ~Impl() { this->Stop(); }

  void Start() {
    this->thread = std::thread([this] { this->Run(); });
  }

  void Stop() {
    this->stopping = true;
    if (this->thread.joinable()) {
      curl_multi_wakeup(this->multi.get());
      this->thread.join();
    }
  }

  void Push(Command command) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->commands.push_back(std::move(command));
  }

  void Flush() {
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      if (this->commands.empty()) {
        return;
      }
    }
    curl_multi_wakeup(this->multi.get());
  }

  HttpClientCounts Counts() const {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->counts;
  }

 private:
  void Run();
  void ExecuteCommands();
  void Begin(HttpCall call);
  void Cancel(CallId id);
  void Pause(const HttpPause& pause);
  void HandleCompletions();
  void Finish(CURL* easy, CURLcode code);
  void Count(const Transfer& transfer, HttpEnd end);

  EventSink sink;
  std::unique_ptr<CURLM, MultiCleanup> multi;
  std::atomic<bool> stopping{false};
  std::thread thread;
  mutable std::mutex mutex;  ///< guards commands and counts
  std::vector<Command> commands;
  HttpClientCounts counts;
  std::unordered_map<CallId, std::unique_ptr<Transfer>>
      transfers;  ///< used only by the thread
};

void HttpClient::Impl::Run() {
  while (!this->stopping) {
    this->ExecuteCommands();
    int running = 0;
    curl_multi_perform(this->multi.get(), &running);
    this->HandleCompletions();
    curl_multi_poll(this->multi.get(), nullptr, 0, kPollMilliseconds, nullptr);
  }
  for (const auto& [id, transfer] : this->transfers) {
    curl_multi_remove_handle(this->multi.get(), transfer->Easy());
  }
  this->transfers.clear();
}

void HttpClient::Impl::ExecuteCommands() {
  std::vector<Command> batch;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    batch.swap(this->commands);
  }
  for (Command& command : batch) {
    if (auto* const call = std::get_if<HttpCall>(&command)) {
      this->Begin(std::move(*call));
    } else if (const auto* const cancel = std::get_if<HttpCancel>(&command)) {
      this->Cancel(cancel->id);
    } else if (const auto* const pause = std::get_if<HttpPause>(&command)) {
      this->Pause(*pause);
    }
  }
}

void HttpClient::Impl::Begin(HttpCall call) {
  const CallId id = call.id;
  auto transfer = std::make_unique<Transfer>(std::move(call), &this->sink);
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    ++this->counts.calls;
    ++this->counts.open;
  }
  curl_multi_add_handle(this->multi.get(), transfer->Easy());
  this->transfers[id] = std::move(transfer);
}

void HttpClient::Impl::Cancel(CallId id) {
  const auto found = this->transfers.find(id);
  if (found == this->transfers.end()) {
    return;
  }
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    ++this->counts.cancelled;
    --this->counts.open;
  }
  curl_multi_remove_handle(this->multi.get(), found->second->Easy());
  this->transfers.erase(found);
}

void HttpClient::Impl::Pause(const HttpPause& pause) {
  const auto found = this->transfers.find(pause.id);
  if (found != this->transfers.end()) {
    found->second->Pause(pause.paused);
  }
}

void HttpClient::Impl::HandleCompletions() {
  int remaining = 0;
  while (const CURLMsg* const message =
             curl_multi_info_read(this->multi.get(), &remaining)) {
    if (message->msg == CURLMSG_DONE) {
      this->Finish(message->easy_handle, message->data.result);
    }
  }
}

void HttpClient::Impl::Finish(CURL* easy, CURLcode code) {
  Transfer* transfer = nullptr;
  curl_easy_getinfo(easy, CURLINFO_PRIVATE, &transfer);
  const HttpDone done{transfer->Id(), transfer->ToHttpEnd(code)};
  this->Count(*transfer, done.end);
  curl_multi_remove_handle(this->multi.get(), easy);
  this->transfers.erase(done.id);
  this->sink(done);
}

void HttpClient::Impl::Count(const Transfer& transfer, HttpEnd end) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  --this->counts.open;
  this->counts.resends_blocked += transfer.ResendBlocked() ? 1 : 0;
  switch (end) {
    case HttpEnd::kComplete:
      ++this->counts.complete;
      break;
    case HttpEnd::kNotConnected:
      ++this->counts.not_connected;
      break;
    case HttpEnd::kCut:
      ++this->counts.cut;
      break;
    case HttpEnd::kTimeout:
      ++this->counts.timeout;
      break;
  }
}

HttpClient::HttpClient(HttpClientSettings settings, EventSink sink)
    : impl(std::make_unique<Impl>(settings, std::move(sink))) {}
HttpClient::~HttpClient() = default;

void HttpClient::Start() { this->impl->Start(); }
void HttpClient::Stop() { this->impl->Stop(); }
void HttpClient::Execute(HttpCall call) { this->impl->Push(std::move(call)); }
void HttpClient::Execute(const HttpCancel& cancel) { this->impl->Push(cancel); }
void HttpClient::Execute(const HttpPause& pause) { this->impl->Push(pause); }
void HttpClient::Flush() { this->impl->Flush(); }
HttpClientCounts HttpClient::Counts() const { return this->impl->Counts(); }

}  // namespace limpetlink
