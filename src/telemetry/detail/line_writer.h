/// @file
/// @brief Writes log lines and spans over Boost.Log without holding its callers
/// up.
#pragma once

#include <iosfwd>
#include <memory>

#include "telemetry/detail/json_lines.h"

namespace limpetlink {

/// @brief How a LineWriter is set up.
struct LineWriterSettings {
  HostId host;
  LogLevel level = LogLevel::kInfo;  ///< lines below it are left out
  WallClock clock;
};

/// @brief Writes lines from a thread of its own. While the output takes
/// nothing, at most LineWriter::kMaxQueuedLines wait and further ones are
/// dropped; a warning tells how many, at most once a second. One writer a
/// process.
/// @note Example:
/// @code
/// LineWriter writer(settings, std::cerr);
/// writer.Write(LogLine{LogLevel::kInfo, "listening", {{"address",
/// "127.0.0.1:8080"}}}, now);
/// @endcode
class LineWriter {
 public:
  /// @brief Lines that may wait for the output.
  static constexpr std::size_t kMaxQueuedLines = 8192;

  /// @param settings host, least level and clock
  /// @param output outlives the writer
  LineWriter(LineWriterSettings settings, std::ostream& output);

  /// @brief Writes what waits, then ends.
  ~LineWriter();
  LineWriter(const LineWriter&) = delete;
  LineWriter& operator=(const LineWriter&) = delete;

  /// @brief Queues a log line. Any thread.
  /// @param now core time
  void Write(const LogLine& line, Instant now);

  /// @brief Queues a span. Any thread.
  void Write(const SpanRecord& span);

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace limpetlink
