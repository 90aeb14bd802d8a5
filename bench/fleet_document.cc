// Measures the fleet document at several sizes up to the target: bytes, time to
// parse and to write, and heap memory of a parsed document.
#include <malloc.h>

#include <chrono>
#include <nlohmann/json.hpp>

#include "bench/report.h"
#include "fleet/fleet.h"

namespace limpetlink::bench {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kFailureDomains = 9;
constexpr std::size_t kModels = 8;
constexpr std::size_t kOrganisations = 230;

double MillisecondsSince(Clock::time_point start) {
  return std::chrono::duration<double, std::milli>(Clock::now() - start)
      .count();
}

FleetDocument MakeFleet(std::size_t upstreams) {
  FleetDocument fleet;
  fleet.name = "fleet";
  fleet.change_id = "change";
  fleet.author = "bench";
  for (std::size_t i = 0; i < kFailureDomains; ++i) {
    fleet.failure_domains.push_back(
        {{"domain-" + std::to_string(i)}, "region-" + std::to_string(i / 3)});
  }
  for (std::size_t i = 0; i < kOrganisations; ++i) {
    Organisation organisation;
    organisation.id = {"organisation-" + std::to_string(i)};
    organisation.key_digests = {Sha256Hex(std::to_string(i))};
    fleet.organisations.push_back(organisation);
  }
  for (std::size_t i = 0; i < kModels; ++i) {
    const std::string name = "model-" + std::to_string(i);
    fleet.models.push_back({name, "1", {}, 32768});
    Route route;
    route.name = "drafts-" + std::to_string(i);
    route.model = name;
    fleet.routes.push_back(route);
  }
  for (std::size_t i = 0; i < upstreams; ++i) {
    Upstream upstream;
    upstream.id = {"engine-" + std::to_string(i)};
    upstream.serves = "model-" + std::to_string(i % kModels);
    upstream.url = "http://10." + std::to_string(i / 250 % 250) + "." +
                   std::to_string(i % 250) + ".7:8000";
    upstream.failure_domain = {"domain-" + std::to_string(i % kFailureDomains)};
    fleet.upstreams.push_back(upstream);
  }
  return fleet;
}

nlohmann::json Measure(std::size_t upstreams) {
  constexpr int kRepetitions = 5;
  const FleetDocument fleet = MakeFleet(upstreams);
  std::string text;
  const Clock::time_point writing = Clock::now();
  for (int i = 0; i < kRepetitions; ++i) {
    text = WriteFleet(fleet);
  }
  const double write_ms = MillisecondsSince(writing) / kRepetitions;
  std::size_t errors = 0;
  const Clock::time_point parsing = Clock::now();
  for (int i = 0; i < kRepetitions; ++i) {
    errors += ParseFleet(text).errors.size();
  }
  const double parse_ms = MillisecondsSince(parsing) / kRepetitions;
  const std::size_t heap_before = mallinfo2().uordblks;
  const FleetParseResult parsed = ParseFleet(text);
  const std::size_t heap = mallinfo2().uordblks - heap_before;
  return {{"upstreams", parsed.document.upstreams.size()},
          {"faults", errors},
          {"bytes", text.size()},
          {"write_ms", write_ms},
          {"parse_ms", parse_ms},
          {"heap_bytes", heap}};
}

}  // namespace
}  // namespace limpetlink::bench

int main(int argc, char** argv) {
  using limpetlink::bench::AddRow;
  cxxopts::Options options("limpet-bench-document",
                           "Cost of the fleet document at several sizes");
  const auto measure = [](const cxxopts::ParseResult& /*parsed*/,
                          const AddRow& add_row) {
    for (const std::size_t upstreams : {24UL, 720UL, 6500UL}) {
      add_row(limpetlink::bench::Measure(upstreams));
    }
  };
  return limpetlink::bench::RunReport(std::move(options), argc, argv, measure);
}
