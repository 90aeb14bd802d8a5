#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

#include "reachability/reachability.h"

namespace limpetlink {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ReachabilityFixture {
 public:
  /// @brief Two services with a worker in each of three domains.
  ReachabilityFixture() {
    for (const char* service : {"app", "model"}) {
      for (int domain = 0; domain < 3; ++domain) {
        const std::string id =
            std::string(service) + "-" + std::to_string(domain);
        this->candidates.push_back(
            {UpstreamId{id}, service, FailureDomainId{std::to_string(domain)}});
      }
    }
  }

  /// @brief Lets time pass; probes of dead workers fail, others succeed.
  void Advance(Duration span) {
    const Instant end = this->now + span;
    while (this->now < end) {
      this->now += milliseconds(10);
      if (this->reachability.NextWakeup() > this->now) {
        continue;
      }
      for (const UpstreamId& worker :
           this->reachability.TakeDueProbes(this->now, this->candidates)) {
        ++this->probes;
        if (this->dead.count(worker.value) > 0) {
          this->reachability.OnProbeFailed(this->now, worker);
        } else {
          this->reachability.OnProbeSucceeded(this->now, worker);
        }
      }
    }
  }

  void Fail(const std::string& worker) {
    this->reachability.OnConnectFailed(this->now, UpstreamId{worker});
  }

  void KillAll() {
    for (const ProbeCandidate& each : this->candidates) {
      this->dead.insert(each.worker.value);
    }
  }

  bool Reaches(const std::string& worker) const {
    return this->reachability.IsReachable(UpstreamId{worker});
  }

  WorkerReachability reachability;
  std::vector<ProbeCandidate> candidates;
  std::set<std::string> dead;
  std::size_t probes = 0;
  Instant now{seconds(100)};
};

TEST_CASE_METHOD(ReachabilityFixture,
                 "reachability, a single connection fails, is doubtful until a "
                 "probe decides",
                 "[reachability]") {
  this->Fail("app-0");
  CHECK_FALSE(this->Reaches("app-0"));
  CHECK(this->reachability.IsDoubtful(UpstreamId{"app-0"}));
  this->Advance(milliseconds(150));
  CHECK(this->Reaches("app-0"));
  this->dead = {"app-0"};
  this->Fail("app-0");
  this->Advance(milliseconds(150));
  CHECK_FALSE(this->reachability.IsDoubtful(UpstreamId{"app-0"}));
  CHECK_FALSE(this->Reaches("app-0"));
}

TEST_CASE_METHOD(ReachabilityFixture,
                 "reachability, all workers fail, the host is cut off within a "
                 "second and back within one of the heal",
                 "[reachability]") {
  this->KillAll();
  this->Fail("app-0");
  this->Advance(seconds(1));
  CHECK(this->reachability.IsCutOff());
  CHECK_FALSE(this->Reaches("model-2"));
  this->dead.clear();
  this->Advance(seconds(1));
  CHECK_FALSE(this->reachability.IsImpaired());
}

TEST_CASE_METHOD(ReachabilityFixture,
                 "reachability, a service or a domain is dead, the host is not "
                 "cut off",
                 "[reachability]") {
  SECTION("service") { this->dead = {"app-0", "app-1", "app-2"}; }
  SECTION("domain") { this->dead = {"app-1", "model-1"}; }
  for (int i = 0; i < 100; ++i) {
    for (const std::string& worker : this->dead) {
      this->Fail(worker);
    }
    this->Advance(milliseconds(100));
    CHECK_FALSE(this->reachability.IsCutOff());
  }
  CHECK(this->Reaches("model-0"));
  CHECK(this->reachability.Unreachable().size() == this->dead.size());
}

TEST_CASE_METHOD(ReachabilityFixture,
                 "reachability, calls fail all the time, probes go on and are "
                 "few",
                 "[reachability]") {
  this->dead = {"app-0"};
  for (int i = 0; i < 1000; ++i) {
    this->Fail("app-0");
    this->Advance(milliseconds(10));
  }
  CHECK(this->probes >= 20);
  // One each 0.4 s of the worker, and two each 0.5 s of others.
  CHECK(this->probes <= 80);
  this->dead.clear();
  this->Advance(seconds(1));
  CHECK(this->Reaches("app-0"));
}

TEST_CASE_METHOD(ReachabilityFixture,
                 "reachability, a worker fails again soon after its return, "
                 "has to pass several probes",
                 "[reachability]") {
  this->Fail("app-0");
  this->Advance(milliseconds(150));
  REQUIRE(this->Reaches("app-0"));
  this->Fail("app-0");
  this->Advance(milliseconds(150));
  CHECK_FALSE(this->Reaches("app-0"));
  this->Advance(milliseconds(850));
  CHECK(this->Reaches("app-0"));
}

TEST_CASE_METHOD(ReachabilityFixture,
                 "reachability, workers are suspected, are probed once a "
                 "second each",
                 "[reachability]") {
  for (int i = 0; i < 50; ++i) {
    this->reachability.Suspect(this->now, UpstreamId{"app-0"});
    this->Advance(milliseconds(100));
  }
  CHECK(this->probes == 5);
  CHECK(this->Reaches("app-0"));
}

}  // namespace
}  // namespace limpetlink
