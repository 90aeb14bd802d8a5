// Entry hosts before workers that request pauses, in virtual time: what each
// worker gets from each host in its pause.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "tests/hosts/gateway_group.h"

namespace limpetlink {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kWorkers = 3;
constexpr Duration kWork = milliseconds(30);
/// Time after its request from which a pause counts.
constexpr Duration kReaction = milliseconds(500);

class WorkerPauseFixture {
 public:
  struct Pending {
    Instant due{};
    std::string host;
    HttpCall call;
    std::string address;
    bool is_cut = false;
  };
  struct Pause {
    Instant from{};
    Instant until{};
    std::size_t arrivals = 0;
  };
  struct Sent {
    Instant at{};
    Instant ended_at = kNever;
    int status = 0;
    Headers headers;
  };

  WorkerPauseFixture(std::size_t hosts, std::size_t domains)
      : group(AppServiceCodec(), domains) {
    this->group.store.Write("deployments", "main", "1");
    this->group.on_step = [this] { this->Step(); };
    this->group.on_worker_call = [this](const std::string& host,
                                        const HttpCall& call) {
      this->OnWorkerCall(host, call);
    };
    this->group.can_connect = [this](const std::string& host,
                                     const std::string&) {
      return this->cut_hosts.count(host) == 0;
    };
    this->group.on_reply = [this](const Action& action) {
      if (const auto* head = std::get_if<ReplyHead>(&action)) {
        this->sent.at(head->id.value).status = head->status;
        this->sent.at(head->id.value).headers = head->headers;
      } else if (const auto* end = std::get_if<ReplyEnd>(&action)) {
        this->sent.at(end->id.value).ended_at = this->group.now;
      }
    };
    for (std::size_t i = 0; i < kWorkers; ++i) {
      const std::string address = AddressOf(i);
      this->group.store.Write(
          "workers", "worker-" + std::to_string(i),
          address + " " + std::to_string(i % domains) + " 0");
    }
    this->group.AddHosts(hosts);
    this->group.Advance(seconds(8));
  }

  static std::string AddressOf(std::size_t number) {
    return "10.1.0." + std::to_string(number) + ":80";
  }

  void SendRequest() {
    const std::size_t number = this->sent.size();
    this->sent.push_back({this->group.now, kNever, 0, {}});
    CallerRequest request;
    request.id = RequestId{number};
    request.method = "GET";
    request.path =
        (number % 3 == 0 ? "/lookup/" : "/order/") + std::to_string(number);
    request.target = request.path;
    request.headers = {{"Host", "fleet"}, {"id", std::to_string(number)}};
    this->group.Deliver(this->group.AnyHost(), request);
  }

  void OnWorkerCall(const std::string& host, const HttpCall& call) {
    const std::string rest = call.url.substr(std::string("http://").size());
    const std::string address = rest.substr(0, rest.find('/'));
    const bool is_cut = this->cut_hosts.count(host) > 0;
    if (!is_cut) {
      for (Pause& pause : this->pauses[{host, address}]) {
        if (this->group.now >= pause.from && this->group.now < pause.until) {
          ++pause.arrivals;
        }
      }
    }
    this->pending.push_back(
        {this->group.now + kWork, host, call, address, is_cut});
  }

  void Step() {
    this->due += this->per_second * ToSeconds(GatewayGroup::kStep);
    for (; this->due >= 1; this->due -= 1) {
      this->SendRequest();
    }
    std::vector<Pending> waiting;
    for (Pending& each : std::exchange(this->pending, {})) {
      if (each.due > this->group.now && !each.is_cut) {
        waiting.push_back(std::move(each));
      } else {
        this->Respond(each);
      }
    }
    for (Pending& each : waiting) {
      this->pending.push_back(std::move(each));
    }
  }

  void Respond(const Pending& each) {
    if (each.is_cut) {
      this->group.Deliver(each.host,
                          HttpDone{each.call.id, HttpEnd::kNotConnected});
      return;
    }
    const std::string* id = FindHeader(each.call.headers, "id");
    Headers headers = {{"id", id == nullptr ? "" : *id}};
    const auto shedding = this->pause_ms.find(each.address);
    int status = 200;
    if (shedding != this->pause_ms.end() && this->random.Fraction() < 0.7) {
      status = 503;
      headers.push_back({"not-run", "yes"});
      // Some refusals name a shorter pause, or none.
      const double kind = this->random.Fraction();
      const int pause = kind < 0.6   ? shedding->second
                        : kind < 0.8 ? shedding->second / 3
                                     : 0;
      if (pause > 0) {
        headers.push_back({"pause-ms", std::to_string(pause)});
        this->pauses[{each.host, each.address}].push_back(
            {this->group.now + kReaction, this->group.now + milliseconds(pause),
             0});
      }
    }
    this->group.Deliver(each.host, HttpHead{each.call.id, status, headers});
    this->group.Deliver(each.host, HttpDone{each.call.id, HttpEnd::kComplete});
  }

  std::size_t MostArrivals() const {
    std::size_t most = 0;
    for (const auto& [link, each] : this->pauses) {
      for (const Pause& pause : each) {
        most = std::max(most, pause.arrivals);
      }
    }
    return most;
  }

  GatewayGroup group;
  std::map<std::string, int> pause_ms;  ///< of workers that request one
  /// By host and worker.
  std::map<std::pair<std::string, std::string>, std::vector<Pause>> pauses;
  std::set<std::string> cut_hosts;
  std::vector<Sent> sent;
  std::vector<Pending> pending;
  Random random{9};
  double per_second = 0;
  double due = 0;
};

TEST_CASE(
    "worker pauses, some workers request them again and again, get at most two "
    "requests of a host in each",
    "[gateway][scale]") {
  for (const std::size_t hosts : {6U, 72U}) {
    CAPTURE(hosts);
    WorkerPauseFixture fleet(hosts, 3);
    fleet.per_second = 120;
    fleet.group.loss_rate = 0.1;
    fleet.pause_ms[WorkerPauseFixture::AddressOf(0)] = 3000;
    fleet.pause_ms[WorkerPauseFixture::AddressOf(1)] = 1200;
    fleet.group.Advance(seconds(20));
    CHECK(fleet.pauses.size() >= hosts);
    CHECK(fleet.MostArrivals() <= 2);
  }
}

TEST_CASE(
    "worker pauses, of all workers, requests are refused at once with the time "
    "after the first end",
    "[gateway]") {
  WorkerPauseFixture fleet(6, 3);
  fleet.per_second = 60;
  for (std::size_t i = 0; i < kWorkers; ++i) {
    fleet.pause_ms[WorkerPauseFixture::AddressOf(i)] = 3000;
  }
  fleet.group.Advance(seconds(12));
  CHECK(fleet.MostArrivals() <= 2);
  std::size_t refused = 0;
  for (const WorkerPauseFixture::Sent& request : fleet.sent) {
    if (request.status == 503 && request.ended_at == request.at) {
      ++refused;
      CHECK(FindHeader(request.headers, "Retry-After") != nullptr);
    }
  }
  CHECK(refused > 100);
}

TEST_CASE(
    "worker pauses, hosts that are cut off send through others, bind the hosts "
    "that relay",
    "[gateway]") {
  WorkerPauseFixture fleet(12, 3);
  fleet.per_second = 120;
  fleet.pause_ms[WorkerPauseFixture::AddressOf(0)] = 3000;
  fleet.pause_ms[WorkerPauseFixture::AddressOf(1)] = 2000;
  for (std::size_t i = 0; i < 6; ++i) {
    fleet.cut_hosts.insert(GatewayGroup::HostName(i));
  }
  fleet.group.Advance(seconds(15));
  CHECK(fleet.group.calls_between_hosts > 300);
  CHECK(fleet.MostArrivals() <= 2);
}

}  // namespace
}  // namespace limpetlink
