#include <array>
#include <ctime>
#include <nlohmann/json.hpp>

#include "telemetry/telemetry.h"

namespace limpetlink {
namespace {

using Json = nlohmann::ordered_json;

std::string Dump(const Json& value) {
  return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string IsoTime(std::chrono::nanoseconds time) {
  const auto seconds = std::chrono::floor<std::chrono::seconds>(time);
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(time - seconds);
  const auto unix_seconds = static_cast<std::time_t>(seconds.count());
  std::tm parts{};
  gmtime_r(&unix_seconds, &parts);
  std::array<char, 32> text{};
  const std::size_t size =
      std::strftime(text.data(), text.size(), "%FT%T", &parts);
  const std::string fraction =
      std::to_string(1000 + milliseconds.count()).substr(1);
  return std::string(text.data(), size) + "." + fraction + "Z";
}

Json Attribute(const std::string& key, const std::string& value) {
  return {{"key", key}, {"value", {{"stringValue", value}}}};
}

}  // namespace

std::string RenderLog(const LogLine& line, const HostId& host,
                      std::chrono::nanoseconds time) {
  Json json = {{"time", IsoTime(time)},
               {"level", ToText(line.level)},
               {"message", line.message},
               {"host", host.value}};
  for (const LogField& field : line.fields) {
    json.emplace(field.name, field.value);
  }
  return Dump(json);
}

std::string RenderSpan(const SpanRecord& span, const HostId& host,
                       const WallClock& clock) {
  Json attributes = Json::array();
  for (const LogField& attribute : span.attributes) {
    attributes.push_back(Attribute(attribute.name, attribute.value));
  }
  const Json resource = {
      {"attributes", Json::array({Attribute("host.id", host.value)})}};
  const Json json = {
      {"traceId", span.trace_id},
      {"spanId", span.span_id},
      {"parentSpanId", span.parent_span_id},
      {"name", span.name},
      {"startTimeUnixNano", std::to_string(clock.At(span.start).count())},
      {"endTimeUnixNano", std::to_string(clock.At(span.end).count())},
      {"attributes", attributes},
      {"resource", resource}};
  return Dump(json);
}

}  // namespace limpetlink
