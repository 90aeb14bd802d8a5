#include "tests/scenario/runner.h"

#include "absl/strings/str_cat.h"

namespace limpetlink::scenario {
namespace {

/// Runs one step of any type.
class StepRunner {
 public:
  explicit StepRunner(const FleetHooks& fleet) : fleet(fleet) {}

  absl::Status operator()(const ProcessStep& step) const {
    return this->fleet.process(step);
  }

  absl::Status operator()(const FaultStep& step) const {
    return this->fleet.fault(step);
  }

  absl::Status operator()(const CallStep& step) const {
    return this->fleet.begin(RaceStep{{step}});
  }

  absl::Status operator()(const ApplyStep& step) const {
    return this->fleet.begin(RaceStep{{step}});
  }

  absl::Status operator()(const RaceStep& step) const {
    return this->fleet.begin(step);
  }

  absl::Status operator()(const ExpectStep& step) const {
    const auto deadline = this->fleet.now() + step.within;
    while (true) {
      const nlohmann::json observed = this->fleet.observe(step.subject);
      if (Matches(step.expected, observed)) {
        return absl::OkStatus();
      }
      if (this->fleet.now() >= deadline) {
        return absl::DeadlineExceededError(
            absl::StrCat("observed for ", step.subject, ": ", observed.dump()));
      }
      this->fleet.pause();
    }
  }

 private:
  const FleetHooks& fleet;
};

}  // namespace

ScenarioResult RunScenario(
    const Scenario& scenario, const FleetHooks& fleet,
    const std::function<void(const std::string& line)>& report) {
  ScenarioResult result;
  const absl::Status ready = fleet.set_up(scenario);
  if (!ready.ok()) {
    result.problem = absl::StrCat("set-up: ", ready.message());
    return result;
  }
  for (std::size_t i = 0; i < scenario.steps.size(); ++i) {
    const absl::Status done = std::visit(StepRunner(fleet), scenario.steps[i]);
    if (!done.ok()) {
      result.problem = absl::StrCat("step ", i + 1, " ", scenario.step_texts[i],
                                    ": ", done.message());
      return result;
    }
    ++result.steps_done;
    report(scenario.step_texts[i]);
  }
  result.passed = true;
  return result;
}

}  // namespace limpetlink::scenario
