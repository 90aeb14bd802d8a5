#include <catch2/catch.hpp>

#include "bench/decisions_policies.h"

namespace limpetlink::bench {
namespace {

class PolicyOrderFixture {
 public:
  PolicyOrderFixture() {
    this->settings.duration = std::chrono::seconds(180);
    this->settings.warm_up = std::chrono::seconds(60);
  }

 protected:
  TrialResult Run(const Mix& mix, double tokens_per_second,
                  const TrialPolicyFactory& factory) {
    this->settings.requests_per_second =
        tokens_per_second / MeanOutputTokens(mix);
    return RunTrial(mix, this->settings, factory);
  }

  TrialSettings settings;
};

TEST_CASE_METHOD(PolicyOrderFixture,
                 "policies, overload, dispatcher stalls and preempts least",
                 "[bench]") {
  const Mix mix = SwanCoast();
  constexpr double kTokensPerSecond = 29000;  // 1.5 times the capacity
  for (const std::uint64_t seed : {1U, 2U, 3U}) {
    this->settings.seed = seed;
    const auto dispatcher =
        this->Run(mix, kTokensPerSecond, MakeDispatcherPolicy());
    const auto greedy = this->Run(mix, kTokensPerSecond,
                                  MakeBaselinePolicy(BaselineRule::kGreedy));
    const auto first_come = this->Run(
        mix, kTokensPerSecond, MakeBaselinePolicy(BaselineRule::kFirstCome));
    const auto worst_case = this->Run(
        mix, kTokensPerSecond, MakeBaselinePolicy(BaselineRule::kWorstCase));
    INFO("seed " << seed);
    CHECK(dispatcher.preemptions * 10 <= greedy.preemptions);
    CHECK(dispatcher.preemptions * 10 <= first_come.preemptions);
    CHECK(dispatcher.stall_seconds * 2 <= greedy.stall_seconds);
    CHECK(dispatcher.goodput >= 0.97 * greedy.goodput);
    CHECK(dispatcher.goodput >= 2 * worst_case.goodput);
    CHECK(dispatcher.verdict_first_token.Quantile(0.99) * 10 <=
          greedy.draft_first_token.Quantile(0.5));
    CHECK(dispatcher.jain_index >= 0.95);
  }
}

TEST_CASE("engine model, memory is full, newest job is preempted and completes",
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
  std::vector<std::uint64_t> finished;
  while (engine.BeginStep() > Duration{0}) {
    for (const EngineToken& token : engine.FinishStep()) {
      CHECK(token.produced == produced[token.id] + 1);
      produced[token.id] = token.produced;
      if (token.last) {
        finished.push_back(token.id);
      }
    }
  }
  CHECK(engine.Status().preemptions >= 1);
  CHECK(engine.Status().memory_tokens_used == 0);
  CHECK(finished == std::vector<std::uint64_t>{1, 2});
}

}  // namespace
}  // namespace limpetlink::bench
