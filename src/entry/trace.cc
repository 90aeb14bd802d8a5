#include "entry/detail/trace.h"

#include <algorithm>

namespace limpetlink {
namespace {

constexpr std::size_t kTraceIdDigits = 32;
constexpr std::size_t kSpanIdDigits = 16;
constexpr std::size_t kTraceparentSize =
    55;  // "00-" trace id "-" span id "-" flags

std::string HexDigits(Random& random, std::size_t count) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(count);
  while (text.size() < count) {
    std::uint64_t bits = random();
    for (std::size_t i = 0; i < kSpanIdDigits && text.size() < count; ++i) {
      text.push_back(kDigits[bits & 0x0FU]);
      bits >>= 4U;
    }
  }
  return text;
}

bool IsLowerHex(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  });
}

bool IsAllZero(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c == '0'; });
}

bool IsTraceparent(std::string_view text) {
  if (text.size() != kTraceparentSize || text[2] != '-' || text[35] != '-' ||
      text[52] != '-') {
    return false;
  }
  const std::string_view trace = text.substr(3, kTraceIdDigits);
  const std::string_view span = text.substr(36, kSpanIdDigits);
  return IsLowerHex(trace) && IsLowerHex(span) && !IsAllZero(trace) &&
         !IsAllZero(span);
}

}  // namespace

TraceContext BeginTrace(const Headers& headers, Random& random) {
  TraceContext context;
  const std::string* header = FindHeader(headers, "traceparent");
  if (header != nullptr && IsTraceparent(*header)) {
    context.trace_id = header->substr(3, kTraceIdDigits);
    context.parent_span_id = header->substr(36, kSpanIdDigits);
  } else {
    context.trace_id = HexDigits(random, kTraceIdDigits);
  }
  context.span_id = HexDigits(random, kSpanIdDigits);
  return context;
}

TraceContext ChildTrace(const TraceContext& parent, Random& random) {
  return {parent.trace_id, HexDigits(random, kSpanIdDigits), parent.span_id};
}

Header TraceHeader(const TraceContext& context) {
  return {"traceparent",
          "00-" + context.trace_id + "-" + context.span_id + "-01"};
}

}  // namespace limpetlink
