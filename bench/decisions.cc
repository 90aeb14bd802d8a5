/// @file
/// @brief Compares the dispatcher with baseline policies on modelled engines
/// and measures the cost of its decisions.

#include <cstdio>
#include <cxxopts.hpp>
#include <fstream>
#include <future>
#include <iostream>
#include <nlohmann/json.hpp>

#include "bench/decisions_cost.h"
#include "bench/decisions_policies.h"
#include "bench/decisions_traffic.h"

namespace limpetlink::bench {
namespace {

constexpr double kMilliseconds = 1000.0;
constexpr double kSlowStreamMicroseconds = 500;  // per step and decoding stream
constexpr double kSlowEngineLoad = 0.6;  // of the default engine's capacity
constexpr double kBacklogRate = 400.0;   // requests/s, far beyond capacity

/// One row of the tables.
struct Row {
  std::string mix;
  std::string policy;
  double load = 0;
  TrialResult result;
};

/// Returns the capacity of a mix in tokens per second: the better rate of the
/// greedy and the 80% watermark baseline while requests of both classes are
/// always queued and none times out.
double MeasureCapacity(Mix mix, const TrialSettings& base) {
  mix.verdict_deadline = std::chrono::hours(10);
  mix.draft_deadline = std::chrono::hours(10);
  TrialSettings settings = base;
  settings.requests_per_second = kBacklogRate;
  double best = 0;
  for (const auto rule : {BaselineRule::kWatermark, BaselineRule::kGreedy}) {
    best = std::max(
        best, RunTrial(mix, settings, MakeBaselinePolicy(rule)).token_rate);
  }
  return best;
}

nlohmann::json ToJson(const Row& row) {
  const TrialResult& result = row.result;
  return {{"mix", row.mix},
          {"policy", row.policy},
          {"load", row.load},
          {"stall_seconds", result.stall_seconds},
          {"preemptions", result.preemptions},
          {"gap_ms",
           {{"p50", result.gaps.Quantile(0.5) * kMilliseconds},
            {"p95", result.gaps.Quantile(0.95) * kMilliseconds},
            {"p99", result.gaps.Quantile(0.99) * kMilliseconds}}},
          {"verdict_first_token_s",
           {{"p50", result.verdict_first_token.Quantile(0.5)},
            {"p95", result.verdict_first_token.Quantile(0.95)},
            {"p99", result.verdict_first_token.Quantile(0.99)}}},
          {"draft_first_token_s",
           {{"p50", result.draft_first_token.Quantile(0.5)},
            {"p95", result.draft_first_token.Quantile(0.95)},
            {"p99", result.draft_first_token.Quantile(0.99)}}},
          {"goodput_tokens_per_second", result.goodput},
          {"tokens_per_second", result.token_rate},
          {"jain", result.jain_index},
          {"arrived", result.arrived},
          {"completed", result.completed},
          {"refused", result.refused}};
}

void PrintHeader() {
  std::printf(
      "%-11s %-17s %4s %9s %8s %6s %6s %6s %7s %7s %7s %7s %8s %8s %5s  %s\n",
      "mix", "policy", "load", "stall s", "preempt", "gap50", "gap95", "gap99",
      "vfirst95", "vfirst99", "dfirst50", "dfirst95", "goodput", "tokens/s",
      "jain", "refused");
}

void Print(const Row& row) {
  const TrialResult& r = row.result;
  std::printf(
      "%-11s %-17s %4.1f %9.1f %8llu %6.1f %6.1f %6.1f %7.3f %7.3f %7.2f "
      "%7.2f %8.0f %8.0f %5.3f ",
      row.mix.c_str(), row.policy.c_str(), row.load, r.stall_seconds,
      static_cast<unsigned long long>(r.preemptions),
      r.gaps.Quantile(0.5) * kMilliseconds,
      r.gaps.Quantile(0.95) * kMilliseconds,
      r.gaps.Quantile(0.99) * kMilliseconds,
      r.verdict_first_token.Quantile(0.95),
      r.verdict_first_token.Quantile(0.99), r.draft_first_token.Quantile(0.5),
      r.draft_first_token.Quantile(0.95), r.goodput, r.token_rate,
      r.jain_index);
  for (const auto& [reason, count] : r.refused) {
    std::printf(" %s:%llu", reason.c_str(),
                static_cast<unsigned long long>(count));
  }
  std::printf(" of %llu\n", static_cast<unsigned long long>(r.arrived));
  std::fflush(stdout);
}

/// Runs the added trials, up to `jobs` at a time, and prints the rows in the
/// order in which they were added.
class Table {
 public:
  explicit Table(std::size_t jobs) : jobs(jobs) {}

  void Add(const Mix& mix, const NamedPolicy& policy, double load,
           const TrialSettings& settings) {
    this->planned.push_back({mix, policy, load, settings});
  }

  std::vector<Row> Run() const {
    std::vector<Row> rows;
    std::vector<std::future<Row>> running;
    std::size_t next = 0;
    PrintHeader();
    while (rows.size() < this->planned.size()) {
      while (next < this->planned.size() && running.size() < this->jobs) {
        const Planned& plan = this->planned[next++];
        running.push_back(std::async(std::launch::async, [&plan] {
          return Row{plan.mix.name, plan.policy.name, plan.load,
                     RunTrial(plan.mix, plan.settings, plan.policy.make)};
        }));
      }
      rows.push_back(running.front().get());
      running.erase(running.begin());
      Print(rows.back());
    }
    return rows;
  }

 private:
  struct Planned {
    Mix mix;
    NamedPolicy policy;
    double load;
    TrialSettings settings;
  };

  std::size_t jobs;
  std::vector<Planned> planned;
};

nlohmann::json RunTables(const cxxopts::ParseResult& options) {
  TrialSettings base;
  base.seed = options["seed"].as<std::uint64_t>();
  base.duration = std::chrono::seconds(options["seconds"].as<int>());
  const auto selected_policy = options["only"].as<std::string>();
  Table table(options["jobs"].as<std::size_t>());
  nlohmann::json capacities;
  for (const Mix& mix : {SwanCoast(), Syrtos()}) {
    const double capacity = MeasureCapacity(mix, base);
    capacities[mix.name] = capacity;
    std::printf("%s: capacity %.0f tokens/s, mean output %.0f tokens\n",
                mix.name.c_str(), capacity, MeanOutputTokens(mix));
    const double rate = capacity / MeanOutputTokens(mix);
    const auto add = [&](const NamedPolicy& policy, double load) {
      TrialSettings settings = base;
      settings.requests_per_second = rate * load;
      table.Add(mix, policy, load, settings);
    };
    for (const double load : {0.1, 0.6, 0.9, 1.0, 1.1, 1.5}) {
      for (const NamedPolicy& policy : ComparedPolicies()) {
        const bool unloaded = load < 0.5 || load == 1.0;
        const bool selected =
            selected_policy.empty() || selected_policy == policy.name;
        if (selected && (!unloaded || policy.name == "limpetlink")) {
          add(policy, load);
        }
      }
    }
    for (const NamedPolicy& policy : Ablations()) {
      const bool compares_batch_cap =
          policy.name == "all" || policy.name == "no batch cap";
      if (options.count("ablate") != 0 && compares_batch_cap) {
        TrialSettings settings = base;
        settings.engine.stream_microseconds = kSlowStreamMicroseconds;
        settings.requests_per_second = rate * kSlowEngineLoad;
        table.Add(mix, {"slow - " + policy.name, policy.make}, kSlowEngineLoad,
                  settings);
      }
    }
    for (const double load : {0.9, 1.5}) {
      for (const NamedPolicy& policy : Ablations()) {
        if (options.count("ablate") != 0) {
          add({"- " + policy.name, policy.make}, load);
        }
      }
      for (const NamedPolicy& policy : RiskSweep()) {
        if (options.count("sweep") != 0) {
          add(policy, load);
        }
      }
    }
  }
  nlohmann::json rows = nlohmann::json::array();
  for (const Row& row : table.Run()) {
    rows.push_back(ToJson(row));
  }
  return {{"capacity_tokens_per_second", capacities}, {"runs", rows}};
}

int Main(int argc, char** argv) {
  cxxopts::Options parser("limpet-bench-decisions",
                          "Compares admission policies in virtual time");
  parser.add_options()("json", "write the results to a file",
                       cxxopts::value<std::string>()->default_value(""))(
      "seed", "seed of the arrivals",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "seconds", "virtual seconds per run, including the warm-up",
      cxxopts::value<int>()->default_value("480"))(
      "jobs", "number of parallel runs",
      cxxopts::value<std::size_t>()->default_value("3"))(
      "only", "run only the policy of this name",
      cxxopts::value<std::string>()->default_value(""))(
      "ablate", "also run the dispatcher with one mechanism disabled each")(
      "sweep", "also run the dispatcher with other overflow risk limits")(
      "cost-only", "only measure the cost of decisions and messages")(
      "help", "print this");
  const auto options = parser.parse(argc, argv);
  if (options.count("help") != 0) {
    std::cout << parser.help();
    return 0;
  }
  nlohmann::json results;
  if (options.count("cost-only") == 0) {
    results = RunTables(options);
  }
  results["decision_cost"] = MeasureDecisionCosts();
  results["traffic"] = MeasureTraffic();
  const auto file = options["json"].as<std::string>();
  if (!file.empty()) {
    std::ofstream(file) << results.dump(1) << '\n';
  }
  return 0;
}

}  // namespace
}  // namespace limpetlink::bench

int main(int argc, char** argv) { return limpetlink::bench::Main(argc, argv); }
