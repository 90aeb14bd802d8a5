#include <catch2/catch.hpp>

#include "bench/decisions_policies.h"

namespace limpetlink::bench {
namespace {

class OrderFixture {
 public:
  OrderFixture() {
    this->settings.length = std::chrono::seconds(180);
    this->settings.warm_up = std::chrono::seconds(60);
  }

 protected:
  TrialResult Run(const Mix& mix, double tokens_per_second,
                  const MakeTrialPolicy& make) {
    this->settings.per_second = tokens_per_second / MeanOutput(mix);
    return RunTrial(mix, this->settings, make);
  }

  TrialSettings settings;
};

TEST_CASE_METHOD(OrderFixture,
                 "policies, overload, dispatcher stalls and preempts least",
                 "[bench]") {
  const Mix mix = SwanCoast();
  constexpr double kTokensPerSecond = 29000;  // 1.5 of capacity
  for (const std::uint64_t seed : {1, 2, 3}) {
    this->settings.seed = seed;
    const auto ours = this->Run(mix, kTokensPerSecond, Dispatching());
    const auto greedy =
        this->Run(mix, kTokensPerSecond, Baseline(BaselineRule::kGreedy));
    const auto first =
        this->Run(mix, kTokensPerSecond, Baseline(BaselineRule::kFirstCome));
    const auto worst =
        this->Run(mix, kTokensPerSecond, Baseline(BaselineRule::kWorstCase));
    INFO("seed " << seed);
    CHECK(ours.preemptions * 10 <= greedy.preemptions);
    CHECK(ours.preemptions * 10 <= first.preemptions);
    CHECK(ours.stall_seconds * 2 <= greedy.stall_seconds);
    CHECK(ours.goodput >= 0.97 * greedy.goodput);
    CHECK(ours.goodput >= 2 * worst.goodput);
    CHECK(ours.verdict_first.At(0.99) * 10 <= greedy.draft_first.At(0.5));
    CHECK(ours.jain >= 0.95);
  }
}

TEST_CASE(
    "engine model, memory is full, newest job is preempted and ends whole",
    "[bench]") {
  EngineSettings settings;
  settings.memory_tokens = 320;
  EngineModel engine(settings);
  EngineJob job;
  job.prompt_tokens = 100;
  job.output_tokens = 120;
  for (std::uint64_t id = 1; id <= 2; ++id) {
    job.id = id;
    engine.Submit(job);
  }
  std::vector<std::uint32_t> produced(3, 0);
  std::vector<std::uint64_t> ended;
  while (engine.Begin() > Duration{0}) {
    for (const EngineToken& token : engine.Finish()) {
      CHECK(token.produced == produced[token.id] + 1);
      produced[token.id] = token.produced;
      if (token.last) {
        ended.push_back(token.id);
      }
    }
  }
  CHECK(engine.Status().preemptions >= 1);
  CHECK(engine.Status().memory_tokens_used == 0);
  CHECK(ended == std::vector<std::uint64_t>{1, 2});
}

}  // namespace
}  // namespace limpetlink::bench
