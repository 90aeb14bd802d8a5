#include "tests/core/fault_matrix.h"

#include <algorithm>
#include <utility>

#include "tests/core/history_check.h"
#include "tests/core/world.h"

namespace limpetlink::testing {
namespace {

constexpr Duration kRequestTimeout = std::chrono::seconds(20);
constexpr Duration kFaultDuration = std::chrono::seconds(6);
constexpr Duration kReclaimNotice = std::chrono::seconds(2);
constexpr Duration kSlowResponseDelay = std::chrono::seconds(3);
constexpr Duration kDeadlineSlack = std::chrono::seconds(1);
constexpr Duration kRecoveryTime = std::chrono::seconds(30);
constexpr Duration kPropagationLimit = std::chrono::seconds(13);
constexpr std::uint64_t kTokens = 12;
constexpr std::size_t kServingHost = 0;
constexpr std::size_t kOtherHost = 1;

CallerRequest CompletionRequest(bool stream) {
  CallerRequest request;
  request.method = "POST";
  request.path = "/v1/completions";
  request.body = std::string(R"({"model":"model","prompt":"p","stream":)") +
                 (stream ? "true}" : "false}");
  return request;
}

CallerRequest OrderRequest(bool first) {
  CallerRequest request;
  request.method = "POST";
  request.path = "/v1/services/orders/orders";
  request.headers = {{"Idempotency-Key", "key"}};
  if (first) {
    request.headers.push_back({"Idempotency-Attempt", "first"});
  }
  request.body = "order";
  return request;
}

CallerRequest LookupRequest() {
  CallerRequest request;
  request.method = "GET";
  request.path = "/v1/services/orders/lookups/1";
  return request;
}

/// Executes one run of the matrix.
class MatrixRunner {
 public:
  explicit MatrixRunner(const MatrixRun& matrix_run)
      : run(matrix_run),
        simulation(FleetSimulationOptions{matrix_run.seed, 2, 2, 2, kTokens,
                                          "restart"}) {}

  MatrixRunResult Run() {
    if (!this->simulation.RunUntilReady()) {
      this->result.violations.emplace_back("the hosts never came to serve");
      return this->result;
    }
    this->simulation.RunFor(std::chrono::seconds(2));
    this->simulation.network.on_step = [this](const TraceStep&) {
      this->OnStep();
    };
    this->StartActivity();
    this->simulation.RunUntil([this] { return this->ActivityFinished(); },
                              kRequestTimeout + kFaultDuration);
    this->result.steps = this->steps;
    this->simulation.network.on_step = nullptr;
    this->simulation.RunFor(kRecoveryTime);
    this->RunFollowUps();
    this->Check();
    return this->result;
  }

 private:
  void StartActivity() {
    switch (this->run.activity) {
      case Activity::kStream:
        this->simulation.Send(kServingHost, CompletionRequest(true),
                              kRequestTimeout);
        break;
      case Activity::kCompleteResponse:
        this->simulation.Send(kServingHost, CompletionRequest(false),
                              kRequestTimeout);
        break;
      case Activity::kOrder:
        this->simulation.Send(kServingHost, OrderRequest(true),
                              kRequestTimeout);
        break;
      case Activity::kLookup:
        this->simulation.Send(kServingHost, LookupRequest(), kRequestTimeout);
        break;
      case Activity::kConfigurationChange:
        this->simulation.ApplyDocument();
        break;
      case Activity::kShutdown:
        this->simulation.Send(kServingHost, CompletionRequest(true),
                              kRequestTimeout);
        this->simulation.Send(kServingHost, OrderRequest(true),
                              kRequestTimeout);
        this->simulation.RunFor(std::chrono::milliseconds(30));
        this->simulation.DrainHost(kServingHost);
        break;
    }
  }

  bool ActivityFinished() {
    if (this->run.activity == Activity::kConfigurationChange) {
      const std::uint64_t newest =
          this->simulation.platform.VersionOf("fleet/fleet");
      return this->simulation.ActiveFleetVersion(kServingHost) >= newest &&
             this->simulation.ActiveFleetVersion(kOtherHost) >= newest;
    }
    for (std::size_t i = 0; i < this->simulation.callers.size(); ++i) {
      if (!this->simulation.IsFinished(i)) {
        return false;
      }
    }
    return true;
  }

  void OnStep() {
    ++this->steps;
    if (this->steps == this->run.first_step) {
      this->ScheduleFault(this->run.first);
    }
    if (this->steps == this->run.second_step) {
      this->ScheduleFault(this->run.second);
    }
  }

  /// Defers the fault to the next event, since a step may occur while an event
  /// is being handled.
  void ScheduleFault(Fault fault) {
    this->simulation.timeline.Schedule(
        Duration(0), [this, fault] { this->InjectFault(fault); });
  }

  void InjectFault(Fault fault) {
    switch (fault) {
      case Fault::kNone:
        break;
      case Fault::kEngineDies:
        this->LastUsedEngine().Kill();
        break;
      case Fault::kEngineReclaimed:
        this->ReclaimEngine();
        break;
      case Fault::kServiceDies:
        this->simulation.services[0]->Kill();
        break;
      case Fault::kHostDies:
        this->simulation.KillHost(kServingHost);
        break;
      case Fault::kLinkStalls:
        this->StallLinks();
        break;
      case Fault::kPlatformDown:
        this->simulation.platform.SetOutage(true);
        this->ScheduleRecovery(
            [this] { this->simulation.platform.SetOutage(false); });
        break;
      case Fault::kPlatformSlow:
        this->simulation.network.SetDelay("platform", kSlowResponseDelay);
        this->ScheduleRecovery([this] {
          this->simulation.network.SetDelay("platform", Duration(0));
        });
        break;
      case Fault::kResponseLost:
        this->simulation.platform.DropNextWriteResponse();
        break;
      case Fault::kHostPaused:
        this->PauseHost();
        break;
      case Fault::kOperatorsRace:
        this->simulation.ApplyDocument();
        this->simulation.ApplyDocument();
        break;
      case Fault::kHostLeaves:
        this->simulation.DrainHost(kServingHost);
        break;
    }
  }

  void ScheduleRecovery(std::function<void()> recover) {
    this->simulation.timeline.Schedule(kFaultDuration, std::move(recover));
  }

  EngineFake& LastUsedEngine() {
    const bool other = this->simulation.engines[1]->LastAcceptedAt() >
                       this->simulation.engines[0]->LastAcceptedAt();
    return *this->simulation.engines[other ? 1 : 0];
  }

  void ReclaimEngine() {
    EngineFake& engine = this->LastUsedEngine();
    engine.Drain();
    this->simulation.timeline.Schedule(kReclaimNotice,
                                       [&engine] { engine.Kill(); });
  }

  void StallLinks() {
    const std::vector<std::string> servers = {"127.0.0.1:9000",
                                              "127.0.0.1:9500"};
    for (const std::string& server : servers) {
      this->simulation.network.SetLink(server, LinkState::kStalled);
    }
    this->ScheduleRecovery([this, servers] {
      for (const std::string& server : servers) {
        this->simulation.network.SetLink(server, LinkState::kUp);
      }
    });
  }

  void PauseHost() {
    this->simulation.FreezeHost(kServingHost);
    this->paused = true;
    this->ScheduleRecovery([this] { this->simulation.ThawHost(kServingHost); });
  }

  /// Retries an order or resumes a stream after the faults have ended.
  void RunFollowUps() {
    if (this->run.activity == Activity::kOrder ||
        this->run.activity == Activity::kShutdown) {
      const std::size_t repeat = this->simulation.Send(
          kOtherHost, OrderRequest(false), kRequestTimeout);
      this->simulation.RunUntil(
          [&] { return this->simulation.IsFinished(repeat); },
          kRequestTimeout + kDeadlineSlack);
    }
    if (this->run.activity == Activity::kStream) {
      this->ResumeStream();
    }
  }

  /// Resumes an aborted stream at the other host.
  void ResumeStream() {
    const CallerLog interrupted = this->simulation.callers[0];
    const StreamContent content = ReadStream(interrupted.body);
    if (!interrupted.aborted || content.last_event_id.empty()) {
      return;
    }
    CallerRequest resumption = CompletionRequest(true);
    resumption.headers.push_back({"Last-Event-ID", content.last_event_id});
    const std::size_t caller =
        this->simulation.Send(kOtherHost, resumption, kRequestTimeout);
    this->simulation.RunUntil(
        [&] { return this->simulation.IsFinished(caller); },
        kRequestTimeout + kDeadlineSlack);
    const StreamContent resumed =
        ReadStream(this->simulation.callers[caller].body, content);
    this->AddViolations(resumed.violations);
    if (!resumed.done && resumed.error.empty() &&
        this->simulation.callers[caller].status == 200) {
      this->result.violations.emplace_back(
          "a stream taken up elsewhere has no end");
    }
  }

  void Check() {
    const Duration slack =
        kDeadlineSlack + (this->paused ? kFaultDuration : Duration(0));
    this->AddViolations(CheckDeadlines(this->simulation, slack));
    this->AddViolations(CheckOrders(this->simulation));
    this->AddViolations(this->simulation.violations);
    if (this->run.activity == Activity::kStream ||
        this->run.activity == Activity::kShutdown) {
      this->AddViolations(CheckStream(this->simulation.callers[0], kTokens));
    }
    this->CheckVersions();
    this->CheckCompletionSucceeds();
  }

  /// Checks that every running host has applied the newest document after all
  /// faults have ended.
  void CheckVersions() {
    const std::uint64_t newest =
        this->simulation.platform.VersionOf("fleet/fleet");
    this->simulation.RunFor(kPropagationLimit);
    for (const std::size_t host : {kServingHost, kOtherHost}) {
      if (this->simulation.IsHostRunning(host) &&
          this->simulation.ActiveFleetVersion(host) != newest) {
        this->result.violations.emplace_back(
            "a host lacks the newest document");
      }
    }
  }

  /// Checks that a completion succeeds if no fault affected the caller's host,
  /// since an engine was available.
  void CheckCompletionSucceeds() {
    const bool must_succeed = this->MustNotFailCompletions(this->run.first) &&
                              this->MustNotFailCompletions(this->run.second);
    const bool completion = this->run.activity == Activity::kStream ||
                            this->run.activity == Activity::kCompleteResponse ||
                            this->run.activity == Activity::kShutdown;
    if (must_succeed && completion &&
        this->simulation.callers[0].status != 200) {
      this->result.violations.emplace_back(
          "a completion failed though an engine was there");
    }
  }

  bool MustNotFailCompletions(Fault fault) const {
    const bool leaves_while_serving = fault == Fault::kHostLeaves &&
                                      this->run.activity != Activity::kShutdown;
    return fault != Fault::kHostDies && fault != Fault::kHostPaused &&
           !leaves_while_serving;
  }

  void AddViolations(const std::vector<std::string>& violations) {
    this->result.violations.insert(this->result.violations.end(),
                                   violations.begin(), violations.end());
  }

  MatrixRun run;
  FleetSimulation simulation;
  MatrixRunResult result;
  std::uint64_t steps = 0;
  bool paused = false;
};

void RecordRun(MatrixCellResult& cell, const MatrixRun& run) {
  const MatrixRunResult result = Execute(run);
  ++cell.runs;
  if (!result.violations.empty()) {
    if (cell.failed == 0) {
      cell.first_failure = run;
      cell.first_violation = result.violations.front();
    }
    ++cell.failed;
  }
}

std::uint64_t CountSteps(Activity activity, std::uint64_t seed) {
  MatrixRun faultless;
  faultless.activity = activity;
  faultless.seed = seed;
  return Execute(faultless).steps;
}

}  // namespace

MatrixRunResult Execute(const MatrixRun& run) {
  return MatrixRunner(run).Run();
}

MatrixCellResult ExecuteCell(Fault fault, Activity activity,
                             std::uint64_t seeds) {
  MatrixCellResult cell;
  cell.fault = fault;
  cell.activity = activity;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const std::uint64_t steps = CountSteps(activity, seed);
    for (std::uint64_t step = 1; step <= std::max<std::uint64_t>(steps, 1);
         ++step) {
      MatrixRun run;
      run.activity = activity;
      run.first = fault;
      run.first_step = step;
      run.seed = seed;
      RecordRun(cell, run);
    }
  }
  return cell;
}

MatrixCellResult ExecutePairs(Fault fault, Activity activity,
                              std::uint64_t runs) {
  MatrixCellResult cell;
  cell.fault = fault;
  cell.activity = activity;
  Random random(
      StableHash(ToText(fault), static_cast<std::uint64_t>(activity)));
  constexpr std::uint64_t kFaults =
      static_cast<std::uint64_t>(Fault::kHostLeaves);
  const std::uint64_t steps =
      std::max<std::uint64_t>(CountSteps(activity, 1), 1);
  for (std::uint64_t i = 0; i < runs; ++i) {
    MatrixRun run;
    run.activity = activity;
    run.first = fault;
    run.first_step = 1 + random.Below(steps);
    run.second = static_cast<Fault>(1 + random.Below(kFaults));
    run.second_step = 1 + random.Below(2 * steps);
    run.seed = 1 + random.Below(1000);
    RecordRun(cell, run);
  }
  return cell;
}

}  // namespace limpetlink::testing
