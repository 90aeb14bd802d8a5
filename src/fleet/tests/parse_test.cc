#include <catch2/catch.hpp>

#include "fleet/fleet.h"

namespace limpetlink {
namespace {

TEST_CASE("fleet document, default, has neutral weights") {
  CHECK(FleetDocument{}.weights.stall == 0.5);
}

}  // namespace
}  // namespace limpetlink
