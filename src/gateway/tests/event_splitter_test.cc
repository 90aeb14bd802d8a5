#include <catch2/catch.hpp>

#include "gateway/gateway.h"

namespace limpetlink {
namespace {

const std::string kStream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\n\n";

TEST_CASE(
    "event splitter, stream in pieces of any size, returns the same bytes",
    "[gateway]") {
  for (std::size_t size = 1; size <= kStream.size(); ++size) {
    EventSplitter splitter;
    std::string complete;
    std::uint32_t count = 0;
    for (std::size_t at = 0; at < kStream.size(); at += size) {
      const SplitEvents split = splitter.Push(kStream.substr(at, size));
      CHECK(split.in_order);
      complete += split.complete;
      count += split.count;
      const bool ends_complete =
          complete.empty() || complete.substr(complete.size() - 2) == "\n\n";
      CHECK(ends_complete);
    }
    CHECK(complete == kStream);
    CHECK(count == 3);
    CHECK(splitter.LastId() == 3U);
    CHECK(splitter.PendingBytes() == 0);
  }
}

TEST_CASE(
    "event splitter, stream cut within an event, returns complete ones only",
    "[gateway]") {
  EventSplitter splitter;
  const SplitEvents split = splitter.Push("id: 1\ndata: a\n\nid: 2\nda");
  CHECK(split.complete == "id: 1\ndata: a\n\n");
  CHECK(splitter.PendingBytes() > 0);
  CHECK(splitter.LastId() == 1U);
  splitter.DropPartial();
  const SplitEvents next = splitter.Push("id: 2\ndata: b\n\n");
  CHECK(next.complete == "id: 2\ndata: b\n\n");
}

TEST_CASE("event splitter, id does not increase, returns nothing after it",
          "[gateway]") {
  for (const char* next : {"id: 2\n\n", "id: 1\n\n"}) {
    EventSplitter splitter;
    CHECK(splitter.Push("id: 2\n\n").in_order);
    const SplitEvents split = splitter.Push(std::string(next) + "id: 3\n\n");
    CHECK_FALSE(split.in_order);
    CHECK(split.complete.empty());
  }
}

TEST_CASE("event splitter, lines end with CRLF, are returned unchanged",
          "[gateway]") {
  EventSplitter splitter;
  const std::string event = "id: 7\r\ndata: x\r\n\r\n";
  CHECK(splitter.Push(event).complete == event);
  CHECK(splitter.LastId() == 7U);
}

TEST_CASE("event splitter, endless event, is rejected", "[gateway]") {
  EventSplitter splitter;
  bool in_order = true;
  for (int i = 0; in_order && i < 300; ++i) {
    in_order = splitter.Push(std::string(8192, 'x')).in_order;
  }
  CHECK_FALSE(in_order);
}

}  // namespace
}  // namespace limpetlink
