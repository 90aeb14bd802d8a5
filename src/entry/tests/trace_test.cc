#include "entry/detail/trace.h"

#include <catch2/catch.hpp>

namespace limpetlink {
namespace {

constexpr const char* kParent =
    "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

TEST_CASE("trace, caller sends traceparent, continues it with a new span") {
  Random random(1);
  const TraceContext context = BeginTrace({{"Traceparent", kParent}}, random);
  CHECK(context.trace_id == "0af7651916cd43dd8448eb211c80319c");
  CHECK(context.parent_span_id == "b7ad6b7169203331");
  CHECK(context.span_id.size() == 16);
  CHECK(context.span_id != context.parent_span_id);
}

TEST_CASE("trace, malformed traceparent, starts a new trace") {
  Random random(1);
  for (const char* malformed :
       {"", "00-xyz", "00-00000000000000000000000000000000-b7ad6b7169203331-01",
        "00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01"}) {
    const TraceContext context =
        BeginTrace({{"traceparent", malformed}}, random);
    CHECK(context.trace_id.size() == 32);
    CHECK(context.parent_span_id.empty());
  }
}

TEST_CASE("child trace, of a span, keeps the trace id and the parent span id") {
  Random random(1);
  const TraceContext parent = BeginTrace({{"traceparent", kParent}}, random);
  const TraceContext child = ChildTrace(parent, random);
  CHECK(child.trace_id == parent.trace_id);
  CHECK(child.parent_span_id == parent.span_id);
  CHECK(TraceHeader(child).value ==
        "00-" + child.trace_id + "-" + child.span_id + "-01");
}

}  // namespace
}  // namespace limpetlink
