#include "bench/decisions_traffic.h"

#include <cstdio>

#include "dispatch/tests/network.h"

namespace limpetlink::bench {
namespace {

// Simulates one of eight models: 29 / 8 requests per second and 12 / 8 workers
// per host.
constexpr std::size_t kModels = 8;
constexpr std::size_t kHosts = 24;
constexpr std::size_t kWorkers = 36;
constexpr double kRequestsPerSecond = 29.0 / kModels;  // per host
constexpr std::uint64_t kMemoryTokens = 26000;
constexpr Duration kStreamTime = std::chrono::milliseconds(11400);
constexpr Duration kWarmUp = std::chrono::seconds(30);
constexpr Duration kMeasured = std::chrono::seconds(60);
constexpr Duration kStep = std::chrono::milliseconds(10);

struct SubmittedLoad {
  double seconds = 0;
  std::uint64_t requests = 0;
};

SubmittedLoad Drive(testing::Network& network, Random& random, double load,
                    Duration duration) {
  SubmittedLoad submitted;
  const double requests_per_step = kRequestsPerSecond * load *
                                   static_cast<double>(kHosts) *
                                   ToSeconds(kStep);
  for (Duration elapsed{0}; elapsed < duration; elapsed += kStep) {
    double remaining = requests_per_step;
    while (remaining > 0) {
      if (random.Fraction() < remaining) {
        network.Submit(random.Below(kHosts), kStreamTime);
        ++submitted.requests;
      }
      remaining -= 1;
    }
    network.Advance(kStep);
  }
  submitted.seconds = ToSeconds(duration);
  return submitted;
}

}  // namespace

nlohmann::json MeasureTraffic() {
  nlohmann::json rows = nlohmann::json::array();
  std::printf("%5s %14s %12s %14s %16s\n", "load", "messages/req", "bytes/req",
              "bytes/s host", "eight models B/s");
  for (const double load : {0.3, 0.6, 1.0, 1.3}) {
    testing::Network::Settings settings;
    settings.hosts = kHosts;
    settings.workers = kWorkers;
    settings.memory_tokens = kMemoryTokens;
    testing::Network network(settings);
    Random random(3);
    Drive(network, random, load, kWarmUp);
    network.traffic = {};
    const SubmittedLoad submitted = Drive(network, random, load, kMeasured);
    const double requests = static_cast<double>(submitted.requests);
    const double bytes = static_cast<double>(network.traffic.bytes);
    const double bytes_per_host =
        bytes / submitted.seconds / static_cast<double>(kHosts);
    std::printf("%5.1f %14.2f %12.1f %14.1f %16.0f\n", load,
                static_cast<double>(network.traffic.messages) / requests,
                bytes / requests, bytes_per_host, bytes_per_host * kModels);
    rows.push_back(
        {{"load", load},
         {"messages_per_request",
          static_cast<double>(network.traffic.messages) / requests},
         {"bytes_per_request", bytes / requests},
         {"bytes_per_second_host_one_model", bytes_per_host},
         {"bytes_per_second_host_eight_models", bytes_per_host * kModels}});
  }
  return rows;
}

}  // namespace limpetlink::bench
