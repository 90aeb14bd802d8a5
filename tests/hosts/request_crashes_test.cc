// Entry hosts before an application service whose workers some request ends, in
// virtual time: how often it reaches workers, and what others are served.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tests/hosts/gateway_group.h"

namespace limpetlink {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kDomains = 6;
constexpr std::size_t kWorkers = 6;
constexpr Duration kWork = milliseconds(30);
constexpr Duration kTimeToCrash = milliseconds(20);
constexpr Duration kRestart = seconds(3);
/// A registration without a sign of life is removed after this time.
constexpr Duration kExpiry = milliseconds(3500);
/// Time in which all hosts have to know of the third crash.
constexpr Duration kReactionTime = seconds(4);

const std::string kFatalBody = "fatal";

class RequestCrashFixture {
 public:
  struct Run {
    std::string host;
    HttpCall call;
    Instant started{};
  };
  struct Worker {
    std::string id;
    bool is_up = true;
    Instant restarts_at = kNever;
    Instant expires_at = kNever;
    std::vector<Run> runs;
  };
  struct Sent {
    std::string body;
    Instant at{};
    bool ended = false;
    int status = 0;
    std::string reply;
    Headers headers;
  };

  explicit RequestCrashFixture(std::size_t hosts)
      : group(AppServiceCodec(), kDomains) {
    this->group.store.Write("deployments", "main", "1");
    this->group.on_step = [this] { this->Step(); };
    this->group.on_worker_call = [this](const std::string& host,
                                        const HttpCall& call) {
      this->OnWorkerCall(host, call);
    };
    this->group.on_cancel = [this](const std::string& host, CallId id) {
      for (auto& [address, worker] : this->workers) {
        auto& runs = worker.runs;
        runs.erase(std::remove_if(runs.begin(), runs.end(),
                                  [&](const Run& run) {
                                    return run.host == host &&
                                           run.call.id == id;
                                  }),
                   runs.end());
      }
    };
    this->group.on_reply = [this](const Action& action) {
      this->OnReply(action);
    };
    for (std::size_t i = 0; i < kWorkers; ++i) {
      this->StartWorker("10.1.0." + std::to_string(i) + ":80");
    }
    this->group.AddHosts(hosts);
    this->group.Advance(seconds(8));
  }

  void StartWorker(const std::string& address) {
    const std::string id = "worker-" + std::to_string(++this->last_worker);
    this->workers[address] = Worker{id, true, kNever, kNever, {}};
    const std::string domain = address.substr(address.rfind('.') + 1, 1);
    const auto started_at = std::chrono::duration_cast<milliseconds>(
        this->group.now.time_since_epoch());
    this->group.store.Write(
        "workers", id,
        address + " " + domain + " " + std::to_string(started_at.count()));
  }

  /// @brief Ends a worker with all its runs; it returns some seconds later
  /// with another id.
  void CrashWorker(Worker* worker) {
    worker->is_up = false;
    worker->restarts_at = this->group.now + kRestart;
    worker->expires_at = this->group.now + kExpiry;
    for (const Run& run : std::exchange(worker->runs, {})) {
      this->group.Deliver(run.host, HttpDone{run.call.id, HttpEnd::kCut});
    }
  }

  std::size_t SendRequest(const std::string& path, const std::string& body) {
    const std::size_t number = this->sent.size();
    this->sent.push_back({body, this->group.now, false, 0, {}, {}});
    CallerRequest request;
    request.id = RequestId{number};
    request.method = "POST";
    request.path = path;
    request.target = path;
    request.body = body;
    request.headers = {{"Host", "fleet"}, {"id", std::to_string(number)}};
    this->group.Deliver(this->group.AnyHost(), request);
    return number;
  }

  std::size_t SendFatal() {
    return this->SendRequest(this->fatal_path, kFatalBody);
  }

  std::string AskOperatorPage(const std::string& method,
                              const std::string& path,
                              const std::string& body) {
    CallerRequest request;
    request.id = RequestId{this->sent.size()};
    this->sent.emplace_back();
    request.method = method;
    request.path = path;
    request.body = body;
    request.source = RequestSource::kOperator;
    this->group.Deliver(GatewayGroup::HostName(5), request);
    return this->sent.back().reply;
  }

  void OnWorkerCall(const std::string& host, const HttpCall& call) {
    const std::string rest = call.url.substr(std::string("http://").size());
    const std::string address = rest.substr(0, rest.find('/'));
    const auto found = this->workers.find(address);
    if (found == this->workers.end() || !found->second.is_up) {
      this->refused.push_back(
          {host, HttpDone{call.id, HttpEnd::kNotConnected}});
      return;
    }
    if (call.body == kFatalBody) {
      this->fatal_arrivals.push_back(this->group.now);
    }
    found->second.runs.push_back({host, call, this->group.now});
  }

  void OnReply(const Action& action) {
    if (const auto* head = std::get_if<ReplyHead>(&action)) {
      this->sent[head->id.value].status = head->status;
      this->sent[head->id.value].headers = head->headers;
    } else if (const auto* body = std::get_if<ReplyBody>(&action)) {
      this->sent[body->id.value].reply += body->bytes;
    } else if (const auto* end = std::get_if<ReplyEnd>(&action)) {
      Sent& request = this->sent[end->id.value];
      request.ended = true;
      const bool comes_again = request.body == kFatalBody &&
                               request.status == 502 && this->sends_fatal;
      if (comes_again) {
        this->next_fatal =
            std::min(this->next_fatal, this->group.now + milliseconds(60));
      }
    }
  }

  void Answer(const Run& run) {
    const bool is_report = run.call.url.find("/report") != std::string::npos;
    Headers headers;
    if (!is_report) {
      headers = {{"id", *FindHeader(run.call.headers, "id")}};
    }
    this->group.Deliver(run.host,
                        HttpHead{run.call.id, is_report ? 404 : 200, headers});
    this->group.Deliver(run.host, HttpChunk{run.call.id, "done"});
    this->group.Deliver(run.host, HttpDone{run.call.id, HttpEnd::kComplete});
  }

  void AdvanceWorker(const std::string& address, Worker* worker) {
    const Instant now = this->group.now;
    if (worker->expires_at <= now) {
      this->group.store.Delete("workers", worker->id);
      worker->expires_at = kNever;
    }
    if (!worker->is_up) {
      if (worker->restarts_at <= now && worker->expires_at == kNever) {
        this->StartWorker(address);
      }
      return;
    }
    const bool crashes = std::any_of(worker->runs.begin(), worker->runs.end(),
                                     [now](const Run& run) {
                                       return run.call.body == kFatalBody &&
                                              now - run.started >= kTimeToCrash;
                                     });
    if (crashes) {
      this->crashes.push_back(now);
      this->CrashWorker(worker);
      return;
    }
    std::vector<Run> done;
    const auto ended = std::stable_partition(
        worker->runs.begin(), worker->runs.end(),
        [now](const Run& run) { return now - run.started < kWork; });
    std::move(ended, worker->runs.end(), std::back_inserter(done));
    worker->runs.erase(ended, worker->runs.end());
    for (const Run& run : done) {
      this->Answer(run);
    }
  }

  void Step() {
    const Instant now = this->group.now;
    if (this->next_sound <= now) {
      this->next_sound = now + milliseconds(20);
      const std::size_t kind = this->group.random.Below(3);
      if (kind == 0) {
        this->SendRequest("/order/1",
                          "order " + std::to_string(this->sent.size()));
      } else {
        // A few lookups that many callers repeat.
        this->SendRequest(
            "/lookup/1",
            "lookup " + std::to_string(this->group.random.Below(4)));
      }
    }
    if (this->sends_fatal && this->next_fatal <= now) {
      this->next_fatal =
          now + milliseconds(200 + this->group.random.Below(900));
      this->SendFatal();
    }
    for (auto& [host, done] : std::exchange(this->refused, {})) {
      this->group.Deliver(host, done);
    }
    for (auto& [address, worker] : this->workers) {
      this->AdvanceWorker(address, &worker);
    }
  }

  /// @return arrivals of the fatal request later than the reaction time after
  /// the third crash
  std::size_t LateArrivals() const {
    constexpr std::size_t kAllowedCrashes = 3;
    if (this->crashes.size() < kAllowedCrashes) {
      return 0;
    }
    const Instant limit = this->crashes[kAllowedCrashes - 1] + kReactionTime;
    return static_cast<std::size_t>(
        std::count_if(this->fatal_arrivals.begin(), this->fatal_arrivals.end(),
                      [limit](Instant at) { return at > limit; }));
  }

  double ServedShare(Instant since) const {
    double all = 0;
    double served = 0;
    for (const Sent& request : this->sent) {
      const bool counts =
          request.at >= since && request.ended && request.body != kFatalBody;
      all += counts ? 1 : 0;
      served += counts && request.status == 200 ? 1 : 0;
    }
    return all == 0 ? 0 : served / all;
  }

  std::size_t QuarantinedSoundRequests() const {
    return static_cast<std::size_t>(std::count_if(
        this->sent.begin(), this->sent.end(), [](const Sent& request) {
          return request.body != kFatalBody &&
                 request.reply.find("request.112") != std::string::npos;
        }));
  }

  GatewayGroup group;
  std::map<std::string, Worker> workers;  ///< by address
  std::vector<Sent> sent;
  std::vector<std::pair<std::string, HttpDone>> refused;
  std::vector<Instant> crashes;
  std::vector<Instant> fatal_arrivals;  ///< at workers
  std::string fatal_path = "/lookup/fatal";
  bool sends_fatal = false;
  int last_worker = 0;
  Instant next_sound = kNever;
  Instant next_fatal{};
};

TEST_CASE(
    "request crashes, a request that comes again ends workers, stops reaching "
    "them while others are served",
    "[gateway][scale]") {
  for (const char* path : {"/lookup/fatal", "/order/fatal"}) {
    for (const std::size_t hosts : {6U, 72U}) {
      CAPTURE(path, hosts);
      RequestCrashFixture fleet(hosts);
      fleet.fatal_path = path;
      fleet.next_sound = fleet.group.now;
      fleet.group.Advance(seconds(5));
      fleet.sends_fatal = true;
      fleet.group.Advance(seconds(30));
      CAPTURE(fleet.crashes.size());
      CHECK(fleet.LateArrivals() <= 3);
      CHECK(fleet.QuarantinedSoundRequests() == 0);
      fleet.group.Advance(seconds(5));
      CHECK(fleet.ServedShare(fleet.group.now - seconds(12)) > 0.98);
    }
  }
}

TEST_CASE(
    "request crashes, datagrams are lost and hosts start late or all at once, "
    "the request stops reaching workers",
    "[gateway][scale]") {
  RequestCrashFixture fleet(24);
  fleet.group.loss_rate = 0.1;
  fleet.next_sound = fleet.group.now;
  fleet.sends_fatal = true;
  fleet.group.Advance(seconds(15));
  for (std::size_t i = 24; i < 30; ++i) {
    fleet.group.StartHost(i);
  }
  fleet.group.Advance(seconds(4));
  const std::size_t arrivals = fleet.fatal_arrivals.size();
  fleet.group.Advance(seconds(15));
  CHECK(fleet.fatal_arrivals.size() == arrivals);
  CHECK(fleet.LateArrivals() <= 3);
  fleet.sends_fatal = false;
  for (auto& [address, worker] : fleet.workers) {
    worker.runs.clear();
  }
  for (std::size_t i = 0; i < 30; ++i) {
    fleet.group.StartHost(i);
  }
  fleet.group.Advance(seconds(1));
  fleet.sends_fatal = true;
  fleet.group.Advance(seconds(10));
  CHECK(fleet.fatal_arrivals.size() == arrivals);
}

TEST_CASE(
    "request crashes, a request is quarantined, its repeats are refused as not "
    "run until an operator releases it",
    "[gateway][scale]") {
  RequestCrashFixture fleet(6);
  fleet.next_sound = fleet.group.now;
  fleet.fatal_path = "/order/fatal";
  fleet.sends_fatal = true;
  fleet.group.Advance(seconds(20));
  fleet.sends_fatal = false;
  // The ones that ended workers may have run.
  const auto first = std::find_if(
      fleet.sent.begin(), fleet.sent.end(),
      [](const auto& request) { return request.body == kFatalBody; });
  CHECK(first->status == 502);
  CHECK(first->reply.find("unknown") != std::string::npos);
  const std::size_t repeat = fleet.SendFatal();
  REQUIRE(fleet.sent[repeat].ended);
  CHECK(fleet.sent[repeat].status == 503);
  CHECK(fleet.sent[repeat].reply.find("request.112") != std::string::npos);
  CHECK(fleet.sent[repeat].reply.find("not_run") != std::string::npos);
  CHECK(FindHeader(fleet.sent[repeat].headers, "Retry-After") == nullptr);
  // Another body, caller or path is another request.
  const std::size_t other = fleet.SendRequest("/order/fatal", "sound");
  fleet.group.Advance(seconds(1));
  CHECK(fleet.sent[other].status == 200);
  const std::string page = fleet.AskOperatorPage("GET", "/v1/quarantine", "");
  const std::size_t at = page.find("request-");
  REQUIRE(at != std::string::npos);
  const std::string id = page.substr(at, page.find('"', at) - at);
  CHECK(fleet.AskOperatorPage("POST", "/v1/quarantine/release", id) ==
        "released\n");
  fleet.group.Advance(seconds(3));
  const std::size_t arrivals = fleet.fatal_arrivals.size();
  fleet.SendFatal();
  CHECK(fleet.fatal_arrivals.size() == arrivals + 1);
}

TEST_CASE(
    "request crashes, workers are lost by machine again and again, no request "
    "is refused for it",
    "[gateway][scale]") {
  RequestCrashFixture fleet(12);
  fleet.next_sound = fleet.group.now;
  for (int round = 0; round < 12; ++round) {
    fleet.group.Advance(milliseconds(2100));
    std::size_t lost = 0;
    for (auto& [address, worker] : fleet.workers) {
      // At times all of them at once.
      if (worker.is_up && lost++ < (round % 4 == 3 ? kWorkers : 2)) {
        fleet.CrashWorker(&worker);
      }
    }
  }
  fleet.group.Advance(seconds(8));
  CHECK(fleet.QuarantinedSoundRequests() == 0);
  CHECK(fleet.ServedShare(fleet.group.now - seconds(4)) > 0.98);
}

TEST_CASE(
    "request crashes, neighbours of the request that ends workers come again "
    "with it, are not refused",
    "[gateway][scale]") {
  RequestCrashFixture fleet(6);
  fleet.next_sound = fleet.group.now;
  std::vector<std::size_t> neighbours;
  for (int i = 0; i < 40; ++i) {
    fleet.group.Advance(milliseconds(700));
    fleet.SendFatal();
    // Runs beside it at some worker nearly always.
    for (int copy = 0; copy < 4; ++copy) {
      neighbours.push_back(fleet.SendRequest("/lookup/hot", "hot"));
    }
  }
  fleet.group.Advance(seconds(5));
  CHECK(fleet.LateArrivals() <= 3);
  CHECK(fleet.QuarantinedSoundRequests() == 0);
  CHECK(fleet.sent[neighbours.back()].status == 200);
}

}  // namespace
}  // namespace limpetlink
