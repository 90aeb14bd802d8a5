#include "routing/routing.h"

#include <catch2/catch.hpp>

namespace limpetlink {
namespace {

constexpr Instant At(int seconds) {
  return Instant{std::chrono::seconds(seconds)};
}

TEST_CASE("prefix hints, gap in the sequence, clears all hints", "[routing]") {
  PrefixHints hints;
  hints.ApplyEvent(1, 11, true);
  hints.ApplyEvent(2, 12, true);
  CHECK(hints.CountLeading({11, 12, 13}) == 2);
  SECTION("a repeated event is ignored") {
    hints.ApplyEvent(2, 12, false);
    CHECK(hints.CountLeading({11, 12}) == 2);
  }
  SECTION("a gap") {
    hints.ApplyEvent(4, 13, true);
    CHECK(hints.CountLeading({11}) == 0);
    CHECK(hints.CountLeading({13}) == 1);
  }
  SECTION("an eviction") {
    hints.ApplyEvent(3, 11, false);
    CHECK(hints.CountLeading({11, 12}) == 0);
  }
}

TEST_CASE("worker health, three failures, is ejected and starts slowly",
          "[routing]") {
  WorkerHealth health;
  for (int i = 0; i < 3; ++i) {
    CHECK_FALSE(health.Ejected(At(1)));
    health.RecordFailure(At(1), false);
  }
  CHECK(health.Ejected(At(5)));
  CHECK_FALSE(health.Ejected(At(6)));
  CHECK(health.UsableFraction(At(6)) == Approx(0.1));
  CHECK(health.UsableFraction(At(21)) == Approx(0.5));
  CHECK(health.UsableFraction(At(36)) == Approx(1.0));
  SECTION("fails again in the slow start, is ejected for longer") {
    for (int i = 0; i < 3; ++i) {
      health.RecordFailure(At(7), false);
    }
    CHECK(health.Ejected(At(16)));
    CHECK_FALSE(health.Ejected(At(17)));
  }
}

TEST_CASE("worker health, gone from the list, a report alone does not clear it",
          "[routing]") {
  WorkerHealth health;
  health.MarkLeaving(At(1), true);
  health.ApplyReport(At(10), false);
  CHECK(health.IsLeaving(At(10)));
  health.MarkListed(At(11));
  CHECK(health.IsLeaving(At(11)));
  health.ApplyReport(At(12), false);
  CHECK_FALSE(health.IsLeaving(At(12)));
}

TEST_CASE(
    "router, more than half of the workers are ejected, ignores ejections",
    "[routing]") {
  FleetDocument document;
  document.failure_domains = {{FailureDomainId{"d"}, "r"}};
  for (const char* id : {"a", "b", "c"}) {
    Upstream upstream;
    upstream.id = UpstreamId{id};
    upstream.serves = "m";
    upstream.failure_domain = FailureDomainId{"d"};
    document.upstreams.push_back(upstream);
  }
  Router router{FailureDomainId{"d"}};
  router.Configure(document);
  const auto rank = [&] {
    return router.Rank(At(1), router.WorkersOf("m"), {}, {},
                       [](const UpstreamId&) { return 0.0; });
  };
  for (int i = 0; i < 3; ++i) {
    router.Health(UpstreamId{"a"}).RecordFailure(At(1), false);
  }
  CHECK(rank().size() == 2);
  for (int i = 0; i < 3; ++i) {
    router.Health(UpstreamId{"b"}).RecordFailure(At(1), false);
  }
  CHECK(rank().size() == 3);
}

}  // namespace
}  // namespace limpetlink
