// Measures the control overhead of a fleet of entry host cores at several
// sizes: bytes between hosts, platform calls, load reports and processor time,
// idle and under load. Runs on one thread in virtual time. The processor time
// includes the fakes and is therefore an upper bound.
#include <ctime>
#include <nlohmann/json.hpp>

#include "bench/report.h"
#include "tests/core/world.h"

namespace limpetlink::bench {
namespace {

using nlohmann::json;
using testing::FleetSimulation;
using testing::FleetSimulationOptions;

constexpr int kWorkersPerHost = 12;
constexpr int kMeasuredSeconds = 60;

double ThreadSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * 1e-9;
}

struct Counted {
  std::uint64_t frames;
  std::uint64_t bytes;
  std::map<PeerKind, std::uint64_t> by_kind;
  std::uint64_t platform;
  std::uint64_t reports;
  double seconds;
};

Counted Count(const FleetSimulation& simulation) {
  return {simulation.peer_frames,        simulation.peer_bytes,
          simulation.peer_bytes_by_kind, simulation.platform_calls,
          simulation.report_calls,       ThreadSeconds()};
}

json PerHostSecond(const Counted& before, const Counted& after,
                   std::size_t hosts) {
  const double scale = 1.0 / (static_cast<double>(hosts) * kMeasuredSeconds);
  json by_kind = json::object();
  for (const auto& [kind, bytes] : after.by_kind) {
    const auto earlier = before.by_kind.find(kind);
    const std::uint64_t base =
        earlier == before.by_kind.end() ? 0 : earlier->second;
    by_kind[std::string(ToText(kind))] =
        static_cast<double>(bytes - base) * scale;
  }
  return {
      {"peer_frames",
       static_cast<double>(after.frames - before.frames) * scale},
      {"peer_bytes", static_cast<double>(after.bytes - before.bytes) * scale},
      {"peer_bytes_by_kind", by_kind},
      {"platform_calls",
       static_cast<double>(after.platform - before.platform) * scale},
      {"report_calls",
       static_cast<double>(after.reports - before.reports) * scale},
      {"core_percent", (after.seconds - before.seconds) * scale * 100}};
}

void SendRequests(FleetSimulation& simulation, std::size_t hosts,
                  double per_host_second) {
  const Duration gap =
      FromSeconds(1.0 / (per_host_second * static_cast<double>(hosts)));
  Random random(7);
  const Instant end =
      simulation.timeline.Now() + std::chrono::seconds(kMeasuredSeconds);
  while (simulation.timeline.Now() < end) {
    CallerRequest request;
    request.method = "POST";
    request.path = "/v1/completions";
    request.body = R"({"model":"model","prompt":"p","max_tokens":400})";
    simulation.Send(random.Below(hosts), std::move(request),
                    std::chrono::seconds(60));
    simulation.RunFor(gap);
  }
}

json Measure(std::size_t hosts, double requests) {
  FleetSimulationOptions options;
  options.hosts = hosts;
  options.engines = hosts * kWorkersPerHost;
  options.services = 0;
  options.tokens = 100;
  FleetSimulation simulation(options);
  if (!simulation.RunUntilReady()) {
    return {{"hosts", hosts}, {"error", "the hosts did not become ready"}};
  }
  simulation.RunFor(std::chrono::seconds(60));
  const Counted start = Count(simulation);
  simulation.RunFor(std::chrono::seconds(kMeasuredSeconds));
  const Counted idle = Count(simulation);
  json row = {{"hosts", hosts},
              {"workers", options.engines},
              {"idle_per_host_second", PerHostSecond(start, idle, hosts)}};
  if (requests > 0) {
    SendRequests(simulation, hosts, requests);
    std::size_t answered = 0;
    for (const testing::CallerLog& log : simulation.callers) {
      answered += log.status == 200 ? 1 : 0;
    }
    row["requests_per_host_second"] = requests;
    row["sent"] = simulation.callers.size();
    row["answered"] = answered;
    row["loaded_per_host_second"] =
        PerHostSecond(idle, Count(simulation), hosts);
  }
  return row;
}

}  // namespace
}  // namespace limpetlink::bench

int main(int argc, char** argv) {
  using limpetlink::bench::AddRow;
  cxxopts::Options options("limpet-bench-fleet",
                           "Control overhead of a fleet of entry host cores");
  options.add_options()(
      "hosts", "Fleet sizes",
      cxxopts::value<std::vector<std::size_t>>()->default_value("6,24,60"))(
      "requests", "Requests per second and host; 0 for idle only",
      cxxopts::value<double>()->default_value("5"));
  const auto measure = [](const cxxopts::ParseResult& parsed,
                          const AddRow& add_row) {
    for (const std::size_t hosts :
         parsed["hosts"].as<std::vector<std::size_t>>()) {
      add_row(
          limpetlink::bench::Measure(hosts, parsed["requests"].as<double>()));
    }
  };
  return limpetlink::bench::RunReport(std::move(options), argc, argv, measure);
}
