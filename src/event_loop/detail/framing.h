/// @file
/// @brief Requests and answers as bytes, and what all sockets are set to.
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

/// @brief How long a peer may leave sent bytes or probes without a sign before
/// its connection counts as broken.
inline constexpr int kSilentPeerMs = 3000;

/// @brief Copies fields in their order; names keep their case.
Headers CopyHeaders(const http::fields& fields);

/// @brief Writes the head of a message without its end-to-end framing.
/// @param chunked adds Transfer-Encoding
/// @param length adds Content-Length when not negative
std::string RenderAnswerHead(int status, const Headers& headers, bool chunked,
                             std::int64_t length);

/// @brief Writes a whole request.
std::string RenderRequest(const HttpCall& call, std::string_view target,
                          std::string_view host);

/// @brief Writes one chunk; the last one when empty.
std::string RenderChunk(std::string_view bytes);

/// @brief Sets no delay, the bound on silent peers and probes of idle ones.
void TuneSocket(Tcp::socket* socket);

}  // namespace limpetlink::event_loop
