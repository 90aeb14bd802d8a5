#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

#include "fleet/fleet.h"

namespace limpetlink {
namespace {

std::string ReadExample(const std::string& name) {
  std::ifstream file(std::string(LIMPETLINK_EXAMPLES) + "/" + name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::ptrdiff_t CountKind(const FleetDocument& document, UpstreamKind kind) {
  return std::count_if(
      document.upstreams.begin(), document.upstreams.end(),
      [kind](const Upstream& upstream) { return upstream.kind == kind; });
}

TEST_CASE(
    "example documents, as delivered, are valid and have the users' fleet "
    "sizes") {
  const auto [name, engines] = GENERATE(table<std::string, std::ptrdiff_t>(
      {{"swan-coast.json", 9}, {"syrtos.json", 12}}));
  const std::string text = ReadExample(name);
  const FleetParseResult result = ParseFleet(text);
  for (const FleetValidationError& error : result.errors) {
    UNSCOPED_INFO(name << error.pointer << " " << error.message);
  }
  REQUIRE(result.Ok());
  CHECK(result.document.failure_domains.size() == 3);
  CHECK(result.document.organisations.size() == 10);
  CHECK(CountKind(result.document, UpstreamKind::kEngine) == engines);
  CHECK(CountKind(result.document, UpstreamKind::kService) == 3);
  CHECK(WriteFleet(result.document, FleetLayout::kIndented).size() > 1000);
}

}  // namespace
}  // namespace limpetlink
