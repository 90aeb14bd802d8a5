/// @file
/// @brief Rendering of log lines and spans as JSON lines.
#pragma once

#include <chrono>
#include <string>

#include "ports/ports.h"

namespace limpetlink {

/// @brief Converts the core's monotonic time to wall time.
struct WallClock {
  std::chrono::nanoseconds offset{0};  ///< wall time since 1970 minus core time

  /// @return nanoseconds since 1970
  std::chrono::nanoseconds At(Instant when) const {
    return when.time_since_epoch() + this->offset;
  }
};

/// @brief Renders a log line: time, level, message, host and the line's own
/// fields.
///
/// A field with the name of one of these four is omitted.
/// @param line the log line
/// @param host the host that writes the line
/// @param time wall time since 1970
/// @return one line of JSON without a line break
/// @note Example:
/// @code{.json}
/// {"time":"2026-01-02T03:04:05.678Z","level":"info",...,"request":"17"}
/// @endcode
std::string RenderLog(const LogLine& line, const HostId& host,
                      std::chrono::nanoseconds time);

/// @brief Renders a span with the field names of OTLP/JSON.
/// @param span the finished span
/// @param host written as the resource attribute `host.id`
/// @param clock converts the span's times to wall time
/// @return one line of JSON without a line break
std::string RenderSpan(const SpanRecord& span, const HostId& host,
                       const WallClock& clock);

}  // namespace limpetlink
