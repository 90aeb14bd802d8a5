#include "tests/core/fault_matrix.h"

#include <catch2/catch.hpp>

namespace limpetlink::testing {
namespace {

constexpr std::uint64_t kSeeds = 1;
constexpr std::uint64_t kPairs = 8;

void CheckCell(const MatrixCellResult& cell) {
  INFO("activity " << ToText(cell.activity) << ", step "
                   << cell.first_failure.first_step << ", second fault "
                   << ToText(cell.first_failure.second) << " at step "
                   << cell.first_failure.second_step << ", seed "
                   << cell.first_failure.seed << ": " << cell.first_violation);
  CHECK(cell.runs > 0);
  CHECK(cell.failed == 0);
}

/// Injects the fault at every step of every activity, alone and with a second
/// fault.
void CheckFault(Fault fault) {
  for (const auto& activity : EnumTable<Activity>::kRows) {
    CheckCell(ExecuteCell(fault, activity.value, kSeeds));
    CheckCell(ExecutePairs(fault, activity.value, kPairs));
  }
}

TEST_CASE("core matrix, nothing fails, keeps every guarantee") {
  CheckFault(Fault::kNone);
}
TEST_CASE("core matrix, engine dies, keeps every guarantee") {
  CheckFault(Fault::kEngineDies);
}
TEST_CASE("core matrix, engine is reclaimed, keeps every guarantee") {
  CheckFault(Fault::kEngineReclaimed);
}
TEST_CASE("core matrix, application service dies, keeps every guarantee") {
  CheckFault(Fault::kServiceDies);
}
TEST_CASE("core matrix, entry host dies, keeps every guarantee") {
  CheckFault(Fault::kHostDies);
}
TEST_CASE("core matrix, link stalls, keeps every guarantee") {
  CheckFault(Fault::kLinkStalls);
}
TEST_CASE("core matrix, platform is down, keeps every guarantee") {
  CheckFault(Fault::kPlatformDown);
}
TEST_CASE("core matrix, platform is slow, keeps every guarantee") {
  CheckFault(Fault::kPlatformSlow);
}
TEST_CASE("core matrix, answer is lost, keeps every guarantee") {
  CheckFault(Fault::kResponseLost);
}
TEST_CASE("core matrix, host is paused, keeps every guarantee") {
  CheckFault(Fault::kHostPaused);
}
TEST_CASE("core matrix, operators race, keeps every guarantee") {
  CheckFault(Fault::kOperatorsRace);
}
TEST_CASE("core matrix, host leaves, keeps every guarantee") {
  CheckFault(Fault::kHostLeaves);
}

}  // namespace
}  // namespace limpetlink::testing
