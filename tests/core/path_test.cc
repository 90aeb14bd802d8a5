#include <catch2/catch.hpp>

#include "tests/core/world.h"

namespace limpetlink::testing {
namespace {

constexpr int kLookupsForHedging = 60;

CallerRequest Completion(bool stream) {
  CallerRequest request;
  request.method = "POST";
  request.path = "/v1/completions";
  request.body = std::string(R"({"model":"model","prompt":"p","stream":)") +
                 (stream ? "true}" : "false}");
  return request;
}

CallerRequest Order(const std::string& key, const std::string& body) {
  CallerRequest request;
  request.method = "POST";
  request.path = "/v1/services/orders/orders";
  request.headers = {{"Idempotency-Key", key}};
  request.body = body;
  return request;
}

class PathFixture {
 protected:
  PathFixture() : simulation(FleetSimulationOptions{}) {
    REQUIRE(this->simulation.RunUntilReady());
  }

  const CallerLog& Execute(CallerRequest request) {
    const std::size_t caller =
        this->simulation.Send(0, std::move(request), std::chrono::seconds(20));
    this->simulation.RunUntil(
        [&] { return this->simulation.IsFinished(caller); },
        std::chrono::seconds(30));
    return this->simulation.callers[caller];
  }

  FleetSimulation simulation;
};

TEST_CASE_METHOD(PathFixture,
                 "stream, no fault, delivers every token and the end event") {
  const CallerLog& log = this->Execute(Completion(true));
  CHECK(log.status == 200);
  CHECK(log.ended);
  CHECK(log.body.find("#0;") != std::string::npos);
  CHECK(log.body.find("#11;") != std::string::npos);
  CHECK(log.body.find("data: [DONE]") != std::string::npos);
}

TEST_CASE_METHOD(PathFixture,
                 "complete response, no fault, is one JSON object") {
  const CallerLog& log = this->Execute(Completion(false));
  CHECK(log.status == 200);
  CHECK(log.body.find("\"completion_tokens\":12") != std::string::npos);
}

TEST_CASE_METHOD(PathFixture,
                 "order, sent twice with its key, runs once and is replayed") {
  const CallerLog first = this->Execute(Order("k", "body"));
  CHECK(first.status == 200);
  CHECK(first.body == "ran body");
  const CallerLog second = this->Execute(Order("k", "body"));
  CHECK(second.body == "ran body");
  CHECK(FindHeader(second.headers, "Idempotency-Replayed") != nullptr);
  CHECK(this->simulation.executions.size() == 1);
}

TEST_CASE_METHOD(PathFixture,
                 "order, same key with another body, is rejected") {
  this->Execute(Order("k", "one"));
  const CallerLog& log = this->Execute(Order("k", "two"));
  CHECK(log.status == 422);
  CHECK(this->simulation.executions.size() == 1);
}

TEST_CASE_METHOD(PathFixture, "lookup, no fault, is answered by the upstream") {
  CallerRequest request;
  request.method = "GET";
  request.path = "/v1/services/orders/lookups/7";
  const CallerLog& log = this->Execute(std::move(request));
  CHECK(log.status == 200);
}

TEST_CASE_METHOD(
    PathFixture,
    "lookup, path with dot segments, is rejected and not forwarded") {
  CallerRequest request;
  request.method = "GET";
  request.path = "/v1/services/orders/lookups/../orders";
  const CallerLog& log = this->Execute(std::move(request));
  CHECK(log.status == 400);
  CHECK(this->simulation.executions.empty());
}

TEST_CASE_METHOD(PathFixture,
                 "requests page, one request waits, lists it to the operator") {
  this->simulation.engines[0]->Drain();
  this->simulation.Send(0, Completion(true), std::chrono::seconds(20));
  const std::string page = this->simulation.FetchPage(0, "/v1/requests");
  CHECK(page.find("\"organisation\":\"organisation\"") != std::string::npos);
}

TEST_CASE_METHOD(
    PathFixture,
    "paused host, resumes with a new request, rejects it until refreshed") {
  this->simulation.FreezeHost(0);
  const std::size_t caller =
      this->simulation.Send(0, Completion(true), std::chrono::seconds(60));
  this->simulation.RunFor(std::chrono::seconds(8));
  this->simulation.ThawHost(0);
  this->simulation.RunFor(std::chrono::milliseconds(1));
  CHECK(this->simulation.callers[caller].status == 503);
  CHECK(this->simulation.RunUntilReady());
}

TEST_CASE_METHOD(
    PathFixture,
    "lookup, one upstream hangs, is answered by a hedged attempt") {
  CallerRequest lookup;
  lookup.method = "GET";
  lookup.path = "/v1/services/orders/lookups/7";
  for (int i = 0; i < kLookupsForHedging; ++i) {
    REQUIRE(this->Execute(lookup).status == 200);
  }
  this->simulation.network.SetLink("127.0.0.1:9500", LinkState::kStalled);
  for (int i = 0; i < 4; ++i) {
    const Instant sent = this->simulation.timeline.Now();
    const CallerLog& log = this->Execute(lookup);
    CHECK(log.status == 200);
    CHECK(log.ended_at - sent < std::chrono::seconds(2));
  }
}

TEST_CASE_METHOD(PathFixture,
                 "order, its upstream hangs, is sent to no other") {
  this->simulation.network.SetLink("127.0.0.1:9500", LinkState::kStalled);
  this->simulation.network.SetLink("127.0.0.1:9501", LinkState::kStalled);
  const std::size_t caller =
      this->simulation.Send(0, Order("k", "body"), std::chrono::seconds(5));
  this->simulation.RunUntil([&] { return this->simulation.IsFinished(caller); },
                            std::chrono::seconds(10));
  CHECK(this->simulation.callers[caller].status == 504);
  this->simulation.network.SetLink("127.0.0.1:9500", LinkState::kUp);
  this->simulation.network.SetLink("127.0.0.1:9501", LinkState::kUp);
  this->simulation.RunFor(std::chrono::seconds(10));
  CHECK(this->simulation.executions.size() <= 1);
}

}  // namespace
}  // namespace limpetlink::testing
