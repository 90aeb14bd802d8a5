// Entry hosts before engines that a part of some prompts ends, in virtual time:
// how many of those requests reach engines, and what others are served.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "gateway/gateway.h"
#include "tests/hosts/fake_store.h"

namespace limpetlink {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(10);
constexpr std::size_t kDomains = 6;
constexpr std::size_t kEngines = 12;
constexpr Duration kPrefill = milliseconds(250);
constexpr Duration kCrashAfterHead = milliseconds(80);
constexpr Duration kEventInterval = milliseconds(30);
constexpr std::uint64_t kEvents = 12;
constexpr Duration kRestart = seconds(3);
/// A registration without a sign of life is removed after this time.
constexpr Duration kExpiry = milliseconds(3500);
/// Time in which all hosts have to know of the fifth crash.
constexpr Duration kReactionTime = seconds(5);

const std::string kFatalPart = "fa7a1";

class EngineCrashFixture {
 public:
  struct Run {
    std::string host;
    CallId call;
    std::string request_id;
    std::string parts;
    Instant head_at{};
    bool has_head = false;
    std::uint64_t events = 0;
  };
  struct Engine {
    std::string id;
    bool is_up = true;
    Instant restarts_at = kNever;
    Instant expires_at = kNever;
    std::vector<Run> runs;
  };
  struct Member {
    std::unique_ptr<GatewayHost> host;
    std::vector<std::pair<HttpCall, Instant>> store_calls;
    std::vector<PeerFrame> received;
    bool is_cut_off = false;  ///< from the other hosts
  };
  struct Sent {
    std::string parts;
    std::string host;
    Instant at{};
    int status = 0;
    bool served = false;
    bool ended = false;
    std::string body;
    Headers headers;
  };

  EngineCrashFixture() {
    this->store.Write("deployments", "main", "1");
    for (std::size_t i = 0; i < kEngines; ++i) {
      this->StartEngine("10.1.0." + std::to_string(i) + ":80");
    }
  }

  static bool HasPart(const std::string& parts, const std::string& part) {
    return ("," + parts + ",").find("," + part + ",") != std::string::npos;
  }

  static GatewayCodec Codec() {
    GatewayCodec codec;
    codec.deployment_kind = "deployments";
    codec.deployment_name = "main";
    codec.worker_kind = "workers";
    codec.quarantine_kind = "quarantine";
    codec.ready_path = "/ready";
    codec.deployment = [](const ObjectRecord& record) {
      Deployment deployment;
      deployment.version = std::stoull(record.bytes);
      ForwardingRoute route;
      route.name = "verdicts";
      route.host = "fleet";
      route.path_prefix = "/stream/";
      route.kind = RouteKind::kStreaming;
      route.services = {{"engines", 1.0}};
      route.timeout = seconds(6);
      route.objective = milliseconds(1500);
      route.max_attempts = 2;
      route.anonymous = true;
      deployment.routes = {route};
      EngineTraits engine;
      engine.slots = 24;
      engine.memory_tokens = 30000;
      deployment.services = {{"engines", engine}};
      return absl::StatusOr<Deployment>(std::move(deployment));
    };
    codec.worker = [](const ObjectRecord& record) {
      // "ADDRESS STARTED_AT"
      std::istringstream columns(record.bytes);
      WorkerRegistration worker;
      worker.id = UpstreamId{record.name};
      worker.service = "engines";
      worker.slots = 24;
      columns >> worker.address >> worker.started_at;
      return absl::StatusOr<WorkerRegistration>(std::move(worker));
    };
    codec.caller_metadata = [](const Headers& headers) {
      CallerMetadata metadata;
      metadata.request_id = *FindHeader(headers, "id");
      metadata.prompt_tokens = 1500;
      metadata.max_output_tokens = 50;
      std::istringstream parts(*FindHeader(headers, "parts"));
      std::string part;
      while (std::getline(parts, part, ',')) {
        metadata.shared_parts.push_back(part);
      }
      return absl::StatusOr<CallerMetadata>(std::move(metadata));
    };
    codec.worker_headers = [](const Headers& headers, const WorkerMetadata&) {
      return headers;
    };
    codec.worker_response = [](const Headers& headers) {
      WorkerResponse response;
      response.request_id = *FindHeader(headers, "id");
      response.is_signed = true;
      return response;
    };
    codec.caller_headers = [](const Headers& headers) { return headers; };
    codec.report_call = [] {
      HttpCall call;
      call.url = "/report";
      return call;
    };
    codec.report = [](const std::string&) -> absl::StatusOr<EngineReport> {
      return EngineReport{};
    };
    return codec;
  }

  void AddHosts(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      this->StartHost("host-" + std::to_string(10000 + i), i % kDomains);
    }
  }

  void StartHost(const std::string& name, std::size_t domain) {
    GatewaySettings settings;
    settings.self = HostId{name};
    settings.failure_domain = FailureDomainId{std::to_string(domain)};
    settings.store.url = "http://store";
    settings.store.dialect = FakeStore::Dialect();
    settings.store.budget = {1000, 1000, 1000, 1000};
    settings.neighbour_address = name;
    settings.seeds = {"host-10000", "host-10001", "host-10002"};
    settings.seed = StableHash(name);
    Member& member = this->members[name];
    member = Member{};
    member.host = std::make_unique<GatewayHost>(settings, Codec());
    this->Apply(name, member.host->Start(this->now));
  }

  void RestartAll() {
    for (const auto& [name, member] : std::exchange(this->members, {})) {
      const std::size_t number = std::stoul(name.substr(name.find('-') + 1));
      this->StartHost(name, (number - 10000) % kDomains);
    }
    for (auto& [address, engine] : this->engines) {
      engine.runs.clear();
    }
    this->reports.clear();
    this->refused.clear();
  }

  void StartEngine(const std::string& address) {
    const std::string id = "engine-" + std::to_string(++this->last_engine);
    this->engines[address] = Engine{id, true, kNever, kNever, {}};
    const std::int64_t started_at =
        std::chrono::duration_cast<milliseconds>(this->now.time_since_epoch())
            .count();
    this->store.Write("workers", id,
                      address + " " + std::to_string(started_at));
  }

  /// @brief Ends an engine with all its runs; it returns some seconds later
  /// with another id.
  void CrashEngine(Engine* engine) {
    engine->is_up = false;
    engine->restarts_at = this->now + kRestart;
    engine->expires_at = this->now + kExpiry;
    for (const Run& run : std::exchange(engine->runs, {})) {
      this->Deliver(run.host, HttpDone{run.call, HttpEnd::kCut});
    }
  }

  /// @brief Sends a request with the parts to a host, by default any one.
  std::size_t SendRequest(const std::string& parts, std::string host = {}) {
    if (host.empty()) {
      auto it = this->members.begin();
      std::advance(it, this->random.Below(this->members.size()));
      host = it->first;
    }
    const std::size_t number = this->sent.size();
    this->sent.push_back({parts, host, this->now, 0, false, false, {}, {}});
    CallerRequest request;
    request.id = RequestId{number};
    request.method = "POST";
    request.path = "/stream/" + std::to_string(number);
    request.target = request.path;
    request.headers = {{"Host", "fleet"},
                       {"id", "r" + std::to_string(number)},
                       {"parts", parts}};
    this->Deliver(host, request);
    return number;
  }

  void Deliver(const std::string& host, const Event& event) {
    this->Apply(host, this->members.at(host).host->Step(this->now, event));
  }

  void OnEngineCall(const std::string& host, const HttpCall& call) {
    const std::string rest = call.url.substr(std::string("http://").size());
    const std::string address = rest.substr(0, rest.find('/'));
    const auto found = this->engines.find(address);
    if (found == this->engines.end() || !found->second.is_up) {
      this->refused.push_back(
          {host, HttpDone{call.id, HttpEnd::kNotConnected}});
      return;
    }
    if (rest.substr(rest.find('/')) == "/report") {
      this->reports.push_back({host, call.id});
      return;
    }
    const std::string& parts = *FindHeader(call.headers, "parts");
    if (HasPart(parts, kFatalPart)) {
      this->fatal_arrivals.push_back(this->now);
    }
    found->second.runs.push_back({host, call.id,
                                  *FindHeader(call.headers, "id"), parts,
                                  this->now + kPrefill, false, 0});
  }

  void Apply(const std::string& host, Actions actions) {
    Member& member = this->members.at(host);
    for (Action& action : actions) {
      if (auto* call = std::get_if<HttpCall>(&action)) {
        if (call->url.rfind("http://store/", 0) == 0) {
          member.store_calls.emplace_back(std::move(*call), this->now);
        } else {
          this->OnEngineCall(host, *call);
        }
      } else if (auto* cancel = std::get_if<HttpCancel>(&action)) {
        this->Cancel(host, cancel->id);
      } else if (auto* send = std::get_if<PeerSend>(&action)) {
        const auto to = this->members.find(send->address);
        const bool arrives = to != this->members.end() && !member.is_cut_off &&
                             !to->second.is_cut_off &&
                             this->random.Fraction() >= this->loss_rate;
        if (arrives) {
          to->second.received.push_back({HostId{host}, std::move(send->bytes)});
        }
      } else if (auto* head = std::get_if<ReplyHead>(&action)) {
        this->sent[head->id.value].status = head->status;
        this->sent[head->id.value].headers = head->headers;
      } else if (auto* body = std::get_if<ReplyBody>(&action)) {
        this->sent[body->id.value].body += body->bytes;
      } else if (auto* end = std::get_if<ReplyEnd>(&action)) {
        Sent& request = this->sent[end->id.value];
        request.ended = true;
        request.served = !end->abort && request.status == 200;
      }
    }
  }

  void Cancel(const std::string& host, CallId id) {
    std::vector<std::pair<HttpCall, Instant>>& calls =
        this->members.at(host).store_calls;
    calls.erase(
        std::remove_if(calls.begin(), calls.end(),
                       [id](const auto& each) { return each.first.id == id; }),
        calls.end());
    for (auto& [address, engine] : this->engines) {
      engine.runs.erase(std::remove_if(engine.runs.begin(), engine.runs.end(),
                                       [&](const Run& run) {
                                         return run.host == host &&
                                                run.call == id;
                                       }),
                        engine.runs.end());
    }
  }

  void RespondFromStore(const std::string& name, Member* member) {
    std::vector<std::pair<HttpCall, Instant>> waiting;
    for (auto& [call, sent_at] : std::exchange(member->store_calls, {})) {
      const std::optional<std::string> body =
          this->store.Execute(call)
              ? "written"
              : this->store.Respond(call.url, this->now - sent_at);
      if (!body.has_value()) {
        waiting.emplace_back(std::move(call), sent_at);
        continue;
      }
      this->Deliver(name, HttpHead{call.id,
                                   body->empty() ? 410 : 200,
                                   {{"era", std::to_string(this->store.era)}}});
      this->Deliver(name, HttpChunk{call.id, *body});
      this->Deliver(name, HttpDone{call.id, HttpEnd::kComplete});
    }
    for (auto& call : waiting) {
      member->store_calls.push_back(std::move(call));
    }
  }

  /// @return whether the engine has ended
  bool AdvanceRun(Run* run) {
    if (!run->has_head && run->head_at <= this->now) {
      run->has_head = true;
      this->Deliver(run->host,
                    HttpHead{run->call, 200, {{"id", run->request_id}}});
    }
    if (HasPart(run->parts, kFatalPart)) {
      return run->head_at + kCrashAfterHead <= this->now;
    }
    const Instant next =
        run->head_at + kEventInterval * static_cast<int>(run->events + 1);
    if (run->events < kEvents && next <= this->now) {
      ++run->events;
      this->Deliver(
          run->host,
          HttpChunk{run->call, "id: " + std::to_string(run->events) + "\n\n"});
    }
    return false;
  }

  void AdvanceEngine(const std::string& address, Engine* engine) {
    if (engine->expires_at <= this->now) {
      this->store.Delete("workers", engine->id);
      engine->expires_at = kNever;
    }
    if (!engine->is_up) {
      if (engine->restarts_at <= this->now && engine->expires_at == kNever) {
        this->StartEngine(address);
      }
      return;
    }
    // Deliveries may cancel other runs.
    std::vector<CallId> calls;
    for (const Run& run : engine->runs) {
      calls.push_back(run.call);
    }
    for (const CallId& id : calls) {
      const auto run =
          std::find_if(engine->runs.begin(), engine->runs.end(),
                       [&id](const Run& each) { return each.call == id; });
      if (run == engine->runs.end()) {
        continue;
      }
      Run advanced = *run;
      const bool crashes = this->AdvanceRun(&advanced);
      const auto again = std::find_if(
          engine->runs.begin(), engine->runs.end(), [&](const Run& each) {
            return each.call == id && each.host == advanced.host;
          });
      if (again == engine->runs.end()) {
        continue;
      }
      *again = advanced;
      if (crashes) {
        this->crashes.push_back(this->now);
        this->CrashEngine(engine);
        return;
      }
      if (advanced.events == kEvents) {
        engine->runs.erase(again);
        this->Deliver(advanced.host,
                      HttpDone{advanced.call, HttpEnd::kComplete});
      }
    }
  }

  void Advance(Duration span) {
    const Instant end = this->now + span;
    while (this->now < end) {
      this->now += kStep;
      if (this->next_sound <= this->now) {
        this->next_sound = this->now + milliseconds(60);
        this->SendRequest("a," + std::to_string(this->random.Below(4)));
      }
      if (this->sends_fatal && this->next_fatal <= this->now) {
        this->next_fatal =
            this->now + milliseconds(150 + this->random.Below(900));
        this->SendRequest("a," + kFatalPart);
      }
      for (auto& [host, done] : std::exchange(this->refused, {})) {
        this->Deliver(host, done);
      }
      for (auto& [host, id] : std::exchange(this->reports, {})) {
        this->Deliver(host, HttpHead{id, 200, {}});
        this->Deliver(host, HttpDone{id, HttpEnd::kComplete});
      }
      for (auto& [address, engine] : this->engines) {
        this->AdvanceEngine(address, &engine);
      }
      for (auto& [name, member] : this->members) {
        for (const PeerFrame& frame : std::exchange(member.received, {})) {
          this->Deliver(name, frame);
        }
        this->RespondFromStore(name, &member);
        if (member.host->NextWakeup() <= this->now) {
          this->Apply(name, member.host->Tick(this->now));
        }
      }
    }
  }

  /// @return arrivals of fatal requests later than the reaction time after the
  /// fifth crash
  std::size_t LateArrivals() const {
    constexpr std::size_t kAllowedCrashes = 5;
    if (this->crashes.size() < kAllowedCrashes) {
      return 0;
    }
    const Instant limit = this->crashes[kAllowedCrashes - 1] + kReactionTime;
    return static_cast<std::size_t>(
        std::count_if(this->fatal_arrivals.begin(), this->fatal_arrivals.end(),
                      [limit](Instant at) { return at > limit; }));
  }

  /// @return the share of the sound requests since an instant that were served
  double ServedShare(Instant since) const {
    std::size_t all = 0;
    std::size_t served = 0;
    for (const Sent& request : this->sent) {
      const bool counts = request.at >= since && request.ended &&
                          !HasPart(request.parts, kFatalPart);
      all += counts ? 1 : 0;
      served += counts && request.served ? 1 : 0;
    }
    return all == 0 ? 0
                    : static_cast<double>(served) / static_cast<double>(all);
  }

  FakeStore store;
  std::map<std::string, Member> members;
  std::map<std::string, Engine> engines;  ///< by address
  std::vector<Sent> sent;
  std::vector<std::pair<std::string, HttpDone>> refused;
  std::vector<std::pair<std::string, CallId>> reports;
  std::vector<Instant> crashes;
  std::vector<Instant> fatal_arrivals;  ///< at engines
  Random random{5};
  double loss_rate = 0;
  bool sends_fatal = false;
  int last_engine = 0;
  Instant now{seconds(1000)};
  Instant next_sound = kNever;
  Instant next_fatal{};
};

TEST_CASE(
    "engine crashes, one part of prompts ends engines, stop reaching "
    "engines while other requests are served",
    "[gateway][scale]") {
  for (const std::size_t count : {6U, 72U}) {
    CAPTURE(count);
    EngineCrashFixture fleet;
    fleet.AddHosts(count);
    fleet.Advance(seconds(8));
    fleet.next_sound = fleet.now;
    fleet.Advance(seconds(5));
    fleet.sends_fatal = true;
    fleet.Advance(seconds(30));
    CAPTURE(fleet.crashes.size());
    CHECK(fleet.LateArrivals() <= 3);
    fleet.Advance(seconds(5));
    CHECK(fleet.ServedShare(fleet.now - seconds(12)) > 0.98);
  }
}

TEST_CASE(
    "engine crashes, datagrams are lost and hosts start late, stop "
    "reaching engines",
    "[gateway][scale]") {
  EngineCrashFixture fleet;
  fleet.AddHosts(24);
  fleet.Advance(seconds(8));
  fleet.loss_rate = 0.1;
  fleet.next_sound = fleet.now;
  fleet.Advance(seconds(5));
  fleet.sends_fatal = true;
  fleet.Advance(seconds(15));
  for (int i = 0; i < 6; ++i) {
    fleet.StartHost("host-" + std::to_string(10100 + i),
                    static_cast<std::size_t>(i));
  }
  fleet.Advance(seconds(4));
  const std::size_t arrivals = fleet.fatal_arrivals.size();
  fleet.Advance(seconds(15));
  CHECK(fleet.fatal_arrivals.size() == arrivals);
  CHECK(fleet.LateArrivals() <= 3);
}

TEST_CASE_METHOD(EngineCrashFixture,
                 "engine crashes, a part is quarantined, its requests are "
                 "refused at once as not run and without a time to return",
                 "[gateway][scale]") {
  this->AddHosts(6);
  this->Advance(seconds(8));
  this->next_sound = this->now;
  this->sends_fatal = true;
  this->Advance(seconds(20));
  const std::size_t number = this->SendRequest("a," + kFatalPart);
  const Sent& request = this->sent[number];
  REQUIRE(request.ended);
  CHECK(request.status == 503);
  CHECK(request.body.find("request.112") != std::string::npos);
  CHECK(request.body.find("not_run") != std::string::npos);
  CHECK(request.body.find(kFatalPart) != std::string::npos);
  CHECK(FindHeader(request.headers, "Retry-After") == nullptr);
}

TEST_CASE_METHOD(EngineCrashFixture,
                 "engine crashes, all hosts start again at once, still refuse "
                 "the part until an operator releases it",
                 "[gateway][scale]") {
  this->AddHosts(24);
  this->Advance(seconds(8));
  this->next_sound = this->now;
  this->sends_fatal = true;
  this->Advance(seconds(20));
  CHECK(this->store.objects["quarantine"].count(kFatalPart) == 1);
  this->RestartAll();
  this->sends_fatal = false;
  this->Advance(seconds(1));
  const std::size_t arrivals = this->fatal_arrivals.size();
  this->sends_fatal = true;
  this->Advance(seconds(10));
  CHECK(this->fatal_arrivals.size() == arrivals);
  this->sends_fatal = false;
  CallerRequest release;
  release.id = RequestId{this->sent.size()};
  this->sent.emplace_back();
  release.method = "POST";
  release.path = "/v1/quarantine/release";
  release.body = kFatalPart;
  release.source = RequestSource::kOperator;
  this->Deliver("host-10005", release);
  this->Advance(seconds(3));
  CHECK(this->store.objects["quarantine"].empty());
  this->SendRequest(kFatalPart);
  CHECK(this->fatal_arrivals.size() == arrivals + 1);
}

TEST_CASE(
    "engine crashes, engines are lost by machine again and again, no "
    "request is refused for its parts",
    "[gateway][scale]") {
  EngineCrashFixture fleet;
  fleet.AddHosts(12);
  fleet.Advance(seconds(8));
  fleet.next_sound = fleet.now;
  for (int round = 0; round < 12; ++round) {
    fleet.Advance(milliseconds(2100));
    std::size_t lost = 0;
    for (auto& [address, engine] : fleet.engines) {
      // At times all of them at once.
      if (engine.is_up && lost++ < (round % 4 == 3 ? kEngines : 3)) {
        fleet.CrashEngine(&engine);
      }
    }
  }
  fleet.Advance(seconds(8));
  for (const EngineCrashFixture::Sent& request : fleet.sent) {
    CHECK(request.body.find("request.112") == std::string::npos);
  }
  CHECK(fleet.ServedShare(fleet.now - seconds(4)) > 0.98);
}

}  // namespace
}  // namespace limpetlink
