#include "adapters/detail/transfer.h"

#include <strings.h>

#include <string_view>

namespace limpetlink {
namespace {

bool IsSafeHeader(const Header& header) {
  return header.name.find_first_of("\r\n:") == std::string::npos &&
         header.value.find_first_of("\r\n") == std::string::npos &&
         !header.name.empty();
}

// libcurl sends an empty value for "Name;"; "Name:" would remove the header.
std::string HeaderLine(const Header& header) {
  return header.value.empty() ? header.name + ";"
                              : header.name + ": " + header.value;
}

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kWhitespace = " \t\r\n";
  const std::size_t first = text.find_first_not_of(kWhitespace);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kWhitespace) - first + 1);
}

int ParseStatus(std::string_view line) {
  const std::size_t space = line.find(' ');
  int status = 0;
  for (std::size_t i = space + 1;
       i < line.size() && line[i] >= '0' && line[i] <= '9'; ++i) {
    status = status * 10 + (line[i] - '0');
  }
  return status;
}

bool HasBody(const std::string& method) {
  return method == "POST" || method == "PUT" || method == "PATCH";
}

}  // namespace

Transfer::Transfer(HttpCall call, const EventSink* sink)
    : call(std::move(call)), sink(sink), easy(curl_easy_init()) {
  this->head.id = this->call.id;
  this->SetRequest();
  this->SetLimits();
  CURL* const handle = this->easy.get();
  curl_easy_setopt(handle, CURLOPT_PRIVATE, this);
  curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &Transfer::OnHeader);
  curl_easy_setopt(handle, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &Transfer::OnBody);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &Transfer::BeforeSend);
  curl_easy_setopt(handle, CURLOPT_PREREQDATA, this);
}

void Transfer::SetRequest() {
  CURL* const handle = this->easy.get();
  const std::string& method = this->call.method;
  curl_easy_setopt(handle, CURLOPT_URL, this->call.url.c_str());
  curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
  if (method == "HEAD") {
    curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
  } else if (HasBody(method) || !this->call.body.empty()) {
    curl_easy_setopt(handle, CURLOPT_POST, 1L);
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(this->call.body.size()));
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, this->call.body.data());
  }
  if (method != "GET" && method != "HEAD") {
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, method.c_str());
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
  }
  curl_slist* lines = curl_slist_append(nullptr, "Expect:");
  if (FindHeader(this->call.headers, "Content-Type") == nullptr) {
    lines = curl_slist_append(lines, "Content-Type:");
  }
  for (const Header& header : this->call.headers) {
    if (IsSafeHeader(header)) {
      lines = curl_slist_append(lines, HeaderLine(header).c_str());
    }
  }
  this->header_lines.reset(lines);
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, lines);
}

void Transfer::SetLimits() {
  CURL* const handle = this->easy.get();
  const auto milliseconds = [](Duration value) {
    return static_cast<long>(  // NOLINT(google-runtime-int): libcurl's type
        std::chrono::ceil<std::chrono::milliseconds>(value).count());
  };
  curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                   milliseconds(this->call.connect_timeout));
  if (this->call.total_timeout > Duration{0}) {
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
                     milliseconds(this->call.total_timeout));
  }
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt(handle, CURLOPT_TCP_KEEPALIVE, 1L);
}

void Transfer::Pause(bool paused) {
  curl_easy_pause(this->easy.get(), paused ? CURLPAUSE_RECV : CURLPAUSE_CONT);
}

// Blocks a second send, which can only be libcurl's own retry on a reused
// connection.
int Transfer::BeforeSend(void* self, char* /*local_ip*/, char* /*remote_ip*/,
                         int /*local_port*/, int /*remote_port*/) {
  auto* const transfer = static_cast<Transfer*>(self);
  ++transfer->sends;
  return transfer->sends > 1 ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

void Transfer::HandleHeaderLine(std::string_view line) {
  constexpr int kFirstFinalStatus = 200;
  if (line.substr(0, 5) == "HTTP/") {
    this->head.status = ParseStatus(line);
    this->head.headers.clear();
    return;
  }
  const std::string_view text = Trim(line);
  if (text.empty()) {
    if (this->head.status >= kFirstFinalStatus && !this->head_emitted) {
      this->head_emitted = true;
      (*this->sink)(this->head);
    }
    return;
  }
  const std::size_t colon = text.find(':');
  if (colon != std::string_view::npos && !this->head_emitted) {
    this->head.headers.push_back({std::string(Trim(text.substr(0, colon))),
                                  std::string(Trim(text.substr(colon + 1)))});
  }
}

std::size_t Transfer::OnHeader(char* bytes, std::size_t size, std::size_t count,
                               void* self) {
  constexpr std::size_t kMaxHeaders = 256;
  // Of all heads together: interim responses may come without end.
  constexpr std::size_t kMaxHeadBytes = 256U << 10U;
  auto* const transfer = static_cast<Transfer*>(self);
  transfer->head_bytes += size * count;
  transfer->HandleHeaderLine({bytes, size * count});
  const bool too_large = transfer->head.headers.size() > kMaxHeaders ||
                         transfer->head_bytes > kMaxHeadBytes;
  return too_large ? 0 : size * count;
}

std::size_t Transfer::OnBody(char* bytes, std::size_t size, std::size_t count,
                             void* self) {
  constexpr std::uint64_t kMaxBody = 64U << 20U;
  auto* const transfer = static_cast<Transfer*>(self);
  transfer->body_bytes += size * count;
  const std::uint64_t limit =
      transfer->call.max_body > 0 ? transfer->call.max_body : kMaxBody;
  if (transfer->body_bytes > limit) {
    return 0;  // ends the call as cut
  }
  (*transfer->sink)(
      HttpChunk{transfer->call.id, std::string(bytes, size * count)});
  return size * count;
}

HttpEnd Transfer::ToHttpEnd(CURLcode code) const {
  if (code == CURLE_OK) {
    return HttpEnd::kComplete;
  }
  if (this->sends == 0) {
    return HttpEnd::kNotConnected;
  }
  return code == CURLE_OPERATION_TIMEDOUT ? HttpEnd::kTimeout : HttpEnd::kCut;
}

}  // namespace limpetlink
