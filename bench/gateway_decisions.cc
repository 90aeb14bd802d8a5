// What a gateway host decides and tells, at three sizes of a deployment.
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
  std::size_t workers;        ///< of one service
  std::size_t rows_per_host;  ///< workers at which a host has requests
};

constexpr Size kSizes[] = {{6, 3, 9, 4}, {77, 6, 48, 4}, {550, 9, 812, 40}};

double MicrosecondsEach(const std::function<void()>& step) {
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kRounds; ++i) {
    step();
  }
  const std::chrono::duration<double> took =
      std::chrono::steady_clock::now() - start;
  return took.count() * kMicroseconds / kRounds;
}

UpstreamId WorkerName(std::size_t index) {
  return UpstreamId{"i-" + std::to_string(1000000000 + index)};
}

std::vector<WorkerLoad> Loads(std::size_t rows, std::size_t first,
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
  const auto shares_of = [&size](std::size_t host) {
    return Loads(size.rows_per_host, host * 7, size.workers);
  };
  for (std::size_t host = 1; host < neighbours; ++host) {
    table.ApplyHostLoads(now, HostId{"host-" + std::to_string(host)},
                         shares_of(host));
  }
  for (std::size_t domain = 1; domain < size.domains; ++domain) {
    table.ApplyDomainLoads(now, FailureDomainId{std::to_string(domain)},
                           Loads(size.workers, 0, size.workers));
  }
  NeighbourMessage state;
  state.host = HostId{"edge-perth-a-10"};
  state.domain = FailureDomainId{"perth-a"};
  state.address = "10.1.0.29:8180";
  state.shares = table.LocalLoads();
  NeighbourMessage sum = state;
  sum.shares.clear();
  sum.domain_loads = DomainLoads{state.domain, table.DomainLoads()};
  const std::string state_bytes = EncodeNeighbourMessage(state);
  const std::string sum_bytes = EncodeNeighbourMessage(sum);
  nlohmann::json row = {{"hosts", size.hosts},
                        {"workers", size.workers},
                        {"neighbours", neighbours - 1},
                        {"state_bytes", state_bytes.size()},
                        {"domain_bytes", sum_bytes.size()}};
  row["choose_us"] =
      MicrosecondsEach([&] { table.Choose(now, candidates, request); });
  row["tell_us"] = MicrosecondsEach([&] { EncodeNeighbourMessage(state); });
  row["take_us"] = MicrosecondsEach([&] {
    const absl::StatusOr<NeighbourMessage> read =
        DecodeNeighbourMessage(state_bytes);
    if (read.ok()) {
      table.ApplyHostLoads(now, HostId{"host-1"}, read->shares);
    }
  });
  row["sum_domain_us"] = MicrosecondsEach([&] { table.DomainLoads(); });
  return row;
}

}  // namespace
}  // namespace limpetlink::bench

int main(int argc, char** argv) {
  using limpetlink::bench::kSizes;
  using limpetlink::bench::Measure;
  const cxxopts::Options options("limpet-bench-gateway",
                                 "Decisions and messages of a gateway host");
  return limpetlink::bench::RunReport(
      options, argc, argv, [](const auto& /*parsed*/, const auto& take) {
        for (const auto& size : kSizes) {
          take(Measure(size));
        }
      });
}
