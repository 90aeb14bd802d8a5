/// @file
/// @brief Serialisation of HTTP messages, and the options of all sockets.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <string>

#include "ports/ports.h"

namespace limpetlink::event_loop {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

/// @brief Time in milliseconds for which a peer may leave sent bytes or probes
/// unacknowledged before its connection counts as broken.
inline constexpr int kUnresponsivePeerMs = 3000;

/// @brief Copies header fields, preserving their order and the case of names.
Headers CopyHeaders(const http::fields& fields);

/// @brief Serialises the status line and headers of a response.
/// @param chunked whether to add Transfer-Encoding
/// @param length added as Content-Length unless negative or chunked
std::string RenderResponseHead(int status, const Headers& headers, bool chunked,
                               std::int64_t length);

/// @brief Serialises a complete request.
std::string RenderRequest(const HttpCall& call, std::string_view target,
                          std::string_view host);

/// @brief Serialises one chunk of a chunked body; empty bytes give the last
/// chunk.
std::string RenderChunk(std::string_view bytes);

/// @brief Disables Nagle's algorithm, sets the timeout for unresponsive peers
/// and enables keep-alive probes.
void TuneSocket(Tcp::socket* socket);

}  // namespace limpetlink::event_loop
