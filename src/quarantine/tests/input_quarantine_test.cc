#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "quarantine/quarantine.h"

namespace limpetlink {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

class QuarantineFixture {
 public:
  /// @brief An engine ends in the first output of a request with the parts.
  bool Crash(const std::vector<std::string>& parts,
             const std::string& engine = "") {
    WorkerCrash crash;
    crash.worker.value = engine.empty()
                             ? "engine-" + std::to_string(++this->last_engine)
                             : engine;
    for (const std::string& id : parts) {
      crash.inputs.push_back(
          {id, static_cast<std::uint32_t>(crash.inputs.size())});
    }
    return this->quarantine.RecordCrash(this->now, crash);
  }

  bool Refuses(const std::string& part) const {
    return this->quarantine.Find(this->now, {part}).has_value();
  }

  InputQuarantine quarantine;
  int last_engine = 0;
  Instant now{seconds(10'000)};
};

TEST_CASE_METHOD(QuarantineFixture,
                 "part quarantine, three crashes in a row, quarantine the part "
                 "that they share",
                 "[quarantine]") {
  this->Crash({"a", "bad", "x"});
  this->now += seconds(3);
  this->Crash({"b", "bad", "y"});
  CHECK_FALSE(this->Refuses("bad"));
  this->now += seconds(3);
  this->Crash({"a", "bad"});
  CHECK(this->Refuses("bad"));
  for (const char* sound : {"a", "b", "x", "y"}) {
    CHECK_FALSE(this->Refuses(sound));
  }
  const std::vector<QuarantinedInput> parts =
      this->quarantine.Quarantined(this->now);
  REQUIRE(parts.size() == 1);
  CHECK(parts[0].crashes == 3);
  CHECK(parts[0].workers.size() == 3);
}

TEST_CASE_METHOD(QuarantineFixture,
                 "part quarantine, a part of sound runs, is not quarantined "
                 "beside the one that ends engines",
                 "[quarantine]") {
  for (int i = 0; i < 20; ++i) {
    this->Crash({"a", "bad"});
    this->now += seconds(1);
    this->quarantine.RecordSound(this->now, "a");
    this->now += seconds(1);
  }
  CHECK(this->Refuses("bad"));
  CHECK_FALSE(this->Refuses("a"));
}

TEST_CASE_METHOD(QuarantineFixture,
                 "part quarantine, a part that always stands before the fatal "
                 "one, is not quarantined",
                 "[quarantine]") {
  for (int i = 0; i < 3; ++i) {
    this->Crash({"a", "bad"});
    this->now += seconds(2);
  }
  CHECK(this->Refuses("bad"));
  CHECK_FALSE(this->Refuses("a"));
}

TEST_CASE_METHOD(QuarantineFixture,
                 "part quarantine, a deeper part suspected at first, is "
                 "released once crashes without it show the cause",
                 "[quarantine]") {
  for (int i = 0; i < 3; ++i) {
    this->Crash({"bad", "deeper"});
    this->now += seconds(2);
  }
  CHECK(this->Refuses("deeper"));
  this->Crash({"bad", "other"});
  CHECK(this->Refuses("bad"));
  CHECK_FALSE(this->Refuses("deeper"));
}

TEST_CASE_METHOD(QuarantineFixture,
                 "part quarantine, engines that end together, count once",
                 "[quarantine]") {
  for (int i = 0; i < 9; ++i) {
    this->Crash({"a"});
    this->now += milliseconds(10);
  }
  this->now += seconds(5);
  for (int i = 0; i < 9; ++i) {
    this->Crash({"a"});
  }
  CHECK_FALSE(this->Refuses("a"));
}

TEST_CASE_METHOD(QuarantineFixture,
                 "part quarantine, some of the engines that end together "
                 "didn't run the part, it isn't their cause",
                 "[quarantine]") {
  for (int i = 0; i < 6; ++i) {
    this->Crash({"a", "x" + std::to_string(i)});
    this->now += milliseconds(20);
    this->Crash({"b", "y" + std::to_string(i)});
    this->now += seconds(3);
  }
  CHECK_FALSE(this->Refuses("a"));
  CHECK_FALSE(this->Refuses("b"));
}

TEST_CASE_METHOD(QuarantineFixture,
                 "request quarantine, sent again after each crash, is "
                 "quarantined though its crashes follow each other closely",
                 "[quarantine]") {
  const auto crash = [&](std::uint32_t prior, const std::string& beside) {
    WorkerCrash each;
    each.worker.value = "worker-" + std::to_string(++this->last_engine);
    each.inputs = {{"request-1", kRequestDepth, prior},
                   {beside, kRequestDepth, 0}};
    this->quarantine.RecordCrash(this->now, each);
    this->now += milliseconds(100);
  };
  crash(0, "request-2");
  crash(1, "request-3");
  SECTION("three crashes") {
    crash(2, "request-4");
    CHECK(this->Refuses("request-1"));
    CHECK_FALSE(this->Refuses("request-2"));
    // Other hosts reach the same verdict.
    InputQuarantine other;
    other.Merge(this->now, this->quarantine.Export(this->now, false));
    CHECK(other.Find(this->now, {"request-1"}).has_value());
    InputQuarantine starting;
    starting.Merge(this->now,
                   this->quarantine.ExportInput(this->now, "request-1"));
    CHECK(starting.Find(this->now, {"request-1"}).has_value());
  }
  SECTION("a run completes in between") {
    this->quarantine.RecordSound(this->now, "request-1");
    this->now += milliseconds(100);
    crash(2, "request-4");
    CHECK_FALSE(this->Refuses("request-1"));
  }
  SECTION("two of them at the same time") {
    crash(1, "request-4");
    CHECK_FALSE(this->Refuses("request-1"));
  }
}

TEST_CASE_METHOD(QuarantineFixture,
                 "part quarantine, one crash told several times, counts once",
                 "[quarantine]") {
  for (int i = 0; i < 5; ++i) {
    CHECK(this->Crash({"a"}, "engine") == (i == 0));
    this->now += seconds(2);
  }
  CHECK_FALSE(this->Refuses("a"));
}

TEST_CASE_METHOD(QuarantineFixture,
                 "part quarantine, hold time passed, lets requests through "
                 "until the next crash",
                 "[quarantine]") {
  for (int i = 0; i < 3; ++i) {
    this->Crash({"bad"});
    this->now += seconds(2);
  }
  this->now += minutes(14);
  CHECK(this->Refuses("bad"));
  this->now += minutes(1);
  CHECK_FALSE(this->Refuses("bad"));
  this->Crash({"bad"});
  CHECK(this->Refuses("bad"));
  this->now += minutes(31);
  this->quarantine.Export(this->now, true);
  CHECK_FALSE(this->quarantine.HasSuspects());
}

TEST_CASE_METHOD(QuarantineFixture,
                 "part quarantine, evidence exchanged late, twice and in any "
                 "order, leads to the same parts",
                 "[quarantine]") {
  InputQuarantine other;
  this->Crash({"a", "bad"});
  const CrashEvidence first = this->quarantine.Export(this->now, true);
  this->now += seconds(2);
  this->quarantine.RecordSound(this->now, "a");
  this->Crash({"a", "bad"});
  this->now += seconds(2);
  this->Crash({"b", "bad"});
  const CrashEvidence last = this->quarantine.Export(this->now, true);
  CHECK(other.Merge(this->now, last));
  CHECK_FALSE(other.Merge(this->now, last));
  CHECK(other.Find(this->now, {"bad"}).has_value());
  // The oldest message is delivered four seconds late.
  other.Merge(this->now, first);
  other.Merge(this->now, last);
  CHECK(other.Find(this->now, {"bad"}).has_value());
  CHECK_FALSE(other.Find(this->now, {"a", "b"}).has_value());
}

TEST_CASE_METHOD(QuarantineFixture,
                 "part quarantine, an operator releases a part, releases it on "
                 "hosts that receive the evidence",
                 "[quarantine]") {
  for (int i = 0; i < 3; ++i) {
    this->Crash({"bad"});
    this->now += seconds(2);
  }
  InputQuarantine other;
  const CrashEvidence before = this->quarantine.Export(this->now, true);
  other.Merge(this->now, before);
  REQUIRE(other.Find(this->now, {"bad"}).has_value());
  CHECK(this->quarantine.RecordSound(this->now, "bad"));
  CHECK_FALSE(this->Refuses("bad"));
  other.Merge(this->now, this->quarantine.Export(this->now, true));
  CHECK_FALSE(other.Find(this->now, {"bad"}).has_value());
  // A host that has not heard repeats the crashes.
  this->quarantine.Merge(this->now, before);
  CHECK_FALSE(this->Refuses("bad"));
}

TEST_CASE_METHOD(QuarantineFixture,
                 "part quarantine, many made-up parts, neither evict a "
                 "quarantined part nor grow without bound",
                 "[quarantine]") {
  for (int i = 0; i < 3; ++i) {
    this->Crash({"bad"});
    this->now += seconds(1);
  }
  for (int i = 0; i < 2000; ++i) {
    std::vector<std::string> parts;
    parts.reserve(200);
    for (int j = 0; j < 200; ++j) {
      parts.push_back(std::to_string(i) + "-" + std::to_string(j));
    }
    this->Crash(parts);
    this->quarantine.RecordSound(this->now, parts.front());
    this->now += milliseconds(20);
  }
  CHECK(this->Refuses("bad"));
  const CrashEvidence evidence = this->quarantine.Export(this->now, true);
  CHECK(evidence.crashes.size() <= 44);
  CHECK(evidence.sound.size() <= 32);
  InputQuarantine other;
  other.Merge(this->now, evidence);
  CHECK(other.Find(this->now, {"bad"}).has_value());
}

}  // namespace
}  // namespace limpetlink
