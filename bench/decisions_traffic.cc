#include "bench/decisions_traffic.h"

#include <cstdio>

#include "dispatch/tests/network.h"

namespace limpetlink::bench {
namespace {

// One of eight models: 29 / 8 requests a second and 12 / 8 workers a host.
constexpr std::size_t kModels = 8;
constexpr std::size_t kHosts = 24;
constexpr std::size_t kWorkers = 36;
constexpr double kRequestsPerSecond = 29.0 / kModels;  // of a host
constexpr std::uint64_t kMemoryTokens = 26000;
constexpr Duration kStreamTime = std::chrono::milliseconds(11400);
constexpr Duration kWarmUp = std::chrono::seconds(30);
constexpr Duration kMeasured = std::chrono::seconds(60);
constexpr Duration kStep = std::chrono::milliseconds(10);

struct Counted {
  double seconds = 0;
  std::uint64_t requests = 0;
};

Counted Drive(testing::Network& network, Random& random, double load,
              Duration length) {
  Counted counted;
  const double chance = kRequestsPerSecond * load *
                        static_cast<double>(kHosts) * ToSeconds(kStep);
  for (Duration passed{0}; passed < length; passed += kStep) {
    double left = chance;
    while (left > 0) {
      if (random.Fraction() < left) {
        network.Submit(random.Below(kHosts), kStreamTime);
        ++counted.requests;
      }
      left -= 1;
    }
    network.Advance(kStep);
  }
  counted.seconds = ToSeconds(length);
  return counted;
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
    const Counted counted = Drive(network, random, load, kMeasured);
    const double requests = static_cast<double>(counted.requests);
    const double bytes = static_cast<double>(network.traffic.bytes);
    const double host = bytes / counted.seconds / static_cast<double>(kHosts);
    std::printf("%5.1f %14.2f %12.1f %14.1f %16.0f\n", load,
                static_cast<double>(network.traffic.messages) / requests,
                bytes / requests, host, host * kModels);
    rows.push_back({{"load", load},
                    {"messages_per_request",
                     static_cast<double>(network.traffic.messages) / requests},
                    {"bytes_per_request", bytes / requests},
                    {"bytes_per_second_host_one_model", host},
                    {"bytes_per_second_host_eight_models", host * kModels}});
  }
  return rows;
}

}  // namespace limpetlink::bench
