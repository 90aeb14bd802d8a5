#include <catch2/catch.hpp>

#include "dispatch/dispatch.h"

namespace limpetlink {
namespace {

constexpr Instant At(int milliseconds) {
  return Instant{std::chrono::milliseconds(milliseconds)};
}

class DispatcherFixture {
 public:
  DispatcherFixture() {
    FleetDocument document;
    document.failure_domains = {{FailureDomainId{"perth-a"}, "perth"},
                                {FailureDomainId{"crete-a"}, "crete"}};
    Organisation organisation;
    organisation.id = OrganisationId{"panel"};
    organisation.max_concurrent = 500;
    organisation.requests_per_second = 1000;
    document.organisations = {organisation};
    document.models = {{"model", "1", {}, 4096}};
    document.upstreams = {this->Engine("far", "crete-a"),
                          this->Engine("near", "perth-a")};
    this->dispatcher.Step(At(0),
                          Configure{std::make_shared<FleetDocument>(document)});
  }

 protected:
  static Upstream Engine(const std::string& id, const std::string& domain) {
    return {UpstreamId{id}, UpstreamKind::kEngine,   "model",
            "http://" + id, FailureDomainId{domain}, true};
  }

  SubmitRequest Request(std::uint64_t id) {
    SubmitRequest request;
    request.request = RequestId{id};
    request.organisation = OrganisationId{"panel"};
    request.target = "model";
    request.route = "drafts";
    request.prompt_tokens = 100;
    request.max_output_tokens = 1000;
    request.deadline = At(60000);
    return request;
  }

  void Report(int when, const std::string& id, bool draining = false) {
    WorkerReport report;
    report.worker = UpstreamId{id};
    report.memory_tokens = 100000;
    report.draining = draining;
    this->dispatcher.Step(At(when), report);
  }

  std::string PlacedAt(int when, const SubmitRequest& request) {
    for (const auto& action : this->dispatcher.Step(At(when), request)) {
      if (const auto* place = std::get_if<Place>(&action)) {
        return place->worker.value;
      }
    }
    return "";
  }

  Dispatcher dispatcher{{HostId{"a"}, FailureDomainId{"perth-a"}, 1, nullptr}};
};

TEST_CASE_METHOD(DispatcherFixture,
                 "dispatcher, workers near and far, places at the near worker",
                 "[dispatch]") {
  this->Report(0, "near");
  this->Report(0, "far");
  CHECK(this->PlacedAt(1, this->Request(1)) == "near");
  SECTION("the near worker is excluded") {
    SubmitRequest request = this->Request(2);
    request.excluded = {UpstreamId{"near"}};
    CHECK(this->PlacedAt(2, request) == "far");
  }
  SECTION("the near worker reports that it is draining") {
    this->Report(2, "near", true);
    CHECK(this->PlacedAt(3, this->Request(2)) == "far");
    SECTION("an early report does not clear the state, a later one does") {
      this->Report(500, "near");
      CHECK(this->PlacedAt(501, this->Request(3)) == "far");
      this->Report(2500, "near");
      CHECK(this->PlacedAt(2501, this->Request(4)) == "near");
    }
  }
  SECTION("the near worker refuses a connection") {
    this->dispatcher.Step(
        At(2), ReportEnded{RequestId{1}, PlacementEnd::kNotConnected, 0});
    CHECK(this->PlacedAt(3, this->Request(2)) == "far");
  }
  SECTION("the host list marks both workers as leaving") {
    for (const char* id : {"near", "far"}) {
      this->dispatcher.Step(
          At(2), SetWorkerState{UpstreamId{id}, WorkerState::kLeaving});
    }
    const auto actions = this->dispatcher.Step(At(3), this->Request(2));
    REQUIRE(actions.size() == 1);
    const auto* refuse = std::get_if<Refuse>(&actions[0]);
    REQUIRE(refuse != nullptr);
    CHECK(refuse->problem.code == ErrorCode::kRoutingNoUpstream);
    CHECK(refuse->problem.outcome == Outcome::kNotRun);
    CHECK(refuse->problem.retry_after.has_value());
  }
}

TEST_CASE_METHOD(DispatcherFixture,
                 "dispatcher, all workers full, waiting request is answered",
                 "[dispatch]") {
  std::uint64_t id = 0;
  while (!this->PlacedAt(0, this->Request(++id)).empty()) {
  }
  const std::uint64_t waiting = id;
  std::size_t refusals = 0;
  Instant now = At(0);
  while (this->dispatcher.NextWakeup() != kNever && now < At(100000)) {
    now = std::max(now, this->dispatcher.NextWakeup());
    for (const auto& action : this->dispatcher.Step(now, DispatchTick{})) {
      const auto* refuse = std::get_if<Refuse>(&action);
      if (refuse != nullptr) {
        CHECK(refuse->request == RequestId{waiting});
        CHECK(refuse->problem.outcome == Outcome::kNotRun);
        ++refusals;
      }
    }
  }
  CHECK(refusals == 1);
  CHECK(now <= At(60050));
}

TEST_CASE_METHOD(DispatcherFixture,
                 "dispatcher, stream ends, first waiting request is placed",
                 "[dispatch]") {
  std::uint64_t id = 0;
  while (!this->PlacedAt(0, this->Request(++id)).empty()) {
  }
  const auto actions = this->dispatcher.Step(
      At(10), ReportEnded{RequestId{1}, PlacementEnd::kFinished, 30});
  REQUIRE(!actions.empty());
  const auto* place = std::get_if<Place>(&actions[0]);
  REQUIRE(place != nullptr);
  CHECK(place->request == RequestId{id});
}

TEST_CASE_METHOD(
    DispatcherFixture,
    "dispatcher, retries exceed a tenth of the requests, are refused",
    "[dispatch]") {
  this->Report(0, "near");
  std::uint64_t id = 0;
  for (int i = 0; i < 100; ++i) {
    this->dispatcher.Step(At(i), this->Request(++id));
    this->dispatcher.Step(
        At(i), ReportEnded{RequestId{id}, PlacementEnd::kFinished, 10});
  }
  std::size_t allowed = 0;
  for (int i = 0; i < 100; ++i) {
    SubmitRequest retry = this->Request(++id);
    retry.is_retry = true;
    allowed += this->PlacedAt(200, retry).empty() ? 0 : 1;
    this->dispatcher.Step(
        At(200), ReportEnded{RequestId{id}, PlacementEnd::kFinished, 10});
  }
  CHECK(allowed >= 10);
  CHECK(allowed <= 13);
}

}  // namespace
}  // namespace limpetlink
