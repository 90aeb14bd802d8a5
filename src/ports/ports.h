/// @file
/// @brief The events and actions of the core: callers' HTTP requests, HTTP
/// calls made by the host, and frames between entry hosts.
///
/// Adapters perform the I/O; the core performs none itself.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/base.h"

namespace limpetlink {

/// @brief One HTTP header; names are case-insensitive.
struct Header {
  std::string name;
  std::string value;
};

/// @brief HTTP headers in wire order.
using Headers = std::vector<Header>;

/// @brief Returns the first value of a header.
/// @param headers the headers to search
/// @param name the header's name, compared case-insensitively
/// @return the value, or nullptr when there is no such header
inline const std::string* FindHeader(const Headers& headers,
                                     std::string_view name) {
  const auto same = [](char a, char b) {
    const auto lower = [](char c) {
      return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c;
    };
    return lower(a) == lower(b);
  };
  for (const Header& header : headers) {
    const std::string& candidate = header.name;
    bool equal = candidate.size() == name.size();
    for (std::size_t i = 0; equal && i < name.size(); ++i) {
      equal = same(candidate[i], name[i]);
    }
    if (equal) {
      return &header.value;
    }
  }
  return nullptr;
}

// ---- Callers: events of the HTTP server adapter ----

/// @brief At which of the host's addresses a request arrived.
enum class RequestSource {
  kCaller,
  kOperator,
  kHost,  ///< another host, which has this one relay it to a worker
};

/// @brief A complete request of a caller.
struct CallerRequest {
  RequestId id;
  std::string method;
  std::string path;   ///< path without the query
  std::string query;  ///< query as sent, without '?'
  Headers headers;
  std::string body;
  /// Whether the body exceeded the adapter's limit and was dropped.
  bool body_too_large = false;
  /// Path and query byte for byte as sent; empty if the adapter does not
  /// provide them.
  std::string target{};
  RequestSource source = RequestSource::kCaller;
};

/// @brief The caller closed its connection; further replies cannot reach it.
struct CallerDisconnected {
  RequestId id;
};

/// @brief Bytes of the reply left the adapter's buffer towards the caller.
struct CallerBufferDrained {
  RequestId id;
  std::size_t buffered = 0;  ///< bytes still in the adapter's buffer
};

// ---- Callers: actions of the HTTP server adapter ----

/// @brief Starts the reply to a caller.
struct ReplyHead {
  RequestId id;
  int status = 200;
  Headers headers;
};

/// @brief Appends bytes to the reply's body.
struct ReplyBody {
  RequestId id;
  std::string bytes;
};

/// @brief Ends the reply; the last action for a request.
struct ReplyEnd {
  RequestId id;
  /// Whether to close the connection so that the caller detects an incomplete
  /// body.
  bool abort = false;
};

// ---- HTTP calls of the host: to engines, services and the platform ----

/// @brief Starts an HTTP call.
struct HttpCall {
  CallId id;
  std::string method;
  std::string url;
  Headers headers;
  std::string body;
  Duration connect_timeout{std::chrono::seconds(1)};
  Duration total_timeout{0};   ///< 0: unlimited
  std::uint64_t max_body = 0;  ///< bytes of the response; 0: the adapter's own
};

/// @brief Cancels an HTTP call; the adapter emits no further events for it once
/// it has executed this.
struct HttpCancel {
  CallId id;
};

/// @brief Pauses or resumes reading the response of a call (back-pressure).
struct HttpPause {
  CallId id;
  bool paused = true;
};

/// @brief Opens a connection ahead of the call that will use it. An adapter may
/// ignore this; calls then open their own connections.
struct HttpPreconnect {
  std::string address;  ///< "ip:port"
  /// If set, HttpDone tells whether the connection was established: kComplete
  /// or kNotConnected.
  CallId id{};
};

/// @brief The status line and headers of a response arrived.
struct HttpHead {
  CallId id;
  int status = 0;
  Headers headers;
  /// Whether only the end of the connection delimits the body.
  bool until_close = false;
};

/// @brief Bytes of a response's body arrived.
struct HttpChunk {
  CallId id;
  std::string bytes;
};

/// @brief How an HTTP call ended.
enum class HttpEnd {
  kComplete,      ///< the complete response arrived
  kNotConnected,  ///< no connection was established: no byte of the request
                  ///< left the host
  kCut,      ///< the connection failed after bytes of the request may have left
             ///< the host
  kTimeout,  ///< the call's total timeout expired after it had connected
};

template <>
struct EnumTable<HttpEnd> {
  static constexpr EnumName<HttpEnd> kRows[] = {
      {HttpEnd::kComplete, "complete"},
      {HttpEnd::kNotConnected, "not_connected"},
      {HttpEnd::kCut, "cut"},
      {HttpEnd::kTimeout, "timeout"}};
};

/// @brief The last event of an HTTP call.
struct HttpDone {
  CallId id;
  HttpEnd end = HttpEnd::kComplete;
};

// ---- Peers: frames between entry hosts ----

/// @brief Sends a frame to a peer, connecting first if necessary. Frames may be
/// lost.
struct PeerSend {
  HostId to;
  std::string address;  ///< "ip:port" of the peer
  std::string bytes;    ///< CBOR
};

/// @brief A frame received from a peer, which PeerLinks has authenticated.
struct PeerFrame {
  HostId from;
  std::string bytes;
};

// ---- Time of day ----

/// @brief The host's wall clock, reported at the start and every minute; used
/// only for the expiry of stored outcomes.
struct WallClockRead {
  std::int64_t unix_milliseconds = 0;
};

// ---- Telemetry ----

/// @brief Severity of a log line.
enum class LogLevel { kDebug, kInfo, kWarning, kError };

template <>
struct EnumTable<LogLevel> {
  static constexpr EnumName<LogLevel> kRows[] = {
      {LogLevel::kDebug, "debug"},
      {LogLevel::kInfo, "info"},
      {LogLevel::kWarning, "warning"},
      {LogLevel::kError, "error"}};
};

/// @brief One field of a log line.
struct LogField {
  std::string name;
  std::string value;
};

/// @brief Writes a log line.
struct LogLine {
  LogLevel level = LogLevel::kInfo;
  std::string message;
  std::vector<LogField> fields;
};

/// @brief Writes a finished span; ids as in W3C traceparent.
struct SpanRecord {
  std::string trace_id;        ///< 32 hexadecimal digits
  std::string span_id;         ///< 16 hexadecimal digits
  std::string parent_span_id;  ///< 16 hexadecimal digits, or empty
  std::string name;
  Instant start;
  Instant end;
  std::vector<LogField> attributes;
};

/// @brief An input of the core.
using Event =
    std::variant<CallerRequest, CallerDisconnected, CallerBufferDrained,
                 HttpHead, HttpChunk, HttpDone, PeerFrame, WallClockRead>;

/// @brief An output of the core, executed by the adapters.
using Action =
    std::variant<ReplyHead, ReplyBody, ReplyEnd, HttpCall, HttpCancel,
                 HttpPause, HttpPreconnect, PeerSend, LogLine, SpanRecord>;

/// @brief Actions in the order in which they are to be executed.
using Actions = std::vector<Action>;

}  // namespace limpetlink
