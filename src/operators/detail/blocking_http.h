/// @file
/// @brief One HTTP call at a time, for programs that wait for each answer.
#pragma once

#include <functional>
#include <string>

#include "ports/ports.h"

namespace limpetlink {

/// @brief Greatest body that is taken, in bytes; a larger one cuts the call.
inline constexpr std::size_t kMaxResponseBytes = 16U << 20U;

/// @brief The answer of a call.
struct HttpResponse {
  HttpEnd end = HttpEnd::kNotConnected;
  int status = 0;  ///< 0 when no head arrived
  Headers headers;
  std::string body;
};

/// @brief Carries out a call and waits for its end.
using HttpExchange = std::function<HttpResponse(const HttpCall& call)>;

/// @brief Carries out a call over libcurl on a connection of its own.
/// @param call what to send; a total_timeout of 0 means 30 s here
/// @return the answer; never throws. The request is sent at most once.
/// @note Example:
/// @code
/// const HttpResponse answer = ExchangeOverCurl({CallId{1}, "GET", url, {},
/// {}}); if (answer.end == HttpEnd::kComplete && answer.status == 200) { ... }
/// @endcode
HttpResponse ExchangeOverCurl(const HttpCall& call);

}  // namespace limpetlink
