/// @file
/// @brief Trace context of a request, read from and written to W3C traceparent.
#pragma once

#include <string>

#include "base/base.h"
#include "ports/ports.h"

namespace limpetlink {

/// @brief Where a span stands in its trace.
struct TraceContext {
  std::string trace_id;        ///< 32 hexadecimal digits
  std::string span_id;         ///< 16 hexadecimal digits, of this hop
  std::string parent_span_id;  ///< 16 hexadecimal digits, or empty for a root
};

/// @brief Continues the caller's trace, or begins one when the header is absent
/// or malformed.
/// @param headers the caller's headers
/// @param random source of new ids
/// @return a context with a fresh span id
TraceContext BeginTrace(const Headers& headers, Random& random);

/// @brief Makes a child of a span.
/// @param parent the span above
/// @param random source of the new span id
TraceContext ChildTrace(const TraceContext& parent, Random& random);

/// @brief Writes the traceparent header for a call made within a span.
Header TraceHeader(const TraceContext& context);

}  // namespace limpetlink
