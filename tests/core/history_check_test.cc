#include "tests/core/history_check.h"

#include <catch2/catch.hpp>

#include "streams/streams.h"

namespace limpetlink::testing {
namespace {

constexpr std::uint64_t kTokens = 3;

std::string TokenEvent(const std::string& text) {
  return EncodeSse({"id", "", R"({"choices":[{"text":")" + text + R"("}]})"});
}

std::string DoneEvent() { return EncodeSse({"", "", "[DONE]"}); }

CallerLog StreamLog(const std::string& body) {
  CallerLog log;
  log.status = 200;
  log.ended = true;
  log.body = body;
  return log;
}

/// Records the responses and executions that a defective host would cause.
class HistoryFixture {
 protected:
  HistoryFixture() : simulation(FleetSimulationOptions{}) {}

  void AddExecution(const std::string& body, int seconds) {
    this->simulation.executions.push_back(
        {"worker", "POST", "/orders", body, At(seconds)});
  }

  void AddResponse(int status, const std::string& body, int sent, int ended) {
    CallerLog log;
    log.request.path = "/v1/services/orders/orders";
    log.request.body = "order";
    log.status = status;
    log.ended = true;
    log.body = body;
    log.sent = At(sent);
    log.ended_at = At(ended);
    log.deadline = At(ended);
    this->simulation.callers.push_back(log);
  }

  static Instant At(int seconds) {
    return Instant(std::chrono::seconds(seconds));
  }

  FleetSimulation simulation;
};

TEST_CASE("stream check, complete stream of one generation, reports nothing") {
  const std::string body = TokenEvent(TokenText("g", 0)) +
                           TokenEvent(TokenText("g", 1)) +
                           TokenEvent(TokenText("g", 2)) + DoneEvent();
  CHECK(CheckStream(StreamLog(body), kTokens).empty());
}

TEST_CASE("stream check, invalid stream, reports a violation") {
  SECTION("two generations are spliced") {
    CHECK_FALSE(
        CheckStream(StreamLog(TokenEvent(TokenText("g", 0)) +
                              TokenEvent(TokenText("h", 1)) +
                              TokenEvent(TokenText("h", 2)) + DoneEvent()),
                    kTokens)
            .empty());
  }
  SECTION("a token is duplicated") {
    CHECK_FALSE(CheckStream(StreamLog(TokenEvent(TokenText("g", 0)) +
                                      TokenEvent(TokenText("g", 0))),
                            kTokens)
                    .empty());
  }
  SECTION("a token is missing") {
    CHECK_FALSE(CheckStream(StreamLog(TokenEvent(TokenText("g", 0)) +
                                      TokenEvent(TokenText("g", 2))),
                            kTokens)
                    .empty());
  }
  SECTION("the end event comes too early") {
    CHECK_FALSE(
        CheckStream(StreamLog(TokenEvent(TokenText("g", 0)) + DoneEvent()),
                    kTokens)
            .empty());
  }
  SECTION("the stream ends without an end event") {
    CHECK_FALSE(
        CheckStream(StreamLog(TokenEvent(TokenText("g", 0))), kTokens).empty());
  }
}

TEST_CASE_METHOD(
    HistoryFixture,
    "order check, one execution and its response, reports nothing") {
  this->AddExecution("order", 2);
  this->AddResponse(200, "ran order", 1, 3);
  CHECK(CheckOrders(this->simulation).empty());
}

TEST_CASE_METHOD(HistoryFixture,
                 "order check, violated guarantee, reports it") {
  SECTION("a request is executed twice") {
    this->AddExecution("order", 2);
    this->AddExecution("order", 3);
  }
  SECTION("not_run is returned before the execution") {
    this->AddResponse(503, R"({"outcome":"not_run"})", 1, 2);
    this->AddExecution("order", 3);
  }
  SECTION("not_run is returned after the execution") {
    this->AddExecution("order", 2);
    this->AddResponse(503, R"({"outcome":"not_run"})", 1, 3);
  }
  SECTION("a response is returned without an execution") {
    this->AddResponse(200, "ran order", 1, 2);
  }
  CHECK_FALSE(CheckOrders(this->simulation).empty());
}

TEST_CASE_METHOD(
    HistoryFixture,
    "order check, not_run then execution by the next attempt, is allowed") {
  this->AddResponse(503, R"({"outcome":"not_run"})", 1, 2);
  this->AddExecution("order", 4);
  this->AddResponse(200, "ran order", 3, 5);
  CHECK(CheckOrders(this->simulation).empty());
}

TEST_CASE_METHOD(HistoryFixture,
                 "deadline check, late or missing response, reports it") {
  SECTION("late") {
    this->AddResponse(200, "x", 1, 2);
    this->simulation.callers.back().ended_at = At(9);
  }
  SECTION("missing") {
    this->AddResponse(200, "x", 1, 2);
    this->simulation.callers.back().ended = false;
  }
  CHECK_FALSE(
      CheckDeadlines(this->simulation, std::chrono::seconds(1)).empty());
}

}  // namespace
}  // namespace limpetlink::testing
