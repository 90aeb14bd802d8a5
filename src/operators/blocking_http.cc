#include "operators/detail/blocking_http.h"

#include <curl/curl.h>

#include <memory>

namespace limpetlink {
namespace {

constexpr std::chrono::milliseconds kDefaultTimeout{30000};

/// Integer type of libcurl's options.
using CurlLong = decltype(0L);

struct EasyDeleter {
  void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
};
using EasyHandle = std::unique_ptr<CURL, EasyDeleter>;

struct ListDeleter {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};
using HeaderList = std::unique_ptr<curl_slist, ListDeleter>;

std::size_t AppendBody(char* data, std::size_t size, std::size_t count,
                       void* target) {
  auto* response = static_cast<HttpResponse*>(target);
  const std::size_t bytes = size * count;
  if (response->body.size() + bytes > kMaxResponseBytes) {
    return 0;
  }
  response->body.append(data, bytes);
  return bytes;
}

std::string Trim(std::string_view text) {
  constexpr std::string_view kBlank = " \t\r\n";
  const std::size_t first = text.find_first_not_of(kBlank);
  if (first == std::string_view::npos) {
    return {};
  }
  const std::size_t last = text.find_last_not_of(kBlank);
  return std::string(text.substr(first, last - first + 1));
}

std::size_t StoreHeader(char* data, std::size_t size, std::size_t count,
                        void* target) {
  auto* response = static_cast<HttpResponse*>(target);
  const std::string_view line(data, size * count);
  const std::size_t colon = line.find(':');
  if (line.substr(0, 5) == "HTTP/") {
    response->headers.clear();
  } else if (colon != std::string_view::npos) {
    response->headers.push_back(
        {Trim(line.substr(0, colon)), Trim(line.substr(colon + 1))});
  }
  return line.size();
}

HeaderList MakeHeaders(const Headers& headers) {
  HeaderList list;
  const auto append = [&list](const std::string& line) {
    curl_slist* longer = curl_slist_append(list.get(), line.c_str());
    if (longer != nullptr) {
      static_cast<void>(list.release());
      list.reset(longer);
    }
  };
  for (const Header& header : headers) {
    append(header.name + ": " + header.value);
  }
  append("Expect:");  // sends the body without waiting for 100 Continue
  return list;
}

CurlLong Milliseconds(Duration duration) {
  return static_cast<CurlLong>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

void ConfigureHandle(CURL* handle, const HttpCall& call,
                     const HeaderList& headers, HttpResponse* response) {
  const Duration total =
      call.total_timeout.count() > 0 ? call.total_timeout : kDefaultTimeout;
  curl_easy_setopt(handle, CURLOPT_URL, call.url.c_str());
  curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
  curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call.method.c_str());
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers.get());
  curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                   Milliseconds(call.connect_timeout));
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, Milliseconds(total));
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, AppendBody);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, response);
  curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, StoreHeader);
  curl_easy_setopt(handle, CURLOPT_HEADERDATA, response);
  if (!call.body.empty() || call.method == "PUT" || call.method == "POST") {
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(call.body.size()));
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.body.c_str());
  }
}

HttpEnd ClassifyEnd(CURL* handle, CURLcode code) {
  if (code == CURLE_OK) {
    return HttpEnd::kComplete;
  }
  curl_off_t sending_began = 0;
  curl_easy_getinfo(handle, CURLINFO_PRETRANSFER_TIME_T, &sending_began);
  if (sending_began == 0) {
    return HttpEnd::kNotConnected;
  }
  return code == CURLE_OPERATION_TIMEDOUT ? HttpEnd::kTimeout : HttpEnd::kCut;
}

}  // namespace

HttpResponse ExchangeOverCurl(const HttpCall& call) {
  HttpResponse response;
  const EasyHandle handle(curl_easy_init());
  if (handle == nullptr) {
    return response;
  }
  const HeaderList headers = MakeHeaders(call.headers);
  ConfigureHandle(handle.get(), call, headers, &response);
  const CURLcode code = curl_easy_perform(handle.get());
  CurlLong status = 0;
  curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &status);
  response.status = static_cast<int>(status);
  response.end = ClassifyEnd(handle.get(), code);
  return response;
}

}  // namespace limpetlink
