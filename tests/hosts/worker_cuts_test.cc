// Entry hosts that lose their links to workers while callers, the store and
// the other hosts still reach them, in virtual time.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tests/hosts/gateway_group.h"

namespace limpetlink {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kWorkers = 6;
constexpr Duration kWork = milliseconds(30);
constexpr Duration kIdleTime = seconds(4);
/// Time after which a connection whose peer is unreachable is broken.
constexpr Duration kUserTimeout = seconds(3);
/// Time from the begin of a cut until it has to be made up for.
constexpr Duration kConnected = seconds(4);

enum class CutKind {
  kReset,  ///< open connections are reset, new ones refused
  kHang,   ///< no packet arrives
  kLive,   ///< open connections work, new ones are refused
};

class WorkerCutFixture {
 public:
  struct Worker {
    std::string id;
    std::string domain;
    bool dead = false;
  };
  struct Pending {
    Instant due{};
    std::string host;
    HttpCall call;
    std::string address;
    bool is_open = true;  ///< the connection is established
    bool arrived = false;
  };
  struct Sent {
    Instant at{};
    std::string host;
    bool is_order = false;
    bool host_is_cut = false;
    Instant ended_at = kNever;
    int status = 0;
    std::string body;
    std::size_t runs = 0;
  };

  WorkerCutFixture(std::size_t hosts, std::size_t domains)
      : group(AppServiceCodec(), domains) {
    this->group.store.Write("deployments", "main", "1");
    this->group.on_step = [this] { this->Step(); };
    this->group.on_worker_call = [this](const std::string& host,
                                        const HttpCall& call) {
      this->OnWorkerCall(host, call);
    };
    this->group.on_cancel = [this](const std::string& host, CallId id) {
      this->OnCancel(host, id);
    };
    this->group.can_connect = [this](const std::string& host,
                                     const std::string& address) {
      return !this->IsCut(host, address) && !this->workers.at(address).dead;
    };
    this->group.on_reply = [this](const Action& action) {
      this->OnReply(action);
    };
    for (std::size_t i = 0; i < kWorkers; ++i) {
      const std::string address = "10.1.0." + std::to_string(i) + ":80";
      const std::string id = "worker-" + std::to_string(i);
      const std::string domain = std::to_string(i % domains);
      this->workers[address] = {id, domain, false};
      std::string registration = address;
      registration.append(" ").append(domain).append(" 0");
      this->group.store.Write("workers", id, registration);
    }
    this->group.AddHosts(hosts);
    this->group.Advance(seconds(8));
  }

  /// @brief Cuts hosts off from the workers of the domains; all by default.
  void Cut(CutKind kind, const std::set<std::string>& hosts,
           const std::set<std::string>& of_domains = {}) {
    this->kind = kind;
    this->cut_hosts = hosts;
    this->cut_domains = of_domains;
    this->cut_at = this->group.now;
    std::vector<std::pair<std::string, CallId>> reset;
    for (Pending& each : this->pending) {
      if (!this->IsCut(each.host, each.address)) {
        continue;
      }
      if (kind == CutKind::kReset) {
        reset.emplace_back(each.host, each.call.id);
      } else if (kind == CutKind::kHang) {
        each.due = this->group.now + kUserTimeout;
      }
    }
    if (kind == CutKind::kReset) {
      for (auto& [connection, until] : this->idle) {
        if (this->IsCut(connection.first, connection.second)) {
          until.clear();
        }
      }
    }
    for (const auto& [host, id] : reset) {
      if (this->Remove(host, id)) {
        this->group.Deliver(host, HttpDone{id, HttpEnd::kCut});
      }
    }
  }

  void Heal() {
    this->cut_hosts.clear();
    this->healed_at = this->group.now;
  }

  std::set<std::string> HostsFrom(std::size_t first, std::size_t count,
                                  std::size_t step = 1) const {
    std::set<std::string> hosts;
    for (std::size_t i = 0; i < count; ++i) {
      hosts.insert(GatewayGroup::HostName(first + i * step));
    }
    return hosts;
  }

  bool IsCut(const std::string& host, const std::string& address) const {
    return this->cut_hosts.count(host) > 0 &&
           (this->cut_domains.empty() ||
            this->cut_domains.count(this->workers.at(address).domain) > 0);
  }

  void SendRequest() {
    const std::size_t number = this->sent.size();
    const std::string host = this->group.AnyHost();
    const bool is_order = number % 3 != 0;
    this->sent.push_back({this->group.now,
                          host,
                          is_order,
                          this->cut_hosts.count(host) > 0,
                          kNever,
                          0,
                          {},
                          0});
    CallerRequest request;
    request.id = RequestId{number};
    request.method = "GET";
    request.path = (is_order ? "/order/" : "/lookup/") + std::to_string(number);
    request.target = request.path;
    request.headers = {{"Host", "fleet"}, {"id", std::to_string(number)}};
    this->group.Deliver(host, request);
  }

  static std::string AddressOf(const HttpCall& call) {
    const std::string rest = call.url.substr(std::string("http://").size());
    return rest.substr(0, rest.find('/'));
  }

  /// @return whether an idle connection was taken
  bool TakeIdle(const std::string& host, const std::string& address) {
    std::vector<Instant>& until = this->idle[{host, address}];
    while (!until.empty()) {
      const bool usable = until.back() > this->group.now;
      until.pop_back();
      if (usable) {
        return true;
      }
    }
    return false;
  }

  void OnWorkerCall(const std::string& host, const HttpCall& call) {
    const std::string address = AddressOf(call);
    const bool is_dead = this->workers.at(address).dead;
    const bool is_cut = this->IsCut(host, address);
    const bool has_idle = !is_dead && this->TakeIdle(host, address);
    Pending pending{this->group.now + kWork, host, call, address, true, false};
    if (is_dead) {
      pending.is_open = false;
      pending.due = this->group.now;
    } else if (is_cut && !has_idle) {
      pending.is_open = false;
      pending.due =
          this->group.now +
          (this->kind == CutKind::kHang ? call.connect_timeout : Duration{0});
    } else if (is_cut && this->kind == CutKind::kHang) {
      pending.due = this->group.now + kUserTimeout;
    } else {
      pending.arrived = true;
      if (const std::string* id = FindHeader(call.headers, "id")) {
        ++this->sent.at(std::stoul(*id)).runs;
      }
    }
    ++this->calls_by_host[host];
    this->pending.push_back(std::move(pending));
  }

  bool Remove(const std::string& host, CallId id) {
    const auto found = std::find_if(
        this->pending.begin(), this->pending.end(), [&](const Pending& each) {
          return each.host == host && each.call.id == id;
        });
    if (found == this->pending.end()) {
      return false;
    }
    this->pending.erase(found);
    return true;
  }

  void OnCancel(const std::string& host, CallId id) { this->Remove(host, id); }

  void OnReply(const Action& action) {
    if (const auto* head = std::get_if<ReplyHead>(&action)) {
      this->sent.at(head->id.value).status = head->status;
    } else if (const auto* body = std::get_if<ReplyBody>(&action)) {
      this->sent.at(body->id.value).body += body->bytes;
    } else if (const auto* end = std::get_if<ReplyEnd>(&action)) {
      this->sent.at(end->id.value).ended_at = this->group.now;
    }
  }

  void Step() {
    this->due += this->per_second * ToSeconds(GatewayGroup::kStep);
    for (; this->due >= 1; this->due -= 1) {
      this->SendRequest();
    }
    std::vector<Pending> ready;
    for (std::size_t i = 0; i < this->pending.size();) {
      if (this->pending[i].due > this->group.now) {
        ++i;
        continue;
      }
      ready.push_back(std::move(this->pending[i]));
      this->pending.erase(this->pending.begin() +
                          static_cast<std::ptrdiff_t>(i));
    }
    for (const Pending& each : ready) {
      this->Finish(each);
    }
  }

  void Finish(const Pending& each) {
    if (!each.is_open) {
      this->group.Deliver(each.host,
                          HttpDone{each.call.id, HttpEnd::kNotConnected});
      return;
    }
    const bool silent =
        this->IsCut(each.host, each.address) && this->kind == CutKind::kHang;
    if (silent || !each.arrived) {
      this->group.Deliver(each.host, HttpDone{each.call.id, HttpEnd::kCut});
      return;
    }
    this->idle[{each.host, each.address}].push_back(this->group.now +
                                                    kIdleTime);
    Headers headers;
    if (const std::string* id = FindHeader(each.call.headers, "id")) {
      headers = {{"id", *id}};
    }
    this->group.Deliver(each.host, HttpHead{each.call.id, 200, headers});
    this->group.Deliver(each.host, HttpChunk{each.call.id, "done"});
    this->group.Deliver(each.host, HttpDone{each.call.id, HttpEnd::kComplete});
  }

  /// @brief First tries within a span: how many, and how many were served.
  std::pair<double, double> Count(bool at_cut_hosts, Instant from,
                                  Instant to) const {
    std::pair<double, double> count;
    for (const Sent& request : this->sent) {
      if (request.at < from || request.at >= to ||
          request.host_is_cut != at_cut_hosts) {
        continue;
      }
      ++count.first;
      count.second += request.status == 200 ? 1 : 0;
    }
    return count;
  }

  double ServedShare(bool at_cut_hosts, Instant from, Instant to) const {
    const auto [all, served] = this->Count(at_cut_hosts, from, to);
    return all == 0 ? 1 : served / all;
  }

  /// @return requests that broke a promise: an order that ran twice, or one
  /// that ran though its caller was told that it did not
  std::size_t BrokenPromises() const {
    return static_cast<std::size_t>(std::count_if(
        this->sent.begin(), this->sent.end(), [](const Sent& request) {
          const bool denied = request.status == 503 && request.runs > 0;
          return request.is_order && (request.runs > 1 || denied);
        }));
  }

  Duration SlowestServed(bool at_cut_hosts, Instant from) const {
    Duration slowest{0};
    for (const Sent& request : this->sent) {
      if (request.at >= from && request.host_is_cut == at_cut_hosts &&
          request.status == 200) {
        slowest = std::max(slowest, request.ended_at - request.at);
      }
    }
    return slowest;
  }

  GatewayGroup group;
  std::map<std::string, Worker> workers;  ///< by address
  std::vector<Sent> sent;
  std::vector<Pending> pending;
  /// Ends of the idle time of connections, by host and address.
  std::map<std::pair<std::string, std::string>, std::vector<Instant>> idle;
  std::map<std::string, std::size_t> calls_by_host;
  std::set<std::string> cut_hosts;
  std::set<std::string> cut_domains;
  CutKind kind = CutKind::kReset;
  Instant cut_at{};
  Instant healed_at{};
  double per_second = 0;
  double due = 0;
};

constexpr CutKind kCutKinds[] = {CutKind::kReset, CutKind::kHang,
                                 CutKind::kLive};

/// @brief Cuts the sets of hosts off from all workers, one after the other.
void CheckHostsServeThroughCuts(
    WorkerCutFixture* fleet, CutKind kind,
    const std::vector<std::set<std::string>>& cuts) {
  fleet->per_second = 100;
  fleet->group.loss_rate = 0.1;
  fleet->group.Advance(seconds(3));
  for (const std::set<std::string>& cut : cuts) {
    CAPTURE(static_cast<int>(kind), cut.size());
    fleet->Cut(kind, cut);
    fleet->group.Advance(seconds(10));
    fleet->Heal();
    const Instant from = fleet->cut_at + kConnected;
    const double others = fleet->ServedShare(false, from, fleet->healed_at);
    CHECK(others > 0.98);
    CHECK(fleet->ServedShare(true, from, fleet->healed_at) >= 0.95 * others);
    fleet->group.Advance(seconds(5));
    CHECK(fleet->ServedShare(false, fleet->healed_at + seconds(2),
                             fleet->group.now - seconds(1)) > 0.98);
  }
  CHECK(fleet->BrokenPromises() == 0);
}

/// @return one host, a third and two thirds of them, and a failure domain
std::vector<std::set<std::string>> UsualCuts(const WorkerCutFixture& fleet,
                                             std::size_t hosts,
                                             std::size_t domains) {
  return {fleet.HostsFrom(1, 1), fleet.HostsFrom(0, hosts / 3),
          fleet.HostsFrom(0, hosts * 2 / 3),
          fleet.HostsFrom(1, hosts / domains, domains)};
}

TEST_CASE(
    "worker cuts, some of 6 hosts lose their links to all workers, callers of "
    "these hosts are served as elsewhere",
    "[gateway]") {
  for (const CutKind kind : kCutKinds) {
    WorkerCutFixture fleet(6, 3);
    CheckHostsServeThroughCuts(&fleet, kind, UsualCuts(fleet, 6, 3));
  }
}

TEST_CASE(
    "worker cuts, some of 72 hosts lose their links to all workers, which "
    "are reset, callers of these hosts are served as elsewhere",
    "[gateway][scale]") {
  WorkerCutFixture fleet(72, 6);
  CheckHostsServeThroughCuts(&fleet, CutKind::kReset, UsualCuts(fleet, 72, 6));
}

TEST_CASE(
    "worker cuts, some of 72 hosts lose their links to all workers, which "
    "hang, callers of these hosts are served as elsewhere",
    "[gateway][scale]") {
  WorkerCutFixture fleet(72, 6);
  CheckHostsServeThroughCuts(&fleet, CutKind::kHang, UsualCuts(fleet, 72, 6));
}

TEST_CASE(
    "worker cuts, some of 72 hosts lose their links to all workers, which "
    "live on, callers of these hosts are served as elsewhere",
    "[gateway][scale]") {
  WorkerCutFixture fleet(72, 6);
  CheckHostsServeThroughCuts(&fleet, CutKind::kLive, UsualCuts(fleet, 72, 6));
}

TEST_CASE(
    "worker cuts, some of 300 hosts lose their links to all workers, which "
    "are reset, callers of these hosts are served as elsewhere",
    "[gateway][scale]") {
  WorkerCutFixture fleet(300, 6);
  CheckHostsServeThroughCuts(&fleet, CutKind::kReset,
                             {UsualCuts(fleet, 300, 6)[1]});
}

TEST_CASE(
    "worker cuts, some of 300 hosts lose their links to all workers, which "
    "hang, callers of these hosts are served as elsewhere",
    "[gateway][scale]") {
  WorkerCutFixture fleet(300, 6);
  CheckHostsServeThroughCuts(&fleet, CutKind::kHang,
                             {UsualCuts(fleet, 300, 6)[2]});
}

TEST_CASE(
    "worker cuts, some of 300 hosts lose their links to all workers, which "
    "live on, callers of these hosts are served as elsewhere",
    "[gateway][scale]") {
  WorkerCutFixture fleet(300, 6);
  CheckHostsServeThroughCuts(&fleet, CutKind::kLive,
                             {UsualCuts(fleet, 300, 6)[3]});
}

TEST_CASE(
    "worker cuts, all hosts lose their links, requests are refused at once "
    "and served again within 2 s of the heal",
    "[gateway]") {
  for (const CutKind kind : {CutKind::kReset, CutKind::kHang, CutKind::kLive}) {
    for (const std::size_t hosts : {6U, 72U}) {
      CAPTURE(static_cast<int>(kind), hosts);
      WorkerCutFixture fleet(hosts, 3);
      fleet.per_second = 60;
      fleet.group.Advance(seconds(3));
      fleet.Cut(kind, fleet.HostsFrom(0, hosts));
      fleet.group.Advance(seconds(12));
      fleet.Heal();
      // The fleet needs some requests to find out that there is no way.
      const Instant known = fleet.cut_at + seconds(8);
      std::size_t slow = 0;
      for (const WorkerCutFixture::Sent& request : fleet.sent) {
        // Later ones are still in progress.
        const bool counts = request.at >= known && request.status != 200 &&
                            request.at < fleet.healed_at - milliseconds(100);
        slow += counts && request.ended_at - request.at > milliseconds(100);
      }
      CHECK(slow == 0);
      fleet.group.Advance(seconds(5));
      CHECK(fleet.ServedShare(false, fleet.healed_at + seconds(2),
                              fleet.group.now - seconds(1)) > 0.98);
      CHECK(fleet.BrokenPromises() == 0);
    }
  }
}

TEST_CASE(
    "worker cuts, a host loses its links to the workers of some domains, its "
    "callers are served as elsewhere",
    "[gateway]") {
  for (const CutKind kind : {CutKind::kReset, CutKind::kHang, CutKind::kLive}) {
    CAPTURE(static_cast<int>(kind));
    WorkerCutFixture fleet(12, 3);
    fleet.per_second = 100;
    fleet.group.Advance(seconds(3));
    fleet.Cut(kind, fleet.HostsFrom(0, 6), {"0", "1"});
    fleet.group.Advance(seconds(10));
    fleet.Heal();
    const Instant from = fleet.cut_at + kConnected;
    CHECK(fleet.ServedShare(true, from, fleet.healed_at) >=
          0.95 * fleet.ServedShare(false, from, fleet.healed_at));
    CHECK(fleet.BrokenPromises() == 0);
  }
}

TEST_CASE("worker cuts, of one second each two seconds, callers are served",
          "[gateway]") {
  for (const CutKind kind : {CutKind::kReset, CutKind::kLive}) {
    CAPTURE(static_cast<int>(kind));
    WorkerCutFixture fleet(12, 3);
    fleet.per_second = 100;
    fleet.group.Advance(seconds(3));
    const Instant from = fleet.group.now + kConnected;
    for (int i = 0; i < 10; ++i) {
      fleet.Cut(kind, fleet.HostsFrom(0, 4));
      fleet.group.Advance(seconds(1));
      fleet.Heal();
      fleet.group.Advance(seconds(1));
    }
    CHECK(fleet.ServedShare(true, from, fleet.group.now) > 0.95);
    CHECK(fleet.BrokenPromises() == 0);
  }
}

}  // namespace
}  // namespace limpetlink
