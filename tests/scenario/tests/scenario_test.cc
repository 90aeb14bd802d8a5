#include "tests/scenario/scenario.h"

#include <catch2/catch.hpp>

#include "tests/scenario/runner.h"

namespace limpetlink::scenario {
namespace {

using Json = nlohmann::json;

constexpr char kText[] = R"({
  "scenario": "order, service killed, has a correct outcome",
  "promise": "at-most-once",
  "fleet": {"entries": 1, "engines": 0, "services": 1},
  "steps": [
    {"start": "all"},
    {"slow": "service-1", "ms": 300},
    {"call": "order", "to": "entry-1", "path": "/v1/services/app/orders"},
    {"expect": "service-1", "runs": {"least": 1}, "within_s": 5},
    {"race": [{"apply": "a", "base": 1}, {"apply": "b", "base": 1}]},
    {"kill": "service-1"}
  ]})";

TEST_CASE("scenario, well formed, is parsed") {
  const ScenarioParseResult result = ParseScenario(kText);
  REQUIRE(result.errors.empty());
  const Scenario& scenario = result.scenario;
  CHECK(scenario.topology.engines == 0);
  REQUIRE(scenario.steps.size() == 6);
  CHECK(std::get<FaultStep>(scenario.steps[1]).delay_ms == 300);
  CHECK(std::get<CallStep>(scenario.steps[2]).method == "POST");
  const auto& expect = std::get<ExpectStep>(scenario.steps[3]);
  CHECK(expect.within == std::chrono::seconds(5));
  CHECK(expect.expected == Json{{"runs", {{"least", 1}}}});
  CHECK(std::get<RaceStep>(scenario.steps[4]).steps.size() == 2);
  CHECK(std::get<ProcessStep>(scenario.steps[5]).verb == ProcessVerb::kKill);
}

TEST_CASE("scenario, invalid, reports all errors") {
  const ScenarioParseResult result = ParseScenario(
      R"({"promise":"p","steps":[{"shake":"it"},{"call":"c"},
          {"expect":"c"},{"race":[{"kill":"x"}]}]})");
  CHECK(result.errors ==
        std::vector<std::string>{
            "/: scenario is missing", "/steps/0: has no known verb",
            "/steps/1: to is missing", "/steps/1: path is missing",
            "/steps/2: has no expectation",
            "/steps/3/race/0: only call and apply can race",
            "/steps/3: a race needs at least two steps"});
  CHECK(ParseScenario("[").errors.size() == 1);
}

TEST_CASE("observation, each type of expectation, is compared") {
  const Json observed = {{"status", 502}, {"tokens", 7}, {"runs", {{"a", 1}}}};
  CHECK(Matches(Json{{"status", 502}}, observed));
  CHECK(Matches(Json::parse(R"({"status":[502,503]})"), observed));
  CHECK_FALSE(Matches(Json{{"status", 200}}, observed));
  CHECK(Matches(Json::parse(R"({"tokens":{"least":7,"most":7}})"), observed));
  CHECK_FALSE(Matches(Json::parse(R"({"tokens":{"least":8}})"), observed));
  CHECK(Matches(Json::parse(R"({"runs":{"a":{"most":1}}})"), observed));
  CHECK_FALSE(Matches(Json{{"absent", 1}}, observed));
  CHECK_FALSE(Matches(Json{{"status", 502}}, Json()));
}

/// Runs scenarios against in-memory hooks; each observation increments `runs`.
class ScenarioRunnerTest {
 protected:
  ScenarioRunnerTest() {
    const auto succeed = [](const auto& /*step*/) { return absl::OkStatus(); };
    this->fleet.set_up = succeed;
    this->fleet.process = succeed;
    this->fleet.fault = succeed;
    this->fleet.begin = succeed;
    this->fleet.observe = [this](const std::string& /*subject*/) {
      return Json{{"runs", this->observations++}};
    };
    this->fleet.now = [this] { return this->time; };
    this->fleet.pause = [this] { this->time += std::chrono::seconds(1); };
  }

  FleetHooks fleet;
  int observations = 0;
  std::chrono::milliseconds time{0};
};

TEST_CASE_METHOD(ScenarioRunnerTest,
                 "runner, condition becomes true, runs the next step") {
  std::vector<std::string> lines;
  const auto result =
      RunScenario(ParseScenario(kText).scenario, this->fleet,
                  [&lines](const std::string& line) { lines.push_back(line); });
  CHECK(result.passed);
  CHECK(lines.size() == 6);
  CHECK(this->observations == 2);
}

TEST_CASE_METHOD(ScenarioRunnerTest,
                 "runner, condition never true, reports the observation") {
  this->fleet.observe = [](const std::string& /*subject*/) {
    return Json{{"runs", 0}};
  };
  const auto result = RunScenario(ParseScenario(kText).scenario, this->fleet,
                                  [](const std::string& /*line*/) {});
  CHECK_FALSE(result.passed);
  CHECK(result.steps_done == 3);
  CHECK(result.problem.find("observed for service-1: {\"runs\":0}") !=
        std::string::npos);
}

}  // namespace
}  // namespace limpetlink::scenario
