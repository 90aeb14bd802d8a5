/// @file
/// @brief Asynchronous writer of log lines and spans that uses Boost.Log.
#pragma once

#include <iosfwd>
#include <memory>

#include "telemetry/detail/json_lines.h"

namespace limpetlink {

/// @brief Settings of a LineWriter.
struct LineWriterSettings {
  HostId host;
  LogLevel level = LogLevel::kInfo;  ///< lines below it are omitted
  WallClock clock;
};

/// @brief Writes lines on its own thread, without blocking the callers.
///
/// While the output is blocked, at most LineWriter::kMaxQueuedLines lines are
/// queued and further ones are dropped; a warning reports their number, at most
/// once a second. There may be only one writer per process.
/// @note Example:
/// @code
/// LineWriter writer(settings, std::cerr);
/// writer.Write(
///     LogLine{LogLevel::kInfo, "listening", {{"address", "127.0.0.1:8080"}}},
///     now);
/// @endcode
class LineWriter {
 public:
  /// @brief Maximum number of lines queued for the output.
  static constexpr std::size_t kMaxQueuedLines = 8192;

  /// @param settings host, minimum level and clock
  /// @param output the stream to write to, which must outlive the writer
  LineWriter(LineWriterSettings settings, std::ostream& output);

  /// @brief Writes the queued lines and joins the thread.
  ~LineWriter();
  LineWriter(const LineWriter&) = delete;
  LineWriter& operator=(const LineWriter&) = delete;

  /// @brief Queues a log line. Thread-safe.
  /// @param now the current time of the core
  void Write(const LogLine& line, Instant now);

  /// @brief Queues a span. Thread-safe.
  void Write(const SpanRecord& span);

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace limpetlink
