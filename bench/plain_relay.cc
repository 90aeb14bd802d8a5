// Minimal relay from libmicrohttpd to libcurl, the baseline for the token
// relay. Usage: limpet-bench-plain-relay PORT UPSTREAM-URL
#include <curl/curl.h>
#include <microhttpd.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>

namespace {

constexpr int kPollMilliseconds = 1000;
constexpr std::size_t kBlockBytes = 16384;

/// One request, processed entirely on the thread of its connection.
struct Relay {
  std::string body;
  std::string response;
  CURLM* multi = curl_multi_init();
  CURL* easy = curl_easy_init();
  bool done = false;

  ~Relay() {
    curl_multi_remove_handle(this->multi, this->easy);
    curl_easy_cleanup(this->easy);
    curl_multi_cleanup(this->multi);
  }
};

std::size_t OnUpstreamBody(char* bytes, std::size_t size, std::size_t count,
                           void* relay) {
  static_cast<Relay*>(relay)->response.append(bytes, size * count);
  return size * count;
}

ssize_t ReadResponse(void* state, std::uint64_t /*position*/, char* to,
                     std::size_t max) {
  auto* const relay = static_cast<Relay*>(state);
  while (relay->response.empty() && !relay->done) {
    int running = 0;
    curl_multi_perform(relay->multi, &running);
    relay->done = running == 0;
    if (relay->response.empty() && !relay->done) {
      curl_multi_poll(relay->multi, nullptr, 0, kPollMilliseconds, nullptr);
    }
  }
  if (relay->response.empty()) {
    return MHD_CONTENT_READER_END_OF_STREAM;
  }
  const std::size_t copied = std::min(max, relay->response.size());
  std::copy_n(relay->response.data(), copied, to);
  relay->response.erase(0, copied);
  return static_cast<ssize_t>(copied);
}

void FreeRelay(void* relay) { delete static_cast<Relay*>(relay); }

MHD_Result OnRequest(void* upstream, MHD_Connection* connection,
                     const char* url, const char* /*method*/,
                     const char* /*version*/, const char* upload,
                     std::size_t* upload_size, void** state) {
  if (*state == nullptr) {
    *state = std::make_unique<Relay>().release();
    return MHD_YES;
  }
  auto* const relay = static_cast<Relay*>(*state);
  if (*upload_size > 0) {
    relay->body.append(upload, *upload_size);
    *upload_size = 0;
    return MHD_YES;
  }
  const std::string target = *static_cast<std::string*>(upstream) + url;
  curl_easy_setopt(relay->easy, CURLOPT_URL, target.c_str());
  curl_easy_setopt(relay->easy, CURLOPT_POSTFIELDS, relay->body.c_str());
  curl_easy_setopt(relay->easy, CURLOPT_WRITEFUNCTION, &OnUpstreamBody);
  curl_easy_setopt(relay->easy, CURLOPT_WRITEDATA, relay);
  curl_multi_add_handle(relay->multi, relay->easy);
  MHD_Response* const response = MHD_create_response_from_callback(
      MHD_SIZE_UNKNOWN, kBlockBytes, &ReadResponse, relay, &FreeRelay);
  MHD_add_response_header(response, "Content-Type", "text/event-stream");
  const MHD_Result result =
      MHD_queue_response(connection, MHD_HTTP_OK, response);
  MHD_destroy_response(response);
  return result;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: limpet-bench-plain-relay PORT UPSTREAM-URL\n";
    return 2;
  }
  curl_global_init(CURL_GLOBAL_ALL);
  std::string upstream = argv[2];
  MHD_Daemon* const daemon = MHD_start_daemon(
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD |
          MHD_USE_POLL,
      static_cast<std::uint16_t>(std::strtoul(argv[1], nullptr, 10)), nullptr,
      nullptr, &OnRequest, &upstream, MHD_OPTION_END);
  if (daemon == nullptr) {
    return 1;
  }
  pause();
  MHD_stop_daemon(daemon);
  return 0;
}
