#include "bench/decisions_cost.h"

#include <chrono>
#include <cstdio>
#include <vector>

#include "bench/decisions_mix.h"
#include "dispatch/dispatch.h"

namespace limpetlink::bench {
namespace {

constexpr double kMicroseconds = 1e6;
constexpr std::size_t kRounds = 4000;
constexpr double kStreamsPerWorker = 27.5;
constexpr std::uint64_t kMemoryTokens = 200000;

SubmitRequest MakeRequest(const FleetDocument& document, std::uint64_t id) {
  SubmitRequest submit;
  submit.request = RequestId{id};
  submit.organisation =
      document.organisations[id % document.organisations.size()].id;
  submit.target = "model";
  submit.route = "drafts";
  submit.prompt_tokens = 700;
  submit.max_output_tokens = 4096;
  submit.idempotent = true;
  return submit;
}

/// Dispatcher with the average number of streams per worker.
class LoadedDispatcher {
 public:
  explicit LoadedDispatcher(std::size_t workers)
      : dispatcher({HostId{"host"}, FailureDomainId{"d"}, 1, nullptr}) {
    Mix mix = SwanCoast();
    mix.workers = workers;
    this->document = std::make_shared<FleetDocument>(MakeFleetDocument(mix));
    this->dispatcher.Step(this->now, Configure{this->document});
    this->ReportAllWorkers();
    const auto streams = static_cast<std::uint64_t>(
        static_cast<double>(workers) * kStreamsPerWorker);
    for (std::uint64_t i = 1; i <= streams; ++i) {
      this->Submit();
      this->dispatcher.Step(
          this->now,
          ReportProduced{RequestId{i}, static_cast<std::uint32_t>(i % 900)});
    }
  }

  void ReportAllWorkers() {
    for (const Upstream& upstream : this->document->upstreams) {
      WorkerReport report;
      report.worker = upstream.id;
      report.memory_tokens = kMemoryTokens;
      report.running = 20;
      report.step_time = std::chrono::milliseconds(14);
      this->dispatcher.Step(this->now, report);
    }
  }

  bool Submit() {
    const auto actions = this->dispatcher.Step(
        this->now, MakeRequest(*this->document, ++this->last_request));
    return !actions.empty() && std::holds_alternative<Place>(actions[0]);
  }

  void FinishOldest() {
    this->dispatcher.Step(this->now,
                          ReportEnded{RequestId{++this->last_finished},
                                      PlacementEnd::kFinished, 420});
  }

  Dispatcher dispatcher;
  std::shared_ptr<const FleetDocument> document;
  Instant now{std::chrono::seconds(1)};
  std::uint64_t last_request = 0;
  std::uint64_t last_finished = 0;
};

double SecondsSince(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
      .count();
}

}  // namespace

nlohmann::json MeasureDecisionCosts() {
  nlohmann::json rows = nlohmann::json::array();
  std::printf("%8s %8s %12s %12s %8s\n", "workers", "streams", "submit us",
              "end us", "placed");
  for (const std::size_t workers : {3U, 6U, 12U, 24U, 48U, 96U}) {
    LoadedDispatcher loaded(workers);
    const std::uint64_t streams = loaded.last_request;
    double submit = 0;
    double end = 0;
    std::size_t placed = 0;
    for (std::size_t i = 0; i < kRounds; ++i) {
      loaded.now += std::chrono::milliseconds(30);
      const auto before_submit = std::chrono::steady_clock::now();
      placed += loaded.Submit() ? 1 : 0;
      submit += SecondsSince(before_submit);
      const auto before_end = std::chrono::steady_clock::now();
      loaded.FinishOldest();
      end += SecondsSince(before_end);
    }
    submit *= kMicroseconds / kRounds;
    end *= kMicroseconds / kRounds;
    std::printf("%8zu %8llu %12.2f %12.2f %8zu\n", workers,
                static_cast<unsigned long long>(streams), submit, end, placed);
    rows.push_back({{"workers", workers},
                    {"streams", streams},
                    {"submit_microseconds", submit},
                    {"end_microseconds", end},
                    {"placed", placed},
                    {"rounds", kRounds}});
  }
  return rows;
}

}  // namespace limpetlink::bench
