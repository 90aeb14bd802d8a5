#include "tests/core/fault_matrix.h"

#include <algorithm>
#include <utility>

#include "tests/core/history_check.h"
#include "tests/core/world.h"

namespace limpetlink::testing {
namespace {

constexpr Duration kCallerWait = std::chrono::seconds(20);
constexpr Duration kFaultTime = std::chrono::seconds(6);
constexpr Duration kReclaimNotice = std::chrono::seconds(2);
constexpr Duration kSlowAnswer = std::chrono::seconds(3);
constexpr Duration kDeadlineSlack = std::chrono::seconds(1);
constexpr Duration kSettleTime = std::chrono::seconds(30);
constexpr Duration kSpreadLimit = std::chrono::seconds(13);
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

/// One run while it goes on.
class Run {
 public:
  explicit Run(const MatrixRun& matrix_run)
      : run(matrix_run),
        world(WorldOptions{matrix_run.seed, 2, 2, 2, kTokens, "restart"}) {}

  MatrixRunResult Go() {
    if (!this->world.RunUntilReady()) {
      this->result.violations.emplace_back("the hosts never came to serve");
      return this->result;
    }
    this->world.RunFor(std::chrono::seconds(2));
    this->world.network.on_step = [this](const TraceStep&) { this->OnStep(); };
    this->Begin();
    this->world.RunUntil([this] { return this->ActivityOver(); },
                         kCallerWait + kFaultTime);
    this->result.steps = this->steps;
    this->world.network.on_step = nullptr;
    this->world.RunFor(kSettleTime);
    this->After();
    this->Check();
    return this->result;
  }

 private:
  void Begin() {
    switch (this->run.activity) {
      case Activity::kStream:
        this->world.Send(kServingHost, CompletionRequest(true), kCallerWait);
        break;
      case Activity::kWholeAnswer:
        this->world.Send(kServingHost, CompletionRequest(false), kCallerWait);
        break;
      case Activity::kOrder:
        this->world.Send(kServingHost, OrderRequest(true), kCallerWait);
        break;
      case Activity::kLookup:
        this->world.Send(kServingHost, LookupRequest(), kCallerWait);
        break;
      case Activity::kConfigurationChange:
        this->world.ApplyDocument();
        break;
      case Activity::kShutdown:
        this->world.Send(kServingHost, CompletionRequest(true), kCallerWait);
        this->world.Send(kServingHost, OrderRequest(true), kCallerWait);
        this->world.RunFor(std::chrono::milliseconds(30));
        this->world.DrainHost(kServingHost);
        break;
    }
  }

  bool ActivityOver() {
    if (this->run.activity == Activity::kConfigurationChange) {
      const std::uint64_t newest =
          this->world.platform.VersionOf("fleet/fleet");
      return this->world.FleetVersion(kServingHost) >= newest &&
             this->world.FleetVersion(kOtherHost) >= newest;
    }
    for (std::size_t i = 0; i < this->world.callers.size(); ++i) {
      if (!this->world.Over(i)) {
        return false;
      }
    }
    return true;
  }

  void OnStep() {
    ++this->steps;
    if (this->steps == this->run.first_step) {
      this->Break(this->run.first);
    }
    if (this->steps == this->run.second_step) {
      this->Break(this->run.second);
    }
  }

  /// Faults strike between two events, since a step may be in the middle of
  /// one.
  void Break(Fault fault) {
    this->world.timeline.After(Duration(0),
                               [this, fault] { this->Strike(fault); });
  }

  void Strike(Fault fault) {
    switch (fault) {
      case Fault::kNone:
        break;
      case Fault::kEngineDies:
        this->BusyEngine().Kill();
        break;
      case Fault::kEngineReclaimed:
        this->ReclaimEngine();
        break;
      case Fault::kServiceDies:
        this->world.services[0]->Kill();
        break;
      case Fault::kHostDies:
        this->world.KillHost(kServingHost);
        break;
      case Fault::kLinkStalls:
        this->StallLinks();
        break;
      case Fault::kPlatformDown:
        this->world.platform.SetOutage(true);
        this->Later([this] { this->world.platform.SetOutage(false); });
        break;
      case Fault::kPlatformSlow:
        this->world.network.SetDelay("platform", kSlowAnswer);
        this->Later(
            [this] { this->world.network.SetDelay("platform", Duration(0)); });
        break;
      case Fault::kAnswerLost:
        this->world.platform.LoseNextWriteAnswer();
        break;
      case Fault::kHostPaused:
        this->PauseHost();
        break;
      case Fault::kOperatorsRace:
        this->world.ApplyDocument();
        this->world.ApplyDocument();
        break;
      case Fault::kHostLeaves:
        this->world.DrainHost(kServingHost);
        break;
    }
  }

  void Later(std::function<void()> work) {
    this->world.timeline.After(kFaultTime, std::move(work));
  }

  EngineFake& BusyEngine() {
    const bool second = this->world.engines[1]->LastAccepted() >
                        this->world.engines[0]->LastAccepted();
    return *this->world.engines[second ? 1 : 0];
  }

  void ReclaimEngine() {
    EngineFake& engine = this->BusyEngine();
    engine.Drain();
    this->world.timeline.After(kReclaimNotice, [&engine] { engine.Kill(); });
  }

  void StallLinks() {
    const std::vector<std::string> servers = {"127.0.0.1:9000",
                                              "127.0.0.1:9500"};
    for (const std::string& server : servers) {
      this->world.network.SetLink(server, LinkState::kStalled);
    }
    this->Later([this, servers] {
      for (const std::string& server : servers) {
        this->world.network.SetLink(server, LinkState::kUp);
      }
    });
  }

  void PauseHost() {
    this->world.FreezeHost(kServingHost);
    this->paused = true;
    this->Later([this] { this->world.ThawHost(kServingHost); });
  }

  /// What a caller or operator does once the faults are over.
  void After() {
    if (this->run.activity == Activity::kOrder ||
        this->run.activity == Activity::kShutdown) {
      const std::size_t repeat =
          this->world.Send(kOtherHost, OrderRequest(false), kCallerWait);
      this->world.RunUntil([&] { return this->world.Over(repeat); },
                           kCallerWait + kDeadlineSlack);
    }
    if (this->run.activity == Activity::kStream) {
      this->TakeUpStream();
    }
  }

  /// A caller whose host died goes on at another one.
  void TakeUpStream() {
    const CallerLog broken = this->world.callers[0];
    const StreamContent content = ReadStream(broken.body);
    if (!broken.aborted || content.last_event_id.empty()) {
      return;
    }
    CallerRequest again = CompletionRequest(true);
    again.headers.push_back({"Last-Event-ID", content.last_event_id});
    const std::size_t caller = this->world.Send(kOtherHost, again, kCallerWait);
    this->world.RunUntil([&] { return this->world.Over(caller); },
                         kCallerWait + kDeadlineSlack);
    const StreamContent whole =
        ReadStream(this->world.callers[caller].body, content);
    this->Add(whole.faults);
    if (!whole.done && whole.error.empty() &&
        this->world.callers[caller].status == 200) {
      this->result.violations.emplace_back(
          "a stream taken up elsewhere has no end");
    }
  }

  void Check() {
    const Duration slack =
        kDeadlineSlack + (this->paused ? kFaultTime : Duration(0));
    this->Add(CheckDeadlines(this->world, slack));
    this->Add(CheckOrders(this->world));
    this->Add(this->world.violations);
    if (this->run.activity == Activity::kStream ||
        this->run.activity == Activity::kShutdown) {
      this->Add(CheckStream(this->world.callers[0], kTokens));
    }
    this->CheckVersions();
    this->CheckWholeWithoutReason();
  }

  /// After all faults are over every living host has the newest document.
  void CheckVersions() {
    const std::uint64_t newest = this->world.platform.VersionOf("fleet/fleet");
    this->world.RunFor(kSpreadLimit);
    for (const std::size_t host : {kServingHost, kOtherHost}) {
      if (this->world.HostLives(host) &&
          this->world.FleetVersion(host) != newest) {
        this->result.violations.emplace_back(
            "a host lacks the newest document");
      }
    }
  }

  /// Faults that leave an engine and the caller's host alone must not cost the
  /// answer.
  void CheckWholeWithoutReason() {
    const bool harmless =
        this->IsHarmless(this->run.first) && this->IsHarmless(this->run.second);
    const bool completion = this->run.activity == Activity::kStream ||
                            this->run.activity == Activity::kWholeAnswer ||
                            this->run.activity == Activity::kShutdown;
    if (harmless && completion && this->world.callers[0].status != 200) {
      this->result.violations.emplace_back(
          "a completion failed though an engine was there");
    }
  }

  bool IsHarmless(Fault fault) const {
    const bool leaves_while_received =
        fault == Fault::kHostLeaves &&
        this->run.activity != Activity::kShutdown;
    return fault != Fault::kHostDies && fault != Fault::kHostPaused &&
           !leaves_while_received;
  }

  void Add(const std::vector<std::string>& violations) {
    this->result.violations.insert(this->result.violations.end(),
                                   violations.begin(), violations.end());
  }

  MatrixRun run;
  World world;
  MatrixRunResult result;
  std::uint64_t steps = 0;
  bool paused = false;
};

void Count(MatrixCellResult& cell, const MatrixRun& run) {
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

std::uint64_t StepsOf(Activity activity, std::uint64_t seed) {
  MatrixRun faultless;
  faultless.activity = activity;
  faultless.seed = seed;
  return Execute(faultless).steps;
}

}  // namespace

MatrixRunResult Execute(const MatrixRun& run) { return Run(run).Go(); }

MatrixCellResult ExecuteCell(Fault fault, Activity activity,
                             std::uint64_t seeds) {
  MatrixCellResult cell;
  cell.fault = fault;
  cell.activity = activity;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const std::uint64_t steps = StepsOf(activity, seed);
    for (std::uint64_t step = 1; step <= std::max<std::uint64_t>(steps, 1);
         ++step) {
      MatrixRun run;
      run.activity = activity;
      run.first = fault;
      run.first_step = step;
      run.seed = seed;
      Count(cell, run);
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
  const std::uint64_t steps = std::max<std::uint64_t>(StepsOf(activity, 1), 1);
  for (std::uint64_t i = 0; i < runs; ++i) {
    MatrixRun run;
    run.activity = activity;
    run.first = fault;
    run.first_step = 1 + random.Below(steps);
    run.second = static_cast<Fault>(1 + random.Below(kFaults));
    run.second_step = 1 + random.Below(2 * steps);
    run.seed = 1 + random.Below(1000);
    Count(cell, run);
  }
  return cell;
}

}  // namespace limpetlink::testing
