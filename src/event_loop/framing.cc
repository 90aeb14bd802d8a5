#include "event_loop/detail/framing.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/buffers_iterator.hpp>
#include <boost/beast/core/buffers_to_string.hpp>

namespace limpetlink::event_loop {
namespace {

constexpr int kProbeIdleSeconds = 1;
constexpr int kProbeIntervalSeconds = 1;
constexpr int kProbeCount = 3;

bool IsSafeHeader(const Header& header) {
  return header.name.find_first_of("\r\n:") == std::string::npos &&
         header.value.find_first_of("\r\n") == std::string::npos &&
         !header.name.empty();
}

template <bool is_request>
std::string Serialize(http::header<is_request> head) {
  http::message<is_request, http::empty_body> message(std::move(head));
  http::serializer<is_request, http::empty_body> serializer(message);
  serializer.split(true);  // only the head, without the last chunk of an
                           // empty body
  std::string text;
  ErrorCode error;
  while (!serializer.is_header_done() && !error) {
    serializer.next(error, [&](ErrorCode& /*unused*/, const auto& buffers) {
      text += boost::beast::buffers_to_string(buffers);
      serializer.consume(boost::beast::buffer_bytes(buffers));
    });
  }
  return text;
}

}  // namespace

Headers CopyHeaders(const http::fields& fields) {
  Headers headers;
  for (const auto& field : fields) {
    headers.push_back(
        {field.name_string().to_string(), field.value().to_string()});
  }
  return headers;
}

std::string RenderResponseHead(int status, const Headers& headers, bool chunked,
                               std::int64_t length) {
  http::header<false> head;
  head.version(11);
  head.result(static_cast<unsigned>(status));
  for (const Header& header : headers) {
    if (IsSafeHeader(header)) {
      head.insert(header.name, header.value);
    }
  }
  if (chunked) {
    head.set(http::field::transfer_encoding, "chunked");
  } else if (length >= 0) {
    head.set(http::field::content_length, std::to_string(length));
  }
  return Serialize<false>(std::move(head));
}

std::string RenderRequest(const HttpCall& call, std::string_view target,
                          std::string_view host) {
  http::header<true> head;
  head.version(11);
  head.method_string({call.method.data(), call.method.size()});
  head.target({target.data(), target.size()});
  if (FindHeader(call.headers, "Host") == nullptr) {
    head.set(http::field::host, {host.data(), host.size()});
  }
  for (const Header& header : call.headers) {
    if (IsSafeHeader(header)) {
      head.insert(header.name, header.value);
    }
  }
  const bool bodiless =
      call.body.empty() && (call.method == "GET" || call.method == "HEAD" ||
                            call.method == "DELETE");
  if (!bodiless) {
    head.set(http::field::content_length, std::to_string(call.body.size()));
  }
  return Serialize<true>(std::move(head)) + call.body;
}

std::string RenderChunk(std::string_view bytes) {
  if (bytes.empty()) {
    return boost::beast::buffers_to_string(http::make_chunk_last());
  }
  return boost::beast::buffers_to_string(
      http::make_chunk(asio::const_buffer(bytes.data(), bytes.size())));
}

void TuneSocket(Tcp::socket* socket) {
  ErrorCode ignored;  // a closed socket reports its own error
  socket->set_option(Tcp::no_delay(true), ignored);
  const int handle = socket->native_handle();
  const auto set = [handle](int level, int name, int value) {
    ::setsockopt(handle, level, name, &value, sizeof(value));
  };
  set(IPPROTO_TCP, TCP_USER_TIMEOUT, kUnresponsivePeerMs);
  set(SOL_SOCKET, SO_KEEPALIVE, 1);
  set(IPPROTO_TCP, TCP_KEEPIDLE, kProbeIdleSeconds);
  set(IPPROTO_TCP, TCP_KEEPINTVL, kProbeIntervalSeconds);
  set(IPPROTO_TCP, TCP_KEEPCNT, kProbeCount);
}

}  // namespace limpetlink::event_loop
