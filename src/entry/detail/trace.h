/// @file
/// @brief Trace context of a request in the W3C traceparent format.
#pragma once

#include <string>

#include "base/base.h"
#include "ports/ports.h"

namespace limpetlink {

/// @brief Position of a span in its trace.
struct TraceContext {
  std::string trace_id;        ///< 32 hexadecimal digits
  std::string span_id;         ///< 16 hexadecimal digits, of this hop
  std::string parent_span_id;  ///< 16 hexadecimal digits, or empty for a root
};

/// @brief Continues the caller's trace, or starts one if the traceparent header
/// is absent or malformed.
/// @param headers the caller's headers
/// @param random source of new ids
/// @return a context with a new span id
TraceContext BeginTrace(const Headers& headers, Random& random);

/// @brief Creates a child span.
/// @param parent the parent span
/// @param random source of the new span id
TraceContext ChildTrace(const TraceContext& parent, Random& random);

/// @brief Creates the traceparent header of a call made within a span.
Header TraceHeader(const TraceContext& context);

}  // namespace limpetlink
