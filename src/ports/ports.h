/// @file
/// @brief The messages at the core's edge: callers over HTTP, HTTP calls made
/// by the host, and
///        frames between entry hosts. Adapters carry them; the core does no I/O
///        of its own.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/base.h"

namespace limpetlink {

/// @brief One HTTP header; names are compared without regard to case.
struct Header {
  std::string name;
  std::string value;
};

/// @brief HTTP headers in the order they stand on the wire.
using Headers = std::vector<Header>;

/// @brief Finds a header's first value.
/// @param headers where to look
/// @param name compared without regard to case
/// @return the value, or nullptr
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

// ---- Callers: what the HTTP server adapter tells the core ----

/// @brief A caller's whole request has arrived.
struct CallerRequest {
  RequestId id;
  std::string method;
  std::string path;   ///< without the query
  std::string query;  ///< as sent, without '?'
  Headers headers;
  std::string body;
  bool body_too_large =
      false;  ///< the body passed the adapter's bound and was dropped
  std::string target{};  ///< path and query byte for byte as sent, where the
                         ///< adapter keeps them
  bool for_operators = false;  ///< came in at the operators' address
};

/// @brief The caller closed its connection; nothing sent to it arrives any
/// more.
struct CallerDisconnected {
  RequestId id;
};

/// @brief The caller took bytes of the answer from the adapter's buffer.
struct CallerBufferDrained {
  RequestId id;
  std::size_t buffered = 0;  ///< bytes still in the adapter's buffer
};

// ---- Callers: what the core orders of the HTTP server adapter ----

/// @brief Starts the answer.
struct ReplyHead {
  RequestId id;
  int status = 200;
  Headers headers;
};

/// @brief Adds bytes to the answer's body.
struct ReplyBody {
  RequestId id;
  std::string bytes;
};

/// @brief Ends the answer; the last thing said of a request.
struct ReplyEnd {
  RequestId id;
  bool abort = false;  ///< cut the connection, so that the caller sees the body
                       ///< is not whole
};

// ---- HTTP calls of the host: to engines, services and the platform ----

/// @brief Orders an HTTP call.
struct HttpCall {
  CallId id;
  std::string method;
  std::string url;
  Headers headers;
  std::string body;
  Duration connect_timeout{std::chrono::seconds(1)};
  Duration total_timeout{0};  ///< 0: no limit of the adapter's own
};

/// @brief Ends an HTTP call; no more events of it follow once the adapter has
/// seen this.
struct HttpCancel {
  CallId id;
};

/// @brief Stops or goes on reading the answer of a call (back-pressure).
struct HttpPause {
  CallId id;
  bool paused = true;
};

/// @brief Opens a connection ahead of the call that will need it. An adapter
/// may pass this over; calls then open their own.
struct HttpPreconnect {
  std::string address;  ///< "ip:port"
};

/// @brief The status line and headers of an answer arrived.
struct HttpHead {
  CallId id;
  int status = 0;
  Headers headers;
};

/// @brief Bytes of an answer's body arrived.
struct HttpChunk {
  CallId id;
  std::string bytes;
};

/// @brief How an HTTP call ended.
enum class HttpEnd {
  kComplete,      ///< the whole answer arrived
  kNotConnected,  ///< no connection was made: no byte of the request left the
                  ///< host
  kCut,      ///< the connection broke after bytes of the request may have left
  kTimeout,  ///< the call's own time limit passed after it had connected
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

/// @brief Sends a frame to a peer; connects first when needed. Frames may be
/// lost.
struct PeerSend {
  HostId to;
  std::string address;  ///< "ip:port" of the peer
  std::string bytes;    ///< CBOR
};

/// @brief A frame arrived from an authenticated peer.
struct PeerFrame {
  HostId from;
  std::string bytes;
};

// ---- Time of day ----

/// @brief The host's wall clock, told at the start and every minute; used for
/// the expiry of kept
///        outcomes only.
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

/// @brief What may happen to the core.
using Event =
    std::variant<CallerRequest, CallerDisconnected, CallerBufferDrained,
                 HttpHead, HttpChunk, HttpDone, PeerFrame, WallClockRead>;

/// @brief What the core may order.
using Action =
    std::variant<ReplyHead, ReplyBody, ReplyEnd, HttpCall, HttpCancel,
                 HttpPause, HttpPreconnect, PeerSend, LogLine, SpanRecord>;

/// @brief Orders in the sequence in which they are to be carried out.
using Actions = std::vector<Action>;

}  // namespace limpetlink
