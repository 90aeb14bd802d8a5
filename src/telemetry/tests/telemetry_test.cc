#include "telemetry/telemetry.h"

#include <catch2/catch.hpp>
#include <condition_variable>
#include <mutex>
#include <sstream>

using limpetlink::HostId;
using limpetlink::Instant;
using limpetlink::LogLevel;
using limpetlink::LogLine;

TEST_CASE("a log line, fields and invalid UTF-8, it is one line of JSON") {
  const LogLine line{LogLevel::kWarning,
                     "line\nbreak \xff",
                     {{"request", "17"}, {"level", "x"}}};
  const std::string text = limpetlink::RenderLog(
      line, HostId{"a"}, std::chrono::milliseconds(1'500'000'000'123));
  CHECK(text.find('\n') == std::string::npos);
  CHECK(text.find(R"("time":"2017-07-14T02:40:00.123Z","level":"warning")") !=
        std::string::npos);
  CHECK(text.find(R"("host":"a","request":"17")") != std::string::npos);
}

TEST_CASE("a span, rendered, it has the field names of OTLP") {
  limpetlink::SpanRecord span;
  span.trace_id = "t";
  span.name = "request";
  span.end = Instant(std::chrono::microseconds(5));
  span.attributes = {{"status", "200"}};
  const limpetlink::WallClock clock{std::chrono::nanoseconds(100)};
  const std::string text = limpetlink::RenderSpan(span, HostId{"a"}, clock);
  CHECK(text.find(R"("traceId":"t")") != std::string::npos);
  CHECK(text.find(R"("endTimeUnixNano":"5100")") != std::string::npos);
  CHECK(text.find(R"({"key":"status","value":{"stringValue":"200"}})") !=
        std::string::npos);
}

/// @brief An output that blocks until it is released.
class BlockedOutput : public std::stringbuf {
 public:
  void Release() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->released = true;
    this->changed.notify_all();
  }

 protected:
  std::streamsize xsputn(const char* bytes, std::streamsize size) override {
    std::unique_lock<std::mutex> lock(this->mutex);
    this->changed.wait(lock, [this] { return this->released; });
    return std::stringbuf::xsputn(bytes, size);
  }

 private:
  std::mutex mutex;
  std::condition_variable changed;
  bool released = false;
};

TEST_CASE(
    "a line writer, the output is blocked, lines over the limit are dropped "
    "and counted, and no caller blocks") {
  constexpr std::size_t kExcess = 500;
  BlockedOutput buffer;
  std::ostream output(&buffer);
  {
    limpetlink::LineWriter writer({HostId{"a"}, LogLevel::kInfo, {}}, output);
    const LogLine line{LogLevel::kInfo, "request finished", {}};
    for (std::size_t i = 0;
         i < limpetlink::LineWriter::kMaxQueuedLines + kExcess; ++i) {
      writer.Write(line, Instant{});
    }
    buffer.Release();
  }
  {
    limpetlink::LineWriter writer({HostId{"a"}, LogLevel::kInfo, {}}, output);
    writer.Write(LogLine{LogLevel::kInfo, "later", {}},
                 Instant{std::chrono::seconds(5)});
  }
  const std::string text = buffer.str();
  const std::size_t report = text.find("log lines dropped");
  REQUIRE(report != std::string::npos);
  // Lines that the writing thread has already dequeued may or may not count as
  // queued.
  const std::size_t lines = text.find("\"lines\":\"", report);
  const int dropped = std::stoi(text.substr(lines + 9));
  CHECK(dropped >= 490);
  CHECK(dropped <= 500);
}

TEST_CASE("a line writer, several levels, lines below its own are omitted") {
  std::ostringstream output;
  {
    limpetlink::LineWriter writer({HostId{"a"}, LogLevel::kInfo, {}}, output);
    writer.Write(LogLine{LogLevel::kDebug, "hidden", {}}, Instant{});
    writer.Write(LogLine{LogLevel::kError, "shown", {}}, Instant{});
  }
  CHECK(output.str().find("hidden") == std::string::npos);
  CHECK(output.str().find("shown") != std::string::npos);
}
