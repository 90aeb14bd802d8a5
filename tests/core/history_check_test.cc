#include "tests/core/history_check.h"

#include <catch2/catch.hpp>

#include "streams/streams.h"

namespace limpetlink::testing {
namespace {

constexpr std::uint64_t kTokens = 3;

std::string Event(const std::string& text) {
  return EncodeSse({"id", "", R"({"choices":[{"text":")" + text + R"("}]})"});
}

std::string Done() { return EncodeSse({"", "", "[DONE]"}); }

CallerLog Streamed(const std::string& body) {
  CallerLog log;
  log.status = 200;
  log.ended = true;
  log.body = body;
  return log;
}

/// Answers and runs that a broken host would leave behind.
class HistoryFixture {
 protected:
  HistoryFixture() : world(WorldOptions{}) {}

  void Run(const std::string& body, int seconds) {
    this->world.executions.push_back(
        {"worker", "POST", "/orders", body, At(seconds)});
  }

  void Answer(int status, const std::string& body, int sent, int ended) {
    CallerLog log;
    log.request.path = "/v1/services/orders/orders";
    log.request.body = "order";
    log.status = status;
    log.ended = true;
    log.body = body;
    log.sent = At(sent);
    log.ended_at = At(ended);
    log.deadline = At(ended);
    this->world.callers.push_back(log);
  }

  static Instant At(int seconds) {
    return Instant(std::chrono::seconds(seconds));
  }

  World world;
};

TEST_CASE("stream check, whole stream of one generation, finds nothing") {
  const std::string body = Event(TokenText("g", 0)) + Event(TokenText("g", 1)) +
                           Event(TokenText("g", 2)) + Done();
  CHECK(CheckStream(Streamed(body), kTokens).empty());
}

TEST_CASE("stream check, broken stream, finds it") {
  SECTION("two generations are spliced") {
    CHECK_FALSE(CheckStream(Streamed(Event(TokenText("g", 0)) +
                                     Event(TokenText("h", 1)) +
                                     Event(TokenText("h", 2)) + Done()),
                            kTokens)
                    .empty());
  }
  SECTION("a token comes twice") {
    CHECK_FALSE(CheckStream(Streamed(Event(TokenText("g", 0)) +
                                     Event(TokenText("g", 0))),
                            kTokens)
                    .empty());
  }
  SECTION("a token is missing") {
    CHECK_FALSE(CheckStream(Streamed(Event(TokenText("g", 0)) +
                                     Event(TokenText("g", 2))),
                            kTokens)
                    .empty());
  }
  SECTION("the end comes too early") {
    CHECK_FALSE(
        CheckStream(Streamed(Event(TokenText("g", 0)) + Done()), kTokens)
            .empty());
  }
  SECTION("the stream just stops") {
    CHECK_FALSE(
        CheckStream(Streamed(Event(TokenText("g", 0))), kTokens).empty());
  }
}

TEST_CASE_METHOD(HistoryFixture,
                 "order check, one run and its answer, finds nothing") {
  this->Run("order", 2);
  this->Answer(200, "ran order", 1, 3);
  CHECK(CheckOrders(this->world).empty());
}

TEST_CASE_METHOD(HistoryFixture, "order check, broken rule, finds it") {
  SECTION("a request is sent again after it ran") {
    this->Run("order", 2);
    this->Run("order", 3);
  }
  SECTION("not_run is told before the run") {
    this->Answer(503, R"({"outcome":"not_run"})", 1, 2);
    this->Run("order", 3);
  }
  SECTION("not_run is told after the run") {
    this->Run("order", 2);
    this->Answer(503, R"({"outcome":"not_run"})", 1, 3);
  }
  SECTION("an answer is given without a run") {
    this->Answer(200, "ran order", 1, 2);
  }
  CHECK_FALSE(CheckOrders(this->world).empty());
}

TEST_CASE_METHOD(
    HistoryFixture,
    "order check, not_run then a run by the next attempt, is allowed") {
  this->Answer(503, R"({"outcome":"not_run"})", 1, 2);
  this->Run("order", 4);
  this->Answer(200, "ran order", 3, 5);
  CHECK(CheckOrders(this->world).empty());
}

TEST_CASE_METHOD(HistoryFixture,
                 "deadline check, late or missing answer, finds it") {
  SECTION("late") {
    this->Answer(200, "x", 1, 2);
    this->world.callers.back().ended_at = At(9);
  }
  SECTION("missing") {
    this->Answer(200, "x", 1, 2);
    this->world.callers.back().ended = false;
  }
  CHECK_FALSE(CheckDeadlines(this->world, std::chrono::seconds(1)).empty());
}

}  // namespace
}  // namespace limpetlink::testing
