// Measures the routing decisions and neighbour messages of a gateway host at
// three deployment sizes.
// Usage: limpet-bench-gateway [--json FILE]
#include <chrono>
#include <string>
#include <vector>

#include "bench/report.h"
#include "neighbours/neighbours.h"
#include "routing/routing.h"

namespace limpetlink::bench {
namespace {

constexpr double kMicroseconds = 1e6;
constexpr int kRounds = 2000;
constexpr std::uint64_t kPromptTokens = 3000;
constexpr std::uint64_t kMemoryTokens = 3800;
constexpr std::uint64_t kEngineTokens = 27000;

struct Size {
  std::size_t hosts;
  std::size_t domains;
  std::size_t workers;        ///< workers of one service
  std::size_t rows_per_host;  ///< workers with requests of one host
};

constexpr Size kSizes[] = {{6, 3, 9, 4}, {77, 6, 48, 4}, {550, 9, 812, 40}};

double MeanMicroseconds(const std::function<void()>& step) {
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kRounds; ++i) {
    step();
  }
  const std::chrono::duration<double> elapsed =
      std::chrono::steady_clock::now() - start;
  return elapsed.count() * kMicroseconds / kRounds;
}

UpstreamId WorkerName(std::size_t index) {
  return UpstreamId{"i-" + std::to_string(1000000000 + index)};
}

std::vector<WorkerLoad> MakeLoads(std::size_t rows, std::size_t first,
                                  std::size_t workers) {
  std::vector<WorkerLoad> loads;
  for (std::size_t i = 0; i < rows; ++i) {
    loads.push_back({WorkerName((first + i) % workers), 2, 1, kPromptTokens,
                     2 * kMemoryTokens});
  }
  return loads;
}

nlohmann::json Measure(const Size& size) {
  const Instant now{std::chrono::seconds(100)};
  const std::size_t neighbours = size.hosts / size.domains;
  LoadTable table(1);
  std::vector<LoadCandidate> candidates;
  for (std::size_t i = 0; i < size.workers; ++i) {
    LoadCandidate candidate;
    candidate.worker = WorkerName(i);
    candidate.domain = FailureDomainId{std::to_string(i % size.domains)};
    candidate.distance =
        i % size.domains == 0 ? Distance::kSameDomain : Distance::kOtherRegion;
    candidate.slots = 24;
    candidate.memory_tokens = kEngineTokens;
    candidates.push_back(std::move(candidate));
  }
  const RequestSize request{kPromptTokens, kMemoryTokens};
  for (std::size_t i = 0; i < size.rows_per_host; ++i) {
    table.Begin(now, WorkerName(i % size.workers), request);
  }
  const auto loads_of_host = [&size](std::size_t host) {
    return MakeLoads(size.rows_per_host, host * 7, size.workers);
  };
  for (std::size_t host = 1; host < neighbours; ++host) {
    table.ApplyHostLoads(now, HostId{"host-" + std::to_string(host)},
                         loads_of_host(host));
  }
  for (std::size_t domain = 1; domain < size.domains; ++domain) {
    table.ApplyDomainLoads(now, FailureDomainId{std::to_string(domain)},
                           MakeLoads(size.workers, 0, size.workers));
  }
  NeighbourMessage host_message;
  host_message.host = HostId{"edge-perth-a-10"};
  host_message.domain = FailureDomainId{"perth-a"};
  host_message.address = "10.1.0.29:8180";
  host_message.worker_loads = table.LocalLoads();
  NeighbourMessage domain_message = host_message;
  domain_message.worker_loads.clear();
  domain_message.domain_loads =
      DomainLoads{host_message.domain, table.DomainLoads()};
  const std::string host_bytes = EncodeNeighbourMessage(host_message);
  const std::string domain_bytes = EncodeNeighbourMessage(domain_message);
  nlohmann::json row = {{"hosts", size.hosts},
                        {"workers", size.workers},
                        {"neighbours", neighbours - 1},
                        {"state_bytes", host_bytes.size()},
                        {"domain_bytes", domain_bytes.size()}};
  row["choose_us"] =
      MeanMicroseconds([&] { table.Choose(now, candidates, request); });
  row["tell_us"] =
      MeanMicroseconds([&] { EncodeNeighbourMessage(host_message); });
  row["take_us"] = MeanMicroseconds([&] {
    const absl::StatusOr<NeighbourMessage> decoded =
        DecodeNeighbourMessage(host_bytes);
    if (decoded.ok()) {
      table.ApplyHostLoads(now, HostId{"host-1"}, decoded->worker_loads);
    }
  });
  row["sum_domain_us"] = MeanMicroseconds([&] { table.DomainLoads(); });
  return row;
}

}  // namespace
}  // namespace limpetlink::bench

int main(int argc, char** argv) {
  using limpetlink::bench::kSizes;
  using limpetlink::bench::Measure;
  const cxxopts::Options options(
      "limpet-bench-gateway",
      "Cost of decisions and messages of a gateway host");
  return limpetlink::bench::RunReport(
      options, argc, argv, [](const auto& /*parsed*/, const auto& add_row) {
        for (const auto& size : kSizes) {
          add_row(Measure(size));
        }
      });
}
