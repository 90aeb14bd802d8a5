#include <catch2/catch.hpp>

#include "tests/core/world.h"

namespace limpetlink::testing {
namespace {

constexpr int kLookupsToLearn = 60;

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
  PathFixture() : world(WorldOptions{}) {
    REQUIRE(this->world.RunUntilReady());
  }

  const CallerLog& Serve(CallerRequest request) {
    const std::size_t caller =
        this->world.Send(0, std::move(request), std::chrono::seconds(20));
    this->world.RunUntil([&] { return this->world.Over(caller); },
                         std::chrono::seconds(30));
    return this->world.callers[caller];
  }

  World world;
};

TEST_CASE_METHOD(PathFixture,
                 "stream, nothing fails, gives every token and the end") {
  const CallerLog& log = this->Serve(Completion(true));
  CHECK(log.status == 200);
  CHECK(log.ended);
  CHECK(log.body.find("#0;") != std::string::npos);
  CHECK(log.body.find("#11;") != std::string::npos);
  CHECK(log.body.find("data: [DONE]") != std::string::npos);
}

TEST_CASE_METHOD(PathFixture,
                 "whole answer, nothing fails, is one JSON object") {
  const CallerLog& log = this->Serve(Completion(false));
  CHECK(log.status == 200);
  CHECK(log.body.find("\"completion_tokens\":12") != std::string::npos);
}

TEST_CASE_METHOD(PathFixture,
                 "order, sent twice with its key, runs once and is replayed") {
  const CallerLog first = this->Serve(Order("k", "body"));
  CHECK(first.status == 200);
  CHECK(first.body == "ran body");
  const CallerLog second = this->Serve(Order("k", "body"));
  CHECK(second.body == "ran body");
  CHECK(FindHeader(second.headers, "Idempotency-Replayed") != nullptr);
  CHECK(this->world.executions.size() == 1);
}

TEST_CASE_METHOD(PathFixture, "order, same key with another body, is refused") {
  this->Serve(Order("k", "one"));
  const CallerLog& log = this->Serve(Order("k", "two"));
  CHECK(log.status == 422);
  CHECK(this->world.executions.size() == 1);
}

TEST_CASE_METHOD(PathFixture,
                 "lookup, nothing fails, is answered by the upstream") {
  CallerRequest request;
  request.method = "GET";
  request.path = "/v1/services/orders/lookups/7";
  const CallerLog& log = this->Serve(std::move(request));
  CHECK(log.status == 200);
}

TEST_CASE_METHOD(PathFixture,
                 "lookup, path with dot segments, is refused and not sent on") {
  CallerRequest request;
  request.method = "GET";
  request.path = "/v1/services/orders/lookups/../orders";
  const CallerLog& log = this->Serve(std::move(request));
  CHECK(log.status == 400);
  CHECK(this->world.executions.empty());
}

TEST_CASE_METHOD(PathFixture,
                 "requests page, one request waits, lists it to the operator") {
  this->world.engines[0]->Drain();
  this->world.Send(0, Completion(true), std::chrono::seconds(20));
  const std::string page = this->world.Page(0, "/v1/requests");
  CHECK(page.find("\"organisation\":\"organisation\"") != std::string::npos);
}

TEST_CASE_METHOD(
    PathFixture,
    "paused host, wakes to a new request, refuses it until it has refreshed") {
  this->world.FreezeHost(0);
  const std::size_t caller =
      this->world.Send(0, Completion(true), std::chrono::seconds(60));
  this->world.RunFor(std::chrono::seconds(8));
  this->world.ThawHost(0);
  this->world.RunFor(std::chrono::milliseconds(1));
  CHECK(this->world.callers[caller].status == 503);
  CHECK(this->world.RunUntilReady());
}

TEST_CASE_METHOD(PathFixture,
                 "lookup, one upstream hangs, is answered by a second copy") {
  CallerRequest lookup;
  lookup.method = "GET";
  lookup.path = "/v1/services/orders/lookups/7";
  for (int i = 0; i < kLookupsToLearn; ++i) {
    REQUIRE(this->Serve(lookup).status == 200);
  }
  this->world.network.SetLink("127.0.0.1:9500", LinkState::kStalled);
  for (int i = 0; i < 4; ++i) {
    const Instant sent = this->world.timeline.Now();
    const CallerLog& log = this->Serve(lookup);
    CHECK(log.status == 200);
    CHECK(log.ended_at - sent < std::chrono::seconds(2));
  }
}

TEST_CASE_METHOD(PathFixture,
                 "order, its upstream hangs, is sent to no other") {
  this->world.network.SetLink("127.0.0.1:9500", LinkState::kStalled);
  this->world.network.SetLink("127.0.0.1:9501", LinkState::kStalled);
  const std::size_t caller =
      this->world.Send(0, Order("k", "body"), std::chrono::seconds(5));
  this->world.RunUntil([&] { return this->world.Over(caller); },
                       std::chrono::seconds(10));
  CHECK(this->world.callers[caller].status == 504);
  this->world.network.SetLink("127.0.0.1:9500", LinkState::kUp);
  this->world.network.SetLink("127.0.0.1:9501", LinkState::kUp);
  this->world.RunFor(std::chrono::seconds(10));
  CHECK(this->world.executions.size() <= 1);
}

}  // namespace
}  // namespace limpetlink::testing
