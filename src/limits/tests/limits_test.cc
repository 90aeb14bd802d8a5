#include "limits/limits.h"

#include <catch2/catch.hpp>

namespace limpetlink {
namespace {

constexpr Instant At(int milliseconds) {
  return Instant{std::chrono::milliseconds(milliseconds)};
}

TEST_CASE("fair share, all organisations wait, serves them by weight",
          "[limits]") {
  FairShare fair;
  std::vector<OrganisationId> waiting;
  for (const char* name : {"big", "b", "c"}) {
    waiting.push_back(OrganisationId{name});
    fair.SetWeight(waiting.back(), 1.0);
  }
  fair.SetWeight(OrganisationId{"c"}, 2.0);
  std::map<OrganisationId, double> served;
  for (int i = 0; i < 4000; ++i) {
    const OrganisationId next = fair.Order(waiting).front();
    fair.Charge(next, 100);
    served[next] += 100;
  }
  CHECK(served[OrganisationId{"big"}] == Approx(100000).epsilon(0.01));
  CHECK(served[OrganisationId{"c"}] == Approx(200000).epsilon(0.01));
  SECTION("idle time accumulates no credit") {
    const OrganisationId late{"late"};
    fair.Activate(late, waiting);
    CHECK(fair.Counter(late) >= fair.Counter(fair.Order(waiting).front()));
  }
}

TEST_CASE("host limit, no share granted, enforces the limit divided by hosts",
          "[limits]") {
  HostLimit limit;
  limit.SetTotal({8, 40}, 4);
  CHECK(limit.Begin(At(0)) == LimitDecision::kWithin);
  CHECK(limit.Begin(At(0)) == LimitDecision::kWithin);
  CHECK(limit.Begin(At(0)) == LimitDecision::kConcurrency);
  SECTION("the end of a request admits the next") {
    limit.End(std::chrono::seconds(1));
    CHECK(limit.Begin(At(1)) == LimitDecision::kWithin);
  }
  SECTION("a granted share applies until it expires") {
    limit.Grant({5, 40}, At(6000));
    CHECK(limit.Begin(At(1)) == LimitDecision::kWithin);
    CHECK(limit.Begin(At(6001)) == LimitDecision::kConcurrency);
  }
}

TEST_CASE("host limit, rate is exceeded, returns the time to the next request",
          "[limits]") {
  HostLimit limit;
  limit.SetTotal({1000, 10}, 1);
  int within = 0;
  while (limit.Begin(At(0)) == LimitDecision::kWithin) {
    ++within;
  }
  CHECK(within == 10);
  const Duration after = limit.RetryAfter(LimitDecision::kRate, At(0));
  CHECK(after == std::chrono::milliseconds(100));
  CHECK(limit.Begin(At(100)) == LimitDecision::kWithin);
}

TEST_CASE("share allocator, random requests, shares never exceed the limit",
          "[limits]") {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    Random random(seed);
    ShareAllocator allocator;
    allocator.SetTotal({60, 120}, 6);
    std::map<HostId, std::pair<LimitShare, Instant>> granted;
    for (int i = 0; i < 200; ++i) {
      const Instant now = At(i * 300);
      const HostId host{"h" + std::to_string(random.Below(6))};
      const LimitShare demand{static_cast<double>(random.Below(80)),
                              static_cast<double>(random.Below(200))};
      granted[host] = {allocator.Allocate(now, host, demand),
                       now + kShareLifetime};
      LimitShare sum;
      for (const auto& [each, share] : granted) {
        const bool fresh = share.second > now;
        sum.concurrent += fresh ? share.first.concurrent : 0;
        sum.per_second += fresh ? share.first.per_second : 0;
      }
      CHECK(sum.concurrent <= 60.001);
      CHECK(sum.per_second <= 120.001);
    }
  }
}

}  // namespace
}  // namespace limpetlink
