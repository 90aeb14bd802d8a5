#include "tests/scenario/caller.h"

#include <curl/curl.h>

#include <chrono>
#include <utility>

#include "fakes/fake_engine_events.h"

namespace limpetlink::scenario {
namespace {

using Json = nlohmann::json;
using CurlLong = decltype(0L);

constexpr int kOk = 200;
constexpr CurlLong kConnectTimeoutMs = 2000;
constexpr CurlLong kTransferTimeoutSeconds = 240;

struct Transfer {
  Caller* caller = nullptr;
  CURL* handle = nullptr;
};

int StatusOf(CURL* handle) {
  CurlLong status = 0;
  curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
  return static_cast<int>(status);
}

std::size_t OnCurlBody(char* data, std::size_t size, std::size_t count,
                       void* target) {
  const auto* transfer = static_cast<Transfer*>(target);
  const std::size_t bytes = size * count;
  const bool proceed =
      transfer->caller->OnBody({data, bytes}, StatusOf(transfer->handle));
  return proceed ? bytes : 0;
}

int OnCurlProgress(void* target, curl_off_t /*total*/, curl_off_t /*now*/,
                   curl_off_t /*up_total*/, curl_off_t /*up_now*/) {
  const auto* transfer = static_cast<Transfer*>(target);
  return transfer->caller->Disconnected() ? 1 : 0;
}

void ConfigureTransfer(CURL* handle, const CallerCall& call,
                       curl_slist* headers, Transfer* transfer) {
  curl_easy_setopt(handle, CURLOPT_URL, call.url.c_str());
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call.method.c_str());
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, kConnectTimeoutMs);
  curl_easy_setopt(handle, CURLOPT_TIMEOUT, kTransferTimeoutSeconds);
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, OnCurlBody);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, transfer);
  curl_easy_setopt(handle, CURLOPT_XFERINFOFUNCTION, OnCurlProgress);
  curl_easy_setopt(handle, CURLOPT_XFERINFODATA, transfer);
  curl_easy_setopt(handle, CURLOPT_NOPROGRESS, 0L);
  if (!call.body.empty()) {
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(call.body.size()));
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.body.c_str());
  }
}

/// Returns the text of a completion chunk in either format, "text" or "delta".
std::string ChunkText(const Json& chunk) {
  const Json choices = chunk.value("choices", Json::array());
  if (choices.empty()) {
    return {};
  }
  const Json& choice = choices.front();
  if (choice.contains("text")) {
    return choice["text"].get<std::string>();
  }
  const Json delta = choice.value("delta", Json::object());
  return delta.value("content", std::string());
}

std::string ClassifyResponse(const CallerView& view) {
  if (!view.ended) {
    return "none";
  }
  if (view.status == 0) {
    return "none";
  }
  if (view.status != kOk) {
    return view.problem.is_object() ? "refused" : "foreign";
  }
  if (view.problem.is_object()) {
    return "incomplete";
  }
  return view.done ? "whole" : "cut";
}

}  // namespace

Caller::Caller(CallerCall call) {
  this->view.tokens = call.tokens;
  this->thread =
      std::thread([this, sent = std::move(call)] { this->Run(sent); });
}

Caller::~Caller() {
  this->Disconnect();
  this->thread.join();
}

CallerView Caller::View() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->view;
}

bool Caller::OnBody(std::string_view bytes, int status) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->view.status = status;
  this->view.body += bytes;
  const auto events = this->decoder.Feed(bytes);
  if (events.ok()) {
    for (const SseEvent& event : *events) {
      this->OnEvent(event);
    }
  }
  return !this->disconnected;
}

void Caller::RunOnce(const CallerCall& call) {
  CURL* handle = curl_easy_init();
  curl_slist* headers = curl_slist_append(nullptr, "Expect:");
  for (const Header& header : call.headers) {
    headers =
        curl_slist_append(headers, (header.name + ": " + header.value).c_str());
  }
  Transfer transfer{this, handle};
  ConfigureTransfer(handle, call, headers, &transfer);
  const CURLcode code = curl_easy_perform(handle);
  const bool connected = code != CURLE_COULDNT_CONNECT;
  const int status = StatusOf(handle);
  curl_slist_free_all(headers);
  curl_easy_cleanup(handle);
  this->Finish(status, connected);
}

void Caller::Run(const CallerCall& call) {
  this->RunOnce(call);
  while (call.retries && !this->Disconnected()) {
    const std::optional<double> wait = this->TakeRetryDelay();
    if (!wait) {
      return;
    }
    std::this_thread::sleep_for(std::chrono::duration<double>(*wait));
    this->RunOnce(call);
  }
}

std::optional<double> Caller::TakeRetryDelay() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const Json& problem = this->view.problem;
  const bool unknown = problem.is_object() &&
                       problem.value("outcome", "") == "unknown" &&
                       problem.contains("retry_after");
  if (!unknown) {
    return std::nullopt;
  }
  const double wait = problem["retry_after"].get<double>();
  this->view = CallerView();
  return wait;
}

void Caller::OnEvent(const SseEvent& event) {
  if (event.data == "[DONE]") {
    this->view.done = true;
    return;
  }
  const Json data = Json::parse(event.data, nullptr, false);
  if (event.event == "restart") {
    this->view.tokens.clear();
    ++this->view.restarts;
    return;
  }
  if (event.event == "error") {
    this->view.problem = data;
    return;
  }
  if (!event.id.empty()) {
    this->view.last_event_id = event.id;
  }
  const std::string text = data.is_object() ? ChunkText(data) : "";
  if (!text.empty()) {
    this->view.tokens.push_back(text);
  }
}

void Caller::Finish(int status, bool connected) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->view.ended = true;
  this->view.connected = connected;
  this->view.status = status;
  const Json body = Json::parse(this->view.body, nullptr, false);
  if (body.is_object() && body.contains("code")) {
    this->view.problem = body;
  } else if (!body.is_discarded() && status == kOk) {
    this->view.done = true;  // complete response without a stream
  }
}

std::string GenerationOf(const CallerView& view) {
  const auto token =
      ParseResumeToken(kResumeSecret, {kOrganisation}, view.last_event_id);
  return token.ok() ? token->generation.value : std::string();
}

bool TokensInOrder(const CallerView& view) {
  if (view.tokens.empty()) {
    return true;
  }
  const std::string generation = GenerationOf(view);
  for (std::size_t i = 0; i < view.tokens.size(); ++i) {
    if (view.tokens[i] != TokenText(generation, i)) {
      return false;
    }
  }
  return true;
}

Json Observe(const CallerView& view) {
  Json observed = {{"ended", view.ended},
                   {"status", view.status},
                   {"answer", ClassifyResponse(view)},
                   {"tokens", view.tokens.size()},
                   {"in_order", TokensInOrder(view)},
                   {"restarts", view.restarts}};
  if (view.problem.is_object()) {
    observed["code"] = view.problem.value("code", "");
    observed["outcome"] = view.problem.value("outcome", "");
    observed["retry_after"] = view.problem.contains("retry_after");
  }
  return observed;
}

}  // namespace limpetlink::scenario
