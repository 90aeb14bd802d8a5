// Entry hosts before workers that fall over when they have to turn many
// requests away, in virtual time.
#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "tests/hosts/gateway_group.h"

namespace limpetlink {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kWorkers = 6;
constexpr std::size_t kSlots = 6;
constexpr Duration kWork = milliseconds(200);
constexpr Duration kDownTime = seconds(3);
/// Time from the first response that says it until a worker is brittle.
constexpr Duration kConnected = seconds(4);
constexpr std::size_t kMaxRejections = 4;  ///< in a second

class BrittleWorkerFixture {
 public:
  struct Run {
    std::string host;
    CallId call;
    std::string id;
    Instant done_at = kNever;
  };
  struct Worker {
    std::string id;
    std::vector<Run> running;
    std::deque<Run> queue;
    std::deque<Instant> rejections;
    Instant down_until{};
    std::size_t falls = 0;
  };
  struct Sent {
    Instant at{};
    Instant ended_at = kNever;
    int status = 0;
  };

  explicit BrittleWorkerFixture(std::size_t hosts, std::size_t domains)
      : group(AppServiceCodec(), domains) {
    this->group.store.Write("deployments", "main", "1");
    this->group.on_step = [this] { this->Step(); };
    this->group.on_worker_call = [this](const std::string& host,
                                        const HttpCall& call) {
      this->OnWorkerCall(host, call);
    };
    this->group.can_connect = [this](const std::string&,
                                     const std::string& address) {
      return this->workers.at(address).down_until <= this->group.now;
    };
    this->group.on_cancel = [this](const std::string& host, CallId id) {
      this->OnCancel(host, id);
    };
    this->group.on_reply = [this](const Action& action) {
      if (const auto* head = std::get_if<ReplyHead>(&action)) {
        this->sent.at(head->id.value).status = head->status;
      } else if (const auto* end = std::get_if<ReplyEnd>(&action)) {
        this->sent.at(end->id.value).ended_at = this->group.now;
      }
    };
    for (std::size_t i = 0; i < kWorkers; ++i) {
      const std::string address = "10.1.0." + std::to_string(i) + ":80";
      const std::string id = "worker-" + std::to_string(i);
      this->workers[address].id = id;
      this->group.store.Write(
          "workers", id, address + " " + std::to_string(i % domains) + " 0");
    }
    this->group.AddHosts(hosts);
    this->group.Advance(seconds(8));
  }

  void SendRequest() {
    const std::size_t number = this->sent.size();
    this->sent.push_back({this->group.now, kNever, 0});
    CallerRequest request;
    request.id = RequestId{number};
    request.method = "GET";
    request.path =
        (number % 3 == 0 ? "/lookup/" : "/order/") + std::to_string(number);
    request.target = request.path;
    request.headers = {{"Host", "fleet"}, {"id", std::to_string(number)}};
    this->group.Deliver(this->group.AnyHost(), request);
  }

  /// @return requests that may wait at a worker
  std::size_t QueueSize() const {
    const bool is_brittle = this->brittle_since != kNever &&
                            this->group.now - this->brittle_since >= kConnected;
    return is_brittle ? 1 : kSlots;
  }

  Headers HeadersFor(const std::string& id) const {
    Headers headers = {{"id", id}};
    if (this->brittle_since <= this->group.now) {
      headers.push_back({"brittle", std::to_string(kMaxRejections)});
    }
    return headers;
  }

  void OnWorkerCall(const std::string& host, const HttpCall& call) {
    const std::string rest = call.url.substr(std::string("http://").size());
    Worker& worker = this->workers.at(rest.substr(0, rest.find('/')));
    if (worker.down_until > this->group.now) {
      this->ends.push_back({host, HttpDone{call.id, HttpEnd::kNotConnected}});
      return;
    }
    const std::string* id = FindHeader(call.headers, "id");
    Run run{host, call.id, id == nullptr ? "" : *id, kNever};
    if (worker.running.size() < kSlots) {
      run.done_at = this->group.now + kWork;
      worker.running.push_back(std::move(run));
    } else if (worker.queue.size() < this->QueueSize()) {
      worker.queue.push_back(std::move(run));
    } else {
      this->Reject(&worker, run);
    }
  }

  void Reject(Worker* worker, const Run& run) {
    Headers headers = this->HeadersFor(run.id);
    headers.push_back({"not-run", "yes"});
    this->ends.push_back({run.host, HttpHead{run.call, 503, headers}});
    this->ends.push_back({run.host, HttpDone{run.call, HttpEnd::kComplete}});
    ++this->rejected;
    worker->rejections.push_back(this->group.now);
    while (worker->rejections.front() <= this->group.now - seconds(1)) {
      worker->rejections.pop_front();
    }
    const bool is_brittle = this->group.now - this->brittle_since >= kConnected;
    if (is_brittle && worker->rejections.size() > kMaxRejections) {
      this->FallOver(worker);
    }
  }

  void FallOver(Worker* worker) {
    ++worker->falls;
    worker->down_until = this->group.now + kDownTime;
    worker->rejections.clear();
    for (const Run& run : worker->running) {
      this->ends.push_back({run.host, HttpDone{run.call, HttpEnd::kCut}});
    }
    for (const Run& run : worker->queue) {
      this->ends.push_back({run.host, HttpDone{run.call, HttpEnd::kCut}});
    }
    worker->running.clear();
    worker->queue.clear();
  }

  void OnCancel(const std::string& host, CallId id) {
    const auto same = [&](const Run& run) {
      return run.host == host && run.call == id;
    };
    for (auto& [address, worker] : this->workers) {
      worker.running.erase(
          std::remove_if(worker.running.begin(), worker.running.end(), same),
          worker.running.end());
      worker.queue.erase(
          std::remove_if(worker.queue.begin(), worker.queue.end(), same),
          worker.queue.end());
    }
  }

  void Step() {
    this->due += this->per_second * ToSeconds(GatewayGroup::kStep);
    for (; this->due >= 1; this->due -= 1) {
      this->SendRequest();
    }
    for (auto& [address, worker] : this->workers) {
      for (std::size_t i = 0; i < worker.running.size();) {
        if (worker.running[i].done_at > this->group.now) {
          ++i;
          continue;
        }
        const Run run = worker.running[i];
        worker.running.erase(worker.running.begin() +
                             static_cast<std::ptrdiff_t>(i));
        this->ends.push_back(
            {run.host, HttpHead{run.call, 200, this->HeadersFor(run.id)}});
        this->ends.push_back({run.host, HttpChunk{run.call, "done"}});
        this->ends.push_back(
            {run.host, HttpDone{run.call, HttpEnd::kComplete}});
      }
      while (worker.running.size() < kSlots && !worker.queue.empty()) {
        worker.running.push_back(std::move(worker.queue.front()));
        worker.running.back().done_at = this->group.now + kWork;
        worker.queue.pop_front();
      }
    }
    for (const auto& [host, event] : std::exchange(this->ends, {})) {
      this->group.Deliver(host, event);
    }
  }

  std::size_t Falls() const {
    std::size_t falls = 0;
    for (const auto& [address, worker] : this->workers) {
      falls += worker.falls;
    }
    return falls;
  }

  /// @return served requests in a second since an instant
  double ServedRate(Instant since) const {
    const auto served = std::count_if(
        this->sent.begin(), this->sent.end(), [since](const Sent& request) {
          return request.at >= since && request.status == 200;
        });
    return static_cast<double>(served) / ToSeconds(this->group.now - since);
  }

  GatewayGroup group;
  std::map<std::string, Worker> workers;  ///< by address
  std::vector<Sent> sent;
  std::vector<std::pair<std::string, Event>> ends;
  std::size_t rejected = 0;
  Instant brittle_since = kNever;
  double per_second = 0;
  double due = 0;
};

/// @brief Sends more requests than the workers take.
void CheckWorkersStayUp(std::size_t hosts, std::size_t domains,
                        double loss_rate) {
  CAPTURE(hosts, loss_rate);
  BrittleWorkerFixture fleet(hosts, domains);
  fleet.group.loss_rate = loss_rate;
  fleet.per_second = 120;
  fleet.group.Advance(seconds(3));
  fleet.brittle_since = fleet.group.now;
  fleet.group.Advance(seconds(6));
  fleet.per_second = 260;  // of 180 that the workers take
  fleet.group.Advance(seconds(15));
  CAPTURE(fleet.rejected);
  CHECK(fleet.Falls() <= 2 + kWorkers / 10);
  CHECK(fleet.ServedRate(fleet.group.now - seconds(12)) > 120);
}

TEST_CASE(
    "brittle workers, 6 hosts have more requests than they take, don't fall "
    "over and serve on",
    "[gateway]") {
  CheckWorkersStayUp(6, 3, 0);
  CheckWorkersStayUp(6, 3, 0.1);
}

TEST_CASE(
    "brittle workers, 72 hosts have more requests than they take, don't fall "
    "over and serve on",
    "[gateway][scale]") {
  CheckWorkersStayUp(72, 6, 0);
  CheckWorkersStayUp(72, 6, 0.1);
}

TEST_CASE(
    "brittle workers, are no longer brittle, get as many requests as before",
    "[gateway]") {
  BrittleWorkerFixture fleet(6, 3);
  fleet.per_second = 120;
  fleet.group.Advance(seconds(3));
  fleet.brittle_since = fleet.group.now;
  fleet.group.Advance(seconds(6));
  fleet.per_second = 260;
  fleet.group.Advance(seconds(6));
  fleet.brittle_since = kNever;
  fleet.per_second = 170;
  fleet.group.Advance(seconds(8));
  CHECK(fleet.ServedRate(fleet.group.now - seconds(3)) > 155);
}

}  // namespace
}  // namespace limpetlink
