#include "tests/scenario/real_fleet.h"

#include <csignal>
#include <thread>
#include <utility>

#include "absl/strings/str_cat.h"
#include "tests/ports/free_ports.h"

namespace limpetlink::scenario {
namespace {

using Json = nlohmann::json;
using SteadyClock = std::chrono::steady_clock;

constexpr char kModel[] = "m";
constexpr char kService[] = "app";
constexpr char kFleetName[] = "scenario";
constexpr char kPeerSecret[] = "scenario-peer-secret";
constexpr char kOperatorKey[] = "scenario-operator-key";
constexpr std::chrono::milliseconds kPollInterval{20};
constexpr std::chrono::seconds kStartTimeout{30};
constexpr std::uint32_t kFailureDomains = 3;

std::string RoleName(Role role) {
  switch (role) {
    case Role::kEngine:
      return "engine";
    case Role::kService:
      return "service";
    case Role::kEntry:
      return "entry";
    case Role::kPlatform:
      break;
  }
  return "platform";
}

std::string DomainOf(std::uint32_t number) {
  return absl::StrCat("domain-", number % kFailureDomains + 1);
}

int SignalFor(ProcessVerb verb) {
  switch (verb) {
    case ProcessVerb::kFreeze:
      return SIGSTOP;
    case ProcessVerb::kThaw:
      return SIGCONT;
    default:
      return SIGTERM;
  }
}

Upstream UpstreamOf(const Member& member, std::uint32_t number) {
  const bool engine = member.role == Role::kEngine;
  Upstream upstream;
  upstream.id = {member.name};
  upstream.kind = engine ? UpstreamKind::kEngine : UpstreamKind::kService;
  upstream.serves = engine ? kModel : kService;
  upstream.url = "http://" + member.Address();
  upstream.failure_domain = {DomainOf(number)};
  return upstream;
}

}  // namespace

std::string Member::Address() const {
  return absl::StrCat("127.0.0.1:", this->port);
}

RealFleet::RealFleet(FleetPaths paths) : paths(std::move(paths)) {}

RealFleet::~RealFleet() {
  for (Member& member : this->members) {
    member.process->Signal(SIGCONT).IgnoreError();
    member.process->Kill().IgnoreError();
  }
  this->callers.clear();
  this->appliers.clear();
}

FleetHooks RealFleet::Hooks() {
  FleetHooks hooks;
  hooks.set_up = [this](const Scenario& scenario) {
    return this->SetUp(scenario);
  };
  hooks.process = [this](const ProcessStep& step) {
    return this->ApplyProcessStep(step);
  };
  hooks.fault = [this](const FaultStep& step) {
    return this->ApplyFaultStep(step);
  };
  hooks.begin = [this](const RaceStep& step) { return this->StartSteps(step); };
  hooks.observe = [this](const std::string& subject) {
    return this->ObserveSubject(subject);
  };
  hooks.now = [] {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        SteadyClock::now().time_since_epoch());
  };
  hooks.pause = [] { std::this_thread::sleep_for(kPollInterval); };
  return hooks;
}

absl::Status RealFleet::SetUp(const Scenario& scenario) {
  this->AddMembers(scenario.topology);
  this->document = this->BuildDocument(scenario.topology);
  const FleetParseResult checked = ParseFleet(WriteFleet(this->document));
  if (!checked.Ok()) {
    return absl::InternalError(checked.errors.front().pointer + " " +
                               checked.errors.front().message);
  }
  return absl::OkStatus();
}

void RealFleet::AddMembers(const Topology& topology) {
  const std::size_t count =
      1 + topology.engines + topology.services + 2 * topology.entries;
  const std::vector<std::uint16_t> ports = testing::FreePorts(count);
  std::size_t next = 0;
  this->AddMember(Role::kPlatform, 0, ports.at(next++), 0);
  for (std::uint32_t i = 1; i <= topology.engines; ++i) {
    this->AddMember(Role::kEngine, i, ports.at(next++), 0);
  }
  for (std::uint32_t i = 1; i <= topology.services; ++i) {
    this->AddMember(Role::kService, i, ports.at(next++), 0);
  }
  for (std::uint32_t i = 1; i <= topology.entries; ++i) {
    const std::uint16_t port = ports.at(next++);
    this->AddMember(Role::kEntry, i, port, ports.at(next++));
  }
}

void RealFleet::AddMember(Role role, std::uint32_t number, std::uint16_t port,
                          std::uint16_t peer_port) {
  Member member;
  member.role = role;
  member.name = RoleName(role);
  if (number > 0) {
    absl::StrAppend(&member.name, "-", number);
  }
  member.port = port;
  member.peer_port = peer_port;
  member.process = std::make_unique<Process>(
      this->CommandLine(member),
      absl::StrCat(this->paths.logs, "/", member.name, ".log"));
  this->members.push_back(std::move(member));
}

std::vector<std::string> RealFleet::CommandLine(const Member& member) const {
  const std::string folder = this->paths.programs + "/";
  const std::string listen = member.Address();
  switch (member.role) {
    case Role::kPlatform:
      return {folder + "limpet-fake-platform", "--listen", listen};
    case Role::kEngine:
      return {folder + "limpet-fake-engine",
              "--listen",
              listen,
              "--model",
              kModel,
              "--step-ms",
              "30",
              "--model-version",
              "1"};
    case Role::kService:
      return {folder + "limpet-fake-service", "--listen", listen};
    case Role::kEntry:
      break;
  }
  const std::string platform = "http://" + this->members.front().Address();
  const auto number =
      static_cast<std::uint32_t>(std::stoul(member.name.substr(6)));
  return {folder + "limpet-entry",
          "--host-id",
          member.name,
          "--failure-domain",
          DomainOf(number),
          "--listen",
          listen,
          "--peer-address",
          absl::StrCat("127.0.0.1:", member.peer_port),
          "--platform",
          platform,
          "--fleet",
          kFleetName,
          "--resume-secret",
          kResumeSecret,
          "--peer-secret",
          kPeerSecret,
          "--operator-key-digest",
          Sha256Hex(kOperatorKey)};
}

FleetDocument RealFleet::BuildDocument(const Topology& topology) const {
  FleetDocument fleet;
  fleet.name = kFleetName;
  for (std::uint32_t i = 0; i < kFailureDomains; ++i) {
    fleet.failure_domains.push_back(
        {{DomainOf(i)}, absl::StrCat("region-", i + 1)});
  }
  Organisation organisation;
  organisation.id = {kOrganisation};
  organisation.key_digests = {Sha256Hex(kCallerKey)};
  fleet.organisations = {organisation};
  if (topology.engines > 0) {
    fleet.models = {{kModel, "1", {}, 4096}};
    fleet.routes.push_back({"draft", kModel});
    fleet.routes.push_back({"ending", kModel});
    fleet.routes.back().on_loss = OnLoss::kEnd;
    fleet.routes.push_back({"verdict", kModel});
    fleet.routes.back().request_class = RequestClass::kVerdict;
  }
  if (topology.services > 0) {
    Service service;
    service.name = kService;
    service.rules = {{"GET", "/recipes", true}};
    fleet.services = {service};
  }
  std::uint32_t number = 0;
  for (const Member& member : this->members) {
    if (member.role == Role::kEngine || member.role == Role::kService) {
      fleet.upstreams.push_back(UpstreamOf(member, ++number));
    }
  }
  return fleet;
}

absl::Status RealFleet::ApplyProcessStep(const ProcessStep& step) {
  if (step.verb == ProcessVerb::kStart && step.subject == "all") {
    return this->StartAll();
  }
  const auto found = this->Find(step.subject);
  if (!found.ok()) {
    return found.status();
  }
  for (Member* member : *found) {
    absl::Status done;
    switch (step.verb) {
      case ProcessVerb::kStart:
        done = this->StartMember(member);
        break;
      case ProcessVerb::kKill:
        this->StoreRecord(*member);
        done = member->process->Kill();
        break;
      default:
        member->stopping = step.verb == ProcessVerb::kStop;
        done = member->process->Running()
                   ? member->process->Signal(SignalFor(step.verb))
                   : absl::OkStatus();
        break;
    }
    if (!done.ok()) {
      return done;
    }
  }
  return absl::OkStatus();
}

absl::Status RealFleet::StartAll() {
  absl::Status done = this->StartMember(&this->members.front());
  if (done.ok()) {
    done = this->AnnounceHosts();
  }
  if (!done.ok()) {
    return done;
  }
  Applier first("http://" + this->members.front().Address(),
                MakeChange(this->document, "scenario", 0));
  for (Member& member : this->members) {
    if (member.role != Role::kEntry && done.ok()) {
      done = this->StartMember(&member);
    }
  }
  while (!first.Result()) {
    std::this_thread::sleep_for(kPollInterval);
  }
  if (first.Result()->outcome != ApplyOutcome::kApplied) {
    return absl::UnavailableError("the first document was not applied");
  }
  for (Member& member : this->members) {
    if (member.role == Role::kEntry && done.ok()) {
      done = member.process->Start();
    }
  }
  for (Member& member : this->members) {
    if (member.role == Role::kEntry && done.ok()) {
      done = this->WaitUntilResponding(member, "/readyz");
    }
  }
  return done;
}

absl::Status RealFleet::StartMember(Member* member) {
  const auto deadline = SteadyClock::now() + kStartTimeout;
  while (member->stopping && member->process->Running()) {
    if (SteadyClock::now() >= deadline) {
      return absl::DeadlineExceededError(member->name + " has not terminated");
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  member->stopping = false;
  absl::Status started = member->process->Start();
  if (!started.ok()) {
    return started;
  }
  const bool entry = member->role == Role::kEntry;
  return this->WaitUntilResponding(*member, entry ? "/healthz" : "/v1/load");
}

/// Waits until a process responds. Any status is sufficient, except that
/// /readyz must return 200: fakes respond with 404 to an unknown path.
absl::Status RealFleet::WaitUntilResponding(const Member& member,
                                            const std::string& path) {
  HttpCall call;
  call.id = CallId{1};
  call.method = "GET";
  call.url = "http://" + member.Address() + path;
  call.total_timeout = std::chrono::seconds(2);
  const bool must_be_ready = path == "/readyz";
  const auto deadline = SteadyClock::now() + kStartTimeout;
  while (SteadyClock::now() < deadline) {
    const HttpResponse response = ExchangeOverCurl(call);
    const bool responded = response.end == HttpEnd::kComplete;
    if (responded && (!must_be_ready || response.status == 200)) {
      return absl::OkStatus();
    }
    if (!member.process->Running()) {
      return absl::UnavailableError(absl::StrCat(member.name, " exited with ",
                                                 *member.process->ExitCode()));
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return absl::DeadlineExceededError(member.name + " does not respond");
}

absl::Status RealFleet::AnnounceHosts() {
  Json hosts = Json::array();
  for (const Member& member : this->members) {
    if (member.role == Role::kEntry) {
      hosts.push_back(
          {{"id", member.name},
           {"address", absl::StrCat("127.0.0.1:", member.peer_port)},
           {"role", "entry"},
           {"leaving", false}});
    }
  }
  const bool accepted =
      this->Post(this->members.front(), "/control/hosts", {{"hosts", hosts}});
  return accepted
             ? absl::OkStatus()
             : absl::UnavailableError("the platform rejected the host list");
}

absl::Status RealFleet::StartSteps(const RaceStep& race) {
  for (const RacingStep& step : race.steps) {
    if (const auto* call = std::get_if<CallStep>(&step)) {
      const auto found = this->Find(call->to);
      if (!found.ok() || found->size() != 1) {
        return absl::InvalidArgumentError("no such host: " + call->to);
      }
      this->StartCall(*call);
    } else {
      this->StartApply(std::get<ApplyStep>(step));
    }
  }
  return absl::OkStatus();
}

void RealFleet::StartCall(const CallStep& step) {
  CallerCall call;
  call.method = step.method;
  call.url = "http://" + this->Find(step.to)->front()->Address() + step.path;
  call.headers = {{"Authorization", absl::StrCat("Bearer ", kCallerKey)},
                  {"Content-Type", "application/json"}};
  for (const auto& header : step.headers.items()) {
    call.headers.push_back({header.key(), header.value().get<std::string>()});
  }
  if (step.body.is_object()) {
    Json body = step.body;
    body.emplace("id", step.name);
    call.body = body.dump();
  }
  if (!step.resumed_call.empty()) {
    const CallerView earlier = this->callers.at(step.resumed_call)->View();
    call.tokens = earlier.tokens;
    call.headers.push_back({"Last-Event-ID", earlier.last_event_id});
  }
  call.retries = step.retries;
  this->calls[step.name] = step;
  this->callers[step.name] = std::make_unique<Caller>(std::move(call));
}

void RealFleet::StartApply(const ApplyStep& step) {
  Json changed = Json::parse(WriteFleet(this->document));
  for (const auto& member : step.set.items()) {
    changed[Json::json_pointer(member.key())] = member.value();
  }
  const FleetParseResult parsed = ParseFleet(changed.dump());
  this->appliers[step.name] = std::make_unique<Applier>(
      "http://" + this->members.front().Address(),
      MakeChange(parsed.document, step.name, step.base_version));
}

}  // namespace limpetlink::scenario
