#include <catch2/catch.hpp>

#include "discovery/discovery.h"

namespace limpetlink {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

WorkerRegistration WorkerOf(std::string id, bool leaving = false) {
  WorkerRegistration worker;
  worker.id = UpstreamId{std::move(id)};
  worker.service = "engines";
  worker.address = "10.0.0.1:80";
  worker.leaving = leaving;
  return worker;
}

class DirectoryFixture {
 public:
  DirectoryFixture() {
    this->directory.OnStoreResponse(this->now);
    this->directory.Put(WorkerOf("a"));
    this->directory.Put(WorkerOf("b"));
  }

  std::vector<std::string> AvailableIds() const {
    std::vector<std::string> names;
    for (const WorkerRegistration* worker :
         this->directory.AvailableWorkers("engines")) {
      names.push_back(worker->id.value);
    }
    return names;
  }

  Instant now{seconds(100)};
  WorkerDirectory directory;
};

TEST_CASE_METHOD(
    DirectoryFixture,
    "worker directory, worker is leaving, gets no new work immediately",
    "[discovery]") {
  this->directory.Put(WorkerOf("a", true));
  CHECK(this->AvailableIds() == std::vector<std::string>{"b"});
  CHECK(this->directory.Find(UpstreamId{"a"}) != nullptr);
}

TEST_CASE_METHOD(
    DirectoryFixture,
    "worker directory, removal without an outage, takes effect immediately",
    "[discovery]") {
  this->now += milliseconds(100);
  this->directory.OnStoreResponse(this->now);
  this->directory.Remove(this->now, UpstreamId{"a"});
  CHECK(this->AvailableIds() == std::vector<std::string>{"b"});
}

TEST_CASE_METHOD(DirectoryFixture,
                 "worker directory, registrations expired in an outage, keeps "
                 "the workers until they had time to register again",
                 "[discovery]") {
  this->now += seconds(6);
  this->directory.OnStoreResponse(this->now);
  this->directory.Retain(this->now, {});
  CHECK(this->AvailableIds() == std::vector<std::string>{"a", "b"});
  this->now += milliseconds(800);
  this->directory.Put(WorkerOf("b"));
  this->now = std::max(this->now, this->directory.NextWakeup());
  this->directory.Tick(this->now);
  CHECK(this->AvailableIds() == std::vector<std::string>{"b"});
  CHECK(this->now - Instant{seconds(106)} <= milliseconds(2200));
}

TEST_CASE_METHOD(DirectoryFixture,
                 "worker directory, several responses after an outage, do not "
                 "extend the time in which removals are delayed",
                 "[discovery]") {
  this->now += seconds(6);
  this->directory.OnStoreResponse(this->now);
  this->directory.Remove(this->now, UpstreamId{"a"});
  for (int i = 0; i < 30; ++i) {
    this->now += milliseconds(100);
    this->directory.OnStoreResponse(this->now);
    this->directory.Tick(this->now);
  }
  CHECK(this->AvailableIds() == std::vector<std::string>{"b"});
}

TEST_CASE_METHOD(DirectoryFixture,
                 "worker directory, no call for a while but relayed responses, "
                 "removes at once",
                 "[discovery]") {
  for (int i = 0; i < 5; ++i) {
    this->now += milliseconds(1900);
    this->directory.OnRelayedResponse(this->now, Duration{0});
  }
  this->now += milliseconds(2500);
  this->directory.OnStoreResponse(this->now);
  this->directory.Remove(this->now, UpstreamId{"a"});
  CHECK(this->AvailableIds() == std::vector<std::string>{"b"});
}

TEST_CASE_METHOD(
    DirectoryFixture,
    "worker directory, calls fail for two seconds, delays removals",
    "[discovery]") {
  this->directory.OnStoreFailure();
  this->now += milliseconds(2500);
  this->directory.OnStoreResponse(this->now);
  this->directory.Remove(this->now, UpstreamId{"a"});
  CHECK(this->AvailableIds() == std::vector<std::string>{"a", "b"});
  CHECK(this->directory.RemovalDelay(this->now) == milliseconds(2200));
}

TEST_CASE_METHOD(DirectoryFixture,
                 "worker directory, another host saw an outage, delays "
                 "removals as that host does",
                 "[discovery]") {
  this->directory.OnRelayedResponse(this->now, milliseconds(900));
  this->directory.Remove(this->now, UpstreamId{"a"});
  CHECK(this->AvailableIds() == std::vector<std::string>{"a", "b"});
  this->now += milliseconds(900);
  this->directory.Tick(this->now);
  CHECK(this->AvailableIds() == std::vector<std::string>{"b"});
}

TEST_CASE_METHOD(DirectoryFixture,
                 "worker directory, store restored from an older copy, delays "
                 "removals and knows departed incarnations",
                 "[discovery]") {
  WorkerRegistration leaving = WorkerOf("a");
  leaving.leaving = true;
  leaving.started_at = 7;
  this->directory.Put(leaving);
  this->directory.Remove(this->now, UpstreamId{"a"});
  CHECK(this->directory.HasDeparted(UpstreamId{"a"}, 7));
  CHECK_FALSE(this->directory.HasDeparted(UpstreamId{"a"}, 8));
  leaving.started_at = 0;  // not told
  this->directory.Put(leaving);
  this->directory.Remove(this->now, UpstreamId{"a"});
  CHECK_FALSE(this->directory.HasDeparted(UpstreamId{"a"}, 0));
  this->directory.OnStoreRestored(this->now);
  this->directory.Remove(this->now, UpstreamId{"b"});
  CHECK(this->AvailableIds() == std::vector<std::string>{"b"});
}

}  // namespace
}  // namespace limpetlink
