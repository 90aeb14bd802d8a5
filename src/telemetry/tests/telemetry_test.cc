#include "telemetry/telemetry.h"

#include <catch2/catch.hpp>
#include <sstream>

using limpetlink::HostId;
using limpetlink::Instant;
using limpetlink::LogLevel;
using limpetlink::LogLine;

TEST_CASE("a log line, fields and broken text, it is one line of JSON") {
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

TEST_CASE("a line writer, several levels, lines below its own are left out") {
  std::ostringstream output;
  {
    limpetlink::LineWriter writer({HostId{"a"}, LogLevel::kInfo, {}}, output);
    writer.Write(LogLine{LogLevel::kDebug, "hidden", {}}, Instant{});
    writer.Write(LogLine{LogLevel::kError, "shown", {}}, Instant{});
  }
  CHECK(output.str().find("hidden") == std::string::npos);
  CHECK(output.str().find("shown") != std::string::npos);
}
