/// @file
/// @brief Log lines and spans as one line of JSON each.
#pragma once

#include <chrono>
#include <string>

#include "ports/ports.h"

namespace limpetlink {

/// @brief Places the core's monotonic time on the wall clock.
struct WallClock {
  std::chrono::nanoseconds offset{0};  ///< wall time since 1970 minus core time

  /// @return nanoseconds since 1970
  std::chrono::nanoseconds At(Instant when) const {
    return when.time_since_epoch() + this->offset;
  }
};

/// @brief Renders a log line: time, level, message, host and the line's own
/// fields. A field that
///        has the name of one of these four is left out.
/// @param line what to tell
/// @param host the host that tells it
/// @param time wall time since 1970
/// @return one line of JSON without its end
/// @note Example:
/// `{"time":"2026-01-02T03:04:05.678Z","level":"info",...,"request":"17"}`
std::string RenderLog(const LogLine& line, const HostId& host,
                      std::chrono::nanoseconds time);

/// @brief Renders a span with the field names of OTLP/JSON.
/// @param span the finished span
/// @param host stands as the resource attribute `host.id`
/// @param clock places the span's times
/// @return one line of JSON without its end
std::string RenderSpan(const SpanRecord& span, const HostId& host,
                       const WallClock& clock);

}  // namespace limpetlink
