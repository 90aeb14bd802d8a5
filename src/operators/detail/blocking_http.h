/// @file
/// @brief Blocking HTTP calls, one at a time.
#pragma once

#include <functional>
#include <string>

#include "ports/ports.h"

namespace limpetlink {

/// @brief Maximum size of a response body in bytes; a larger one aborts the
/// call.
inline constexpr std::size_t kMaxResponseBytes = 16U << 20U;

/// @brief Result of an HTTP call.
struct HttpResponse {
  HttpEnd end = HttpEnd::kNotConnected;
  int status = 0;  ///< 0 when no response head arrived
  Headers headers;
  std::string body;
};

/// @brief Executes a call and blocks until it ends.
using HttpExchange = std::function<HttpResponse(const HttpCall& call)>;

/// @brief Executes a call with libcurl on a new connection. Sends the request
/// at most once and never throws.
/// @param call the call; a total_timeout of 0 means 30 s
/// @return the response and how the call ended
/// @note Example:
/// @code
/// const HttpCall call{CallId{1}, "GET", url, {}, {}};
/// const HttpResponse response = ExchangeOverCurl(call);
/// if (response.end == HttpEnd::kComplete && response.status == 200) { ... }
/// @endcode
HttpResponse ExchangeOverCurl(const HttpCall& call);

}  // namespace limpetlink
