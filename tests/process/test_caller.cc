#include <catch2/catch.hpp>
#include <sstream>

#include "tests/process/fleet_fixture.h"

namespace limpetlink::testing {

nlohmann::json TestResponse::Json() const {
  nlohmann::json value = nlohmann::json::parse(this->body, nullptr, false);
  return value.is_object() ? value : nlohmann::json::object();
}

std::vector<ServerSentEvent> ParseEvents(const std::string& body) {
  std::vector<ServerSentEvent> events;
  ServerSentEvent event;
  std::istringstream lines(body);
  for (std::string line; std::getline(lines, line);) {
    const std::size_t colon = line.find(": ");
    const std::string field = line.substr(0, colon);
    const std::string value =
        colon == std::string::npos ? "" : line.substr(colon + 2);
    if (line.empty()) {
      if (!event.data.empty()) {
        events.push_back(event);
      }
      event = ServerSentEvent{};
    } else if (field == "id") {
      event.id = value;
    } else if (field == "event") {
      event.event = value;
    } else if (field == "data") {
      event.data += value;
    }
  }
  return events;
}

std::string JoinTexts(const std::vector<ServerSentEvent>& events) {
  std::string text;
  for (const ServerSentEvent& event : events) {
    const nlohmann::json data =
        nlohmann::json::parse(event.data, nullptr, false);
    if (data.is_object() && data.contains("choices")) {
      text += data["choices"][0].value("text", "");
    }
  }
  return text;
}

TestCaller::TestCaller()
    : client(HttpClientSettings{},
             [this](const Event& event) { this->HandleEvent(event); }) {
  this->client.Start();
}

void TestCaller::HandleEvent(const Event& event) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (const auto* const head = std::get_if<HttpHead>(&event)) {
    this->calls[head->id].response.status = head->status;
    this->calls[head->id].response.headers = head->headers;
  } else if (const auto* const chunk = std::get_if<HttpChunk>(&event)) {
    this->calls[chunk->id].response.body += chunk->bytes;
  } else if (const auto* const done = std::get_if<HttpDone>(&event)) {
    this->calls[done->id].response.end = done->end;
    this->calls[done->id].ended = true;
  }
  this->changed.notify_all();
}

CallId TestCaller::StartCall(const std::string& method, const std::string& url,
                             const std::string& body, Headers headers) {
  HttpCall call;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    call.id = CallId{++this->last_id};
    this->calls[call.id] = {};
  }
  call.method = method;
  call.url = url;
  call.body = body;
  call.headers = std::move(headers);
  const CallId id = call.id;
  this->client.Execute(std::move(call));
  this->client.Flush();
  return id;
}

TestResponse TestCaller::WaitForEnd(CallId id) {
  std::unique_lock<std::mutex> lock(this->mutex);
  const bool ended = this->changed.wait_for(
      lock, kWaitTimeout, [&] { return this->calls[id].ended; });
  REQUIRE(ended);
  return this->calls[id].response;
}

bool TestCaller::WaitForBody(CallId id, const std::string& text) {
  std::unique_lock<std::mutex> lock(this->mutex);
  return this->changed.wait_for(lock, kWaitTimeout, [&] {
    return this->calls[id].response.body.find(text) != std::string::npos;
  });
}

TestResponse TestCaller::Call(const std::string& method, const std::string& url,
                              const std::string& body, Headers headers) {
  return this->WaitForEnd(
      this->StartCall(method, url, body, std::move(headers)));
}

void TestCaller::Cancel(CallId id) {
  this->client.Execute(HttpCancel{id});
  this->client.Flush();
}

}  // namespace limpetlink::testing
