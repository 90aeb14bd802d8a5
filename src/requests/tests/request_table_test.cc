#include <catch2/catch.hpp>
#include <map>
#include <nlohmann/json.hpp>

#include "requests/requests.h"

namespace limpetlink {
namespace {

using std::chrono::seconds;

struct TableFixture {
  Instant now{};
  RequestTable table;

  void Admit(std::uint64_t id, Duration wait, bool streaming = false,
             const std::string& organisation = "swan") {
    REQUIRE(this->table.Admit(this->now, {RequestId{id},
                                          {organisation},
                                          "POST /v1/completions",
                                          this->now + wait,
                                          "trace",
                                          streaming}) ==
            AdmitResult::kAdmitted);
  }
};

TEST_CASE_METHOD(TableFixture,
                 "request, second final response, is never sent") {
  this->Admit(1, seconds(10));
  CHECK(this->table.Finish({1}) == FinishResult::kSend);
  CHECK(this->table.Finish({1}) == FinishResult::kAlreadyAnswered);
  CHECK(this->table.Finish({2}) == FinishResult::kNeverAdmitted);
  CHECK(this->table.Counts().duplicate_responses == 1);
  CHECK(this->table.NextWakeup() == kNever);
}

TEST_CASE_METHOD(TableFixture,
                 "request, no deadline or a past one, is rejected") {
  CHECK(this->table.Admit(this->now, {{1}, {"o"}, "", kNever, "", false}) ==
        AdmitResult::kNoDeadline);
  CHECK(this->table.Admit(this->now, {{1}, {"o"}, "", this->now, "", false}) ==
        AdmitResult::kDeadlinePast);
  this->Admit(3, seconds(1));
  CHECK(this->table.Admit(
            this->now, {{3}, {"o"}, "", this->now + seconds(1), "", false}) ==
        AdmitResult::kDuplicateId);
}

TEST_CASE_METHOD(TableFixture,
                 "deadlines, reached, are reported once in order") {
  this->Admit(1, seconds(10));
  this->Admit(2, seconds(5));
  this->Admit(3, seconds(20));
  CHECK(this->table.NextDeadline() == this->now + seconds(5));
  this->now += seconds(10);
  CHECK(this->table.Expire(this->now) ==
        std::vector<RequestId>{RequestId{2}, RequestId{1}});
  CHECK(this->table.Expire(this->now).empty());
  CHECK(this->table.Find({1})->overdue);
  CHECK(this->table.Finish({1}) == FinishResult::kSend);
  CHECK(this->table.NextDeadline() == this->now + seconds(10));
}

TEST_CASE_METHOD(
    TableFixture,
    "waiting stream, gets its position immediately and periodically") {
  this->Admit(1, seconds(60), true);
  this->Admit(2, seconds(60), false);
  this->table.SetWaiting(this->now, {1}, 4, seconds(9), "queue");
  this->table.SetWaiting(this->now, {2}, 5, seconds(9), "queue");
  auto due = this->table.DueNotices(this->now);
  REQUIRE(due.size() == 1);
  CHECK(due[0].position == 4);
  CHECK(this->table.DueNotices(this->now).empty());
  this->now += seconds(5);
  this->table.SetWaiting(this->now, {1}, 2, seconds(4), "queue");
  due = this->table.DueNotices(this->now);
  REQUIRE(due.size() == 1);
  CHECK(due[0].position == 2);
  SECTION("running, no more comments") {
    this->table.SetRunning(this->now, {1}, "w1");
  }
  SECTION("caller left, no more comments") {
    CHECK(this->table.SetCallerLeft({1}));
    this->table.SetWaiting(this->now, {1}, 1, seconds(4), "queue");
  }
  this->now += seconds(50);
  CHECK(this->table.DueNotices(this->now).empty());
}

TEST_CASE_METHOD(TableFixture,
                 "list, one organisation, contains only its requests") {
  this->Admit(1, seconds(60), true, "swan");
  this->Admit(2, seconds(60), true, "syrtos");
  this->table.SetWaiting(this->now, {2}, 3, seconds(4), "queue of choros");
  this->now += seconds(2);
  CHECK(this->table.List(std::nullopt).size() == 2);
  const auto rows = this->table.List(OrganisationId{"syrtos"});
  REQUIRE(rows.size() == 1);
  const auto body = nlohmann::json::parse(ToRequestsJson(rows, this->now));
  const auto& row = body["requests"][0];
  CHECK(row["state"] == "waiting");
  CHECK(row["place"] == 3);
  CHECK(row["age_s"] == 2.0);
  CHECK(row["deadline_in_s"] == 58.0);
  CHECK(row["reason"] == "queue of choros");
}

TEST_CASE("wait preference, RFC 7240 syntax, is parsed") {
  CHECK(ParseWaitPreference("wait=30") == seconds(30));
  CHECK(ParseWaitPreference("respond-async, Wait = 0.5 ; x") ==
        std::chrono::milliseconds(500));
  CHECK_FALSE(ParseWaitPreference("respond-async"));
  CHECK_FALSE(ParseWaitPreference("wait=-1"));
  CHECK_FALSE(ParseWaitPreference("wait=nan"));
  CHECK_FALSE(ParseWaitPreference("wait=soon"));
}

TEST_CASE("request table, random use, responds once and in time") {
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    Random random(seed);
    RequestTable table;
    Instant now{};
    std::uint64_t next = 1;
    std::map<std::uint64_t, int> sent;
    std::map<std::uint64_t, Instant> deadline;
    for (int step = 0; step < 60; ++step) {
      now += std::chrono::milliseconds(random.Below(400));
      for (const RequestId id : table.Expire(now)) {
        CHECK(now >= deadline[id.value]);
        sent[id.value] += table.Finish(id) == FinishResult::kSend ? 1 : 0;
      }
      for (const RequestRow& row : table.List(std::nullopt)) {
        REQUIRE(row.deadline > now);
      }
      const RequestId any{1 + random.Below(next)};
      switch (random.Below(6)) {
        case 0:
        case 1:
          deadline[next] =
              now + std::chrono::milliseconds(1 + random.Below(3000));
          table.Admit(now, {{next}, {"o"}, "", deadline[next], "", true});
          ++next;
          break;
        case 2:
          table.SetWaiting(now, any, 1, Duration(0), "queue");
          break;
        case 3:
          table.SetRunning(now, any, "w");
          break;
        case 4:
          table.DueNotices(now);
          break;
        default:
          sent[any.value] += table.Finish(any) == FinishResult::kSend ? 1 : 0;
      }
      REQUIRE(table.NextWakeup() <= table.NextDeadline());
    }
    for (const auto& [id, count] : sent) {
      REQUIRE(count <= 1);
    }
    REQUIRE(table.Counts().answered + table.Size() == next - 1);
  }
}

}  // namespace
}  // namespace limpetlink
