#include "tests/scenario/matrix.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <set>
#include <sstream>

#include "tests/scenario/scenario.h"

namespace limpetlink::scenario {
namespace {

/// Loads the lists in matrix.json.
class FaultMatrixTest {
 protected:
  FaultMatrixTest() {
    std::ifstream file(LIMPETLINK_MATRIX);
    std::ostringstream text;
    text << file.rdbuf();
    auto parsed = ParseMatrixLists(text.str());
    REQUIRE(parsed.ok());
    this->lists = *std::move(parsed);
  }

  MatrixLists lists;
};

TEST_CASE_METHOD(FaultMatrixTest,
                 "matrix, generated, contains every fault at every step") {
  std::size_t steps = 0;
  for (const MatrixActivity& activity : this->lists.activities) {
    steps += activity.steps.size();
  }
  const std::size_t faults = this->lists.faults.size();
  const auto singles = GenerateMatrix(this->lists, MatrixExtent::kSingles);
  CHECK(singles.size() == faults * steps);
  const auto pairs = GenerateMatrix(this->lists, MatrixExtent::kPairs);
  CHECK(pairs.size() == faults * (faults + 1) / 2 * steps);
  std::set<std::string> names;
  for (const MatrixCell& cell : pairs) {
    names.insert(cell.Name());
  }
  CHECK(names.size() == pairs.size());
}

TEST_CASE_METHOD(
    FaultMatrixTest,
    "matrix cell, applicable or not, has either a scenario or a reason") {
  for (const MatrixExtent extent :
       {MatrixExtent::kSingles, MatrixExtent::kPairs}) {
    for (const MatrixCell& cell : GenerateMatrix(this->lists, extent)) {
      INFO(cell.Name());
      REQUIRE(cell.not_applicable.empty() != cell.scenario.empty());
      if (!cell.scenario.empty()) {
        REQUIRE(ParseScenario(cell.scenario).errors.empty());
      }
    }
  }
}

TEST_CASE_METHOD(
    FaultMatrixTest,
    "short run, selected twice, is identical and contains every fault") {
  const auto cells = GenerateMatrix(this->lists, MatrixExtent::kSingles);
  const auto selected = SelectShortRun(cells);
  const auto again = SelectShortRun(cells);
  std::set<std::string> faults;
  for (std::size_t i = 0; i < selected.size(); ++i) {
    CHECK(selected[i].Name() == again[i].Name());
    faults.insert(selected[i].faults.front());
  }
  CHECK(faults.size() == this->lists.faults.size());
}

TEST_CASE("matrix table, results and reasons, contains both") {
  const auto lists = ParseMatrixLists(R"({
    "faults": [{"fault": "dies", "touches": "engine", "break": []},
               {"fault": "lost", "touches": "engine", "wants": "write", "break": []}],
    "activities": [{"activity": "stream", "needs": ["engine"], "end": [],
                    "steps": [{"step": "a"}, {"step": "b", "has": ["write"]}]}]})");
  REQUIRE(lists.ok());
  const auto cells = GenerateMatrix(*lists, MatrixExtent::kSingles);
  const CellStates states = {{"dies @ stream, a", CellState::kPassed},
                             {"dies @ stream, b", CellState::kFailed}};
  CHECK(RenderTable(cells, states) ==
        "dies | stream:  a [pass]  b [FAIL]\n"
        "lost | stream:  a [n/a]  b [-]\n\n"
        "Not applicable:\n  1 cells: no write follows: a\n");
  CHECK(RenderJson(cells, states)[2]["because"] == "no write follows: a");
  CHECK_FALSE(ParseMatrixLists("{}").ok());
}

}  // namespace
}  // namespace limpetlink::scenario
