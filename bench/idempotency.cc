/// @file
/// @brief Measures calls, batch sizes, latency and processor time of the
/// idempotency log in virtual time.
///
/// Usage: limpet-bench-idempotency
#include "idempotency/idempotency.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace limpetlink {
namespace {

constexpr std::int64_t kUnixMs = 1800000000000;
constexpr Duration kRun = std::chrono::seconds(60);

struct BenchCase {
  const char* name;
  int hosts;                 ///< each may write to every shard
  double orders_per_second;  ///< of all hosts
  Duration write_interval;
  std::uint32_t shards = 8;
};

/// Simulates hosts that share an object API with a latency of 2 to 8 ms;
/// orders take 100 ms.
class LogBench {
 public:
  explicit LogBench(const BenchCase& bench) : bench(bench) {
    for (int i = 0; i < bench.hosts; ++i) {
      LogOptions options;
      options.writer = "h" + std::to_string(i);
      options.write_interval = bench.write_interval;
      options.shards = bench.shards;
      this->hosts.push_back(std::make_unique<IdempotencyLog>(options));
      const std::size_t host = this->hosts.size() - 1;
      this->Step(host, SetLogClock{kUnixMs});
      this->Step(host, LoadShards{});
    }
  }

  void Run() {
    const auto start = std::chrono::steady_clock::now();
    this->ScheduleNextRequest();
    while (!this->tasks.empty() &&
           this->tasks.begin()->first.first < Instant{} + kRun) {
      auto node = this->tasks.extract(this->tasks.begin());
      this->now = node.key().first;
      node.mapped()();
    }
    this->Print(
        std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
            .count());
  }

 private:
  using Task = std::function<void()>;

  void ScheduleAt(Instant when, Task task) {
    this->tasks.emplace(std::pair(when, this->next_task++), std::move(task));
  }

  void ScheduleNextRequest() {
    const double gap = -std::log(1.0 - this->random.Fraction()) /
                       this->bench.orders_per_second;
    this->ScheduleAt(this->now + FromSeconds(gap), [this] {
      this->SubmitRequest();
      this->ScheduleNextRequest();
    });
  }

  void SubmitRequest() {
    const std::size_t host = this->random.Below(this->hosts.size());
    const RequestId request{++this->orders};
    this->sent[request] = this->now;
    ClaimKey claim;
    claim.request = request;
    claim.organisation = {"syrtos"};
    claim.key = "booking-" + std::to_string(request.value);
    claim.body_digest = "d41d8cd98f00b204e9800998ecf8427e";
    claim.deadline = this->now + std::chrono::seconds(30);
    claim.attempt = ClaimAttempt::kFirst;
    this->Step(host, claim);
  }

  void Step(std::size_t host, const LogMessage& message) {
    for (const LogAction& action :
         this->hosts[host]->Step(this->now, message)) {
      this->ExecuteAction(host, action);
    }
    const Instant due = this->hosts[host]->NextWakeup();
    if (due != kNever) {
      this->ScheduleAt(std::max(due, this->now), [this, host, due] {
        if (this->hosts[host]->NextWakeup() == due) {
          this->Step(host, LogTick{});
        }
      });
    }
  }

  void ExecuteAction(std::size_t host, const LogAction& action) {
    LogOperationResult result;
    if (const auto* create = std::get_if<LogCreate>(&action)) {
      ++this->writes;
      result.operation = create->operation;
      const bool created =
          this->objects.emplace(create->name, create->bytes).second;
      result.status =
          created ? LogOperationStatus::kCreated : LogOperationStatus::kExists;
    } else if (const auto* read = std::get_if<LogRead>(&action)) {
      ++this->reads;
      result.operation = read->operation;
      const auto found = this->objects.find(read->name);
      const bool exists = found != this->objects.end();
      result.status =
          exists ? LogOperationStatus::kFound : LogOperationStatus::kAbsent;
      result.bytes = exists ? found->second : "";
    } else if (const auto* list = std::get_if<LogList>(&action)) {
      ++this->reads;
      result.operation = list->operation;
      result.status = LogOperationStatus::kListed;
      for (auto it = this->objects.lower_bound(list->prefix);
           it != this->objects.end() && it->first.rfind(list->prefix, 0) == 0;
           ++it) {
        result.names.push_back(it->first);
      }
    } else if (const auto* erase = std::get_if<LogDelete>(&action)) {
      ++this->deletes;
      this->objects.erase(erase->name);
      return;
    } else {
      this->HandleAction(host, action);
      return;
    }
    const auto delay =
        std::chrono::microseconds(2000 + this->random.Below(6000));
    this->ScheduleAt(this->now + delay,
                     [this, host, result] { this->Step(host, result); });
  }

  void HandleAction(std::size_t host, const LogAction& action) {
    if (const auto* dispatch = std::get_if<DispatchClaim>(&action)) {
      const RequestId request = dispatch->request;
      this->waits.push_back(ToSeconds(this->now - this->sent.at(request)));
      this->ScheduleAt(
          this->now + std::chrono::milliseconds(100), [this, host, request] {
            StoredOutcome outcome;
            outcome.status = 201;
            outcome.headers = {{"Content-Type", "application/json"}};
            outcome.body = std::string(120, 'x');
            this->Step(host, RecordOutcome{request, outcome});
          });
    } else if (std::holds_alternative<RefuseClaim>(action)) {
      ++this->refused;
    }
  }

  double Quantile(double fraction) const {
    const auto rank = static_cast<std::size_t>(
        fraction * static_cast<double>(this->waits.size() - 1));
    return this->waits[rank] * 1000;
  }

  void Print(double elapsed) {
    std::sort(this->waits.begin(), this->waits.end());
    LogCounts sum;
    std::size_t keys = 0;
    for (const auto& host : this->hosts) {
      const LogCounts counts = host->Counts();
      sum.segments += counts.segments;
      sum.records += counts.records;
      sum.collisions += counts.collisions;
      sum.stale_views += counts.stale_views;
      sum.checkpoints += counts.checkpoints;
      for (std::uint32_t i = 0; i < this->bench.shards; ++i) {
        keys += host->Shard(i).Keys().Size();
      }
    }
    const double seconds = ToSeconds(kRun);
    const auto rate = [&](std::uint64_t count) {
      return static_cast<double>(count) / seconds;
    };
    std::printf(
        "%-34s %6.1f orders/s %6.1f writes/s %7.1f reads/s %5.1f deletes/s "
        "%5.2f records/segment %6llu collisions %4llu refused, wait p50 %5.1f "
        "p99 %6.1f ms, %5.1f us/order, %zu keys held\n",
        this->bench.name, rate(this->orders), rate(this->writes),
        rate(this->reads), rate(this->deletes),
        static_cast<double>(sum.records) / static_cast<double>(sum.segments),
        static_cast<unsigned long long>(sum.collisions),
        static_cast<unsigned long long>(this->refused), this->Quantile(0.5),
        this->Quantile(0.99), elapsed / static_cast<double>(this->orders) * 1e6,
        keys);
  }

  BenchCase bench;
  Random random{7};
  Instant now;
  std::vector<std::unique_ptr<IdempotencyLog>> hosts;
  std::map<std::string, std::string> objects;
  std::map<std::pair<Instant, std::uint64_t>, Task> tasks;
  std::map<RequestId, Instant> sent;
  std::vector<double> waits;
  std::uint64_t next_task = 0;
  std::uint64_t orders = 0;
  std::uint64_t writes = 0;
  std::uint64_t reads = 0;
  std::uint64_t deletes = 0;
  std::uint64_t refused = 0;
};

}  // namespace
}  // namespace limpetlink

int main() {
  using limpetlink::BenchCase;
  using std::chrono::milliseconds;
  const BenchCase cases[] = {
      {"owners, no wait between segments", 1, 160, milliseconds(0)},
      {"owners, 20 ms between segments", 1, 160, milliseconds(20)},
      {"owners, 50 ms between segments", 1, 160, milliseconds(50)},
      {"owners, 100 ms between segments", 1, 160, milliseconds(100)},
      {"owners, 200 ms between segments", 1, 160, milliseconds(200)},
      {"owners, 100 ms, 16 shards", 1, 160, milliseconds(100), 16},
      {"owners, 100 ms, 32 shards", 1, 160, milliseconds(100), 32},
      {"1 owner of all, 5 orders/s", 1, 5, milliseconds(100)},
      {"7 hosts write all, 5 orders/s", 7, 5, milliseconds(100)},
      {"7 hosts write all, 20 orders/s", 7, 20, milliseconds(100)},
      {"7 hosts write all, 60 orders/s", 7, 60, milliseconds(100)},
  };
  for (const BenchCase& bench : cases) {
    limpetlink::LogBench(bench).Run();
  }
  return 0;
}
