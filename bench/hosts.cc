/// @file
/// @brief Measures the cost per host and the reaction time of membership and
/// configuration at several numbers of hosts.
#include <malloc.h>
#include <time.h>

#include <algorithm>
#include <cmath>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "tests/hosts/host_group.h"

namespace limpetlink {
namespace {

using Json = nlohmann::json;
using std::chrono::minutes;
using std::chrono::seconds;
using testing::GroupHost;
using testing::GroupOptions;
using testing::HostGroup;

constexpr Duration kSteady = minutes(2);
constexpr Duration kBetweenChanges = std::chrono::milliseconds(12343);
constexpr double kFrameOverheadBytes = 60;  ///< WebSocket, TCP and IP headers
constexpr std::size_t kBytesPerRow = 100;

double ThreadSeconds() {
  timespec at{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &at);
  return static_cast<double>(at.tv_sec) +
         static_cast<double>(at.tv_nsec) * 1e-9;
}

double HeapBytes() {
  const auto heap = mallinfo2();
  return static_cast<double>(heap.uordblks + heap.hblkhd);
}

double Quantile(std::vector<double> values, double fraction) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(std::lround(last * fraction))];
}

/// @brief Returns a document of about `bytes` bytes; `round` changes one row.
std::string Document(std::size_t bytes, std::uint64_t round) {
  Json document = {{"name", "today"}, {"change_id", std::to_string(round)}};
  const std::size_t rows = std::max<std::size_t>(1, bytes / kBytesPerRow);
  for (std::size_t i = 0; i < rows; ++i) {
    const std::uint64_t port = i == round % rows ? round : 8000;
    document["upstreams"].push_back(
        {{"id", "worker-" + std::to_string(i)},
         {"url", "http://10.0.0.1:" + std::to_string(port)},
         {"failure_domain", "perth-a"},
         {"serves", "tasting-model"}});
  }
  return document.dump();
}

/// @brief Counters of a group at one point in time.
struct Sample {
  double frames = 0;
  double bytes = 0;
  double processor = 0;
  double calls = 0;
  double max_bytes = 0;  ///< maximum over the hosts
};

Sample Take(const HostGroup& group) {
  Sample sample;
  for (const GroupHost& host : group.hosts) {
    sample.frames += static_cast<double>(host.frames);
    sample.bytes += static_cast<double>(host.bytes);
    sample.processor += host.processor_seconds;
    sample.max_bytes =
        std::max(sample.max_bytes, static_cast<double>(host.bytes));
  }
  sample.calls = static_cast<double>(
      group.platform.reads + group.platform.writes + group.platform.watches);
  return sample;
}

Json Rates(const HostGroup& group, const Sample& before, Duration span) {
  const Sample after = Take(group);
  const auto hosts = static_cast<double>(group.hosts.size());
  const double scale = 1.0 / (hosts * ToSeconds(span));
  const double frames = (after.frames - before.frames) * scale;
  const double bytes = (after.bytes - before.bytes) * scale;
  return {{"frames_per_s_host", frames},
          {"frame_bytes_per_s_host", bytes},
          {"wire_bytes_per_s_host", bytes + frames * kFrameOverheadBytes},
          {"processor_us_per_s_host",
           (after.processor - before.processor) * scale * 1e6},
          {"platform_calls_per_s_sum",
           (after.calls - before.calls) / ToSeconds(span)}};
}

GroupOptions Options(std::size_t hosts, std::uint64_t seed) {
  GroupOptions options;
  options.hosts = hosts;
  options.seed = seed;
  options.processor_clock = ThreadSeconds;
  return options;
}

/// @brief Runs until the views agree, polling every 200 ms, or until the limit.
void RunUntilAgreed(HostGroup* group, Duration limit) {
  const Instant end = group->now + limit;
  while (!group->ViewsAgree() && group->now < end) {
    group->RunFor(std::chrono::milliseconds(200));
  }
}

Json MeasureSteady(HostGroup* group) {
  const Sample before = Take(*group);
  group->RunFor(kSteady);
  return Rates(*group, before, kSteady);
}

std::size_t MaxNeighbours(const HostGroup& group) {
  std::size_t most = 0;
  for (const GroupHost& host : group.hosts) {
    if (host.running) {
      most = std::max(most, host.membership->Neighbours().size());
    }
  }
  return most;
}

Json MeasureDeaths(HostGroup* group, int count) {
  std::vector<double> first;
  std::vector<double> all;
  for (int i = 0; i < count; ++i) {
    const std::size_t victim =
        static_cast<std::size_t>(i * 7 + 1) % group->hosts.size();
    const HostId terminated_host = group->hosts[victim].id;
    const Instant began = group->now;
    Instant seen{};
    group->on_live = [&](std::size_t, const LiveHostsChanged& change) {
      const bool missing = !std::binary_search(
          change.live.begin(), change.live.end(), terminated_host);
      seen = missing && seen == Instant{} ? group->now : seen;
    };
    group->Kill(victim);
    group->RunUntil([&seen] { return seen != Instant{}; }, seconds(60));
    RunUntilAgreed(group, seconds(120));
    first.push_back(ToSeconds(seen - began));
    all.push_back(ToSeconds(group->now - began));
    group->on_live = {};
    group->StartHost(victim);
    group->RunFor(seconds(20));
  }
  return {{"first_s_p50", Quantile(first, 0.5)},
          {"first_s_max", Quantile(first, 1)},
          {"all_s_p50", Quantile(all, 0.5)},
          {"all_s_max", Quantile(all, 1)}};
}

Json MeasureChanges(HostGroup* group, std::size_t bytes, int count) {
  std::vector<double> spread;
  const Sample before = Take(*group);
  const Instant began = group->now;
  for (int i = 0; i < count; ++i) {
    const Instant written = group->now;
    group->on_applied = [&](std::size_t, const ConfigurationApplied&) {
      spread.push_back(ToSeconds(group->now - written));
    };
    group->WriteDocument(Document(bytes, static_cast<std::uint64_t>(i) + 2));
    group->RunFor(kBetweenChanges);
  }
  group->on_applied = {};
  Json rates = Rates(*group, before, group->now - began);
  rates["document_bytes"] = Document(bytes, 1).size();
  rates["adoptions"] = spread.size();
  rates["expected_adoptions"] =
      static_cast<std::size_t>(count) * group->hosts.size();
  rates["spread_s_p50"] = Quantile(spread, 0.5);
  rates["spread_s_p99"] = Quantile(spread, 0.99);
  rates["spread_s_max"] = Quantile(spread, 1);
  return rates;
}

Json MeasurePartition(HostGroup* group) {
  const std::size_t half = group->hosts.size() / 3;
  group->drop_frame = [half](std::size_t a, std::size_t b) {
    return (a < half) != (b < half);
  };
  group->RunFor(minutes(4));
  group->drop_frame = {};
  const Sample before = Take(*group);
  const Instant healed = group->now;
  RunUntilAgreed(group, minutes(5));
  const double heal = ToSeconds(group->now - healed);
  group->RunFor(seconds(60) -
                std::min<Duration>(seconds(60), group->now - healed));
  Json result = Rates(*group, before, group->now - healed);
  result["heal_s"] = heal;
  return result;
}

Json MeasureSize(std::size_t hosts, std::size_t bytes, int changes, int deaths,
                 bool partition) {
  const double heap_before = HeapBytes();
  HostGroup group(Options(hosts, 42));
  group.WriteDocument(Document(bytes, 1));
  group.StartAll();
  RunUntilAgreed(&group, seconds(120));
  const double joined = ToSeconds(group.now - Instant(seconds(1000)));
  group.RunFor(seconds(30));
  Json result = {{"hosts", hosts}, {"seed", 42}, {"join_s", joined}};
  result["steady"] = MeasureSteady(&group);
  result["most_neighbours"] = MaxNeighbours(group);
  const auto count_false = [&group] {
    std::uint64_t deaths = 0;
    for (const GroupHost& host : group.hosts) {
      deaths += host.membership->Counters().deaths;
    }
    return deaths;
  };
  result["false_deaths_steady"] = count_false();
  result["changes"] = MeasureChanges(&group, bytes, changes);
  result["heap_bytes_host"] =
      (HeapBytes() - heap_before) / static_cast<double>(hosts);
  std::cerr << result.dump() << std::endl;  // progress
  result["deaths"] = MeasureDeaths(&group, deaths);
  std::cerr << result["deaths"].dump() << std::endl;
  if (partition) {
    result["partition"] = MeasurePartition(&group);
  }
  return result;
}

}  // namespace
}  // namespace limpetlink

int main(int argc, char** argv) {
  cxxopts::Options options(
      "limpet-bench-hosts",
      "Cost and reaction time of membership and configuration");
  options.add_options()("json", "write the results to a file",
                        cxxopts::value<std::string>()->default_value(""))(
      "hosts", "numbers of hosts",
      cxxopts::value<std::vector<std::size_t>>()->default_value("6,60,550"))(
      "bytes", "size of the document in bytes",
      cxxopts::value<std::size_t>()->default_value("50000"))(
      "changes", "number of document changes",
      cxxopts::value<int>()->default_value("10"))(
      "partition",
      "also partition the hosts for minutes and heal the partition",
      cxxopts::value<bool>()->default_value("true"))(
      "deaths", "number of hosts killed one after the other",
      cxxopts::value<int>()->default_value("5"));
  const auto parsed = options.parse(argc, argv);
  nlohmann::json results = nlohmann::json::array();
  for (const std::size_t hosts :
       parsed["hosts"].as<std::vector<std::size_t>>()) {
    results.push_back(limpetlink::MeasureSize(
        hosts, parsed["bytes"].as<std::size_t>(), parsed["changes"].as<int>(),
        parsed["deaths"].as<int>(), parsed["partition"].as<bool>()));
    std::cout << results.back().dump(2) << std::endl;
  }
  const std::string file = parsed["json"].as<std::string>();
  if (!file.empty()) {
    std::ofstream(file) << results.dump(2) << "\n";
  }
  return 0;
}
