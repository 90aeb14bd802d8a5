#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <string>

#include "routing/routing.h"

namespace limpetlink {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kMemory = 27000;
constexpr Duration kMessage = milliseconds(16);

LoadCandidate Engine(const std::string& name,
                     Distance distance = Distance::kSameDomain) {
  LoadCandidate candidate;
  candidate.worker = UpstreamId{name};
  candidate.distance = distance;
  candidate.slots = 24;
  candidate.memory_tokens = kMemory;
  return candidate;
}

RequestSize Stream(std::uint64_t prompt, std::uint64_t output) {
  return {prompt, prompt + output};
}

/// @brief An engine that reads one prompt after the other and keeps streams in
/// memory until they end.
struct EngineModel {
  struct Run {
    RequestSize size;
    Instant arrived{};
    std::size_t host = 0;
    Instant first{};
    Instant end{};
  };

  std::deque<Run> waiting;
  std::vector<Run> running;
  Instant reads_until{};

  std::uint64_t Memory() const {
    std::uint64_t sum = 0;
    for (const Run& run : this->running) {
      sum += run.size.tokens;
    }
    return sum;
  }
};

/// @brief Hosts that place streams on the engines of one failure domain and
/// tell each other after each change.
struct PlacementWorld {
  PlacementWorld(std::size_t hosts, std::size_t engines)
      : engines(engines), random(5) {
    for (std::size_t i = 0; i < hosts; ++i) {
      this->tables.emplace_back(i + 1);
    }
    for (std::size_t i = 0; i < engines; ++i) {
      this->candidates.push_back(Engine("engine-" + std::to_string(i)));
    }
  }

  void Tell(std::size_t from) {
    this->told.push_back(
        {this->now + kMessage, from, this->tables[from].LocalLoads()});
  }

  void Arrive(std::size_t host, const RequestSize& size) {
    const std::optional<LoadChoice> choice =
        this->tables[host].Choose(this->now, this->candidates, size);
    REQUIRE(choice.has_value());
    this->tables[host].Begin(this->now, choice->worker, size);
    for (std::size_t i = 0; i < this->engines.size(); ++i) {
      if (this->candidates[i].worker == choice->worker) {
        this->engines[i].waiting.push_back({size, this->now, host, {}, {}});
      }
    }
    this->Tell(host);
  }

  /// @brief Lets a millisecond pass.
  void Step() {
    this->now += milliseconds(1);
    while (!this->told.empty() && this->told.front().due <= this->now) {
      const Told& message = this->told.front();
      for (std::size_t i = 0; i < this->tables.size(); ++i) {
        if (i != message.from) {
          this->tables[i].ApplyHostLoads(
              this->now, HostId{std::to_string(message.from)}, message.loads);
        }
      }
      this->told.pop_front();
    }
    for (std::size_t i = 0; i < this->engines.size(); ++i) {
      this->StepEngine(i);
    }
  }

  void StepEngine(std::size_t index) {
    constexpr double kReadMs = 0.14;
    constexpr double kTokenMs = 8.5;
    EngineModel& engine = this->engines[index];
    const UpstreamId& worker = this->candidates[index].worker;
    for (std::size_t i = 0; i < engine.running.size();) {
      EngineModel::Run& run = engine.running[i];
      if (run.first == this->now) {
        this->tables[run.host].RecordFirstByte(worker, run.size);
        this->first_ms.push_back(ToSeconds(run.first - run.arrived) * 1000.0);
        this->Tell(run.host);
      }
      if (run.end > this->now) {
        ++i;
        continue;
      }
      this->tables[run.host].End(this->now, worker, run.size, true);
      this->Tell(run.host);
      engine.running.erase(engine.running.begin() +
                           static_cast<std::ptrdiff_t>(i));
    }
    const bool reads =
        !engine.waiting.empty() && engine.reads_until <= this->now &&
        engine.Memory() + engine.waiting.front().size.tokens <= kMemory;
    if (!reads) {
      return;
    }
    EngineModel::Run run = engine.waiting.front();
    engine.waiting.pop_front();
    const auto read_ms = static_cast<std::int64_t>(
        kReadMs * static_cast<double>(run.size.prompt_tokens));
    const auto run_ms = static_cast<std::int64_t>(
        kTokenMs *
        static_cast<double>(run.size.tokens - run.size.prompt_tokens));
    run.first = this->now + milliseconds(read_ms);
    run.end = run.first + milliseconds(run_ms);
    engine.reads_until = run.first;
    engine.running.push_back(run);
  }

  /// @return the part of first bytes that came later than this
  double PartLaterThan(double limit_ms) const {
    double late = 0;
    for (const double each : this->first_ms) {
      late += each > limit_ms ? 1.0 : 0.0;
    }
    return late / static_cast<double>(this->first_ms.size());
  }

  struct Told {
    Instant due{};
    std::size_t from = 0;
    std::vector<WorkerLoad> loads;
  };

  std::vector<LoadTable> tables;
  std::vector<LoadCandidate> candidates;
  std::vector<EngineModel> engines;
  std::deque<Told> told;
  std::vector<double> first_ms;
  Instant now{};
  Random random;
};

}  // namespace

TEST_CASE(
    "load table, a prompt is being read at the emptier engine, the next goes "
    "where nothing is read") {
  LoadTable table(1);
  const Instant now{};
  const RequestSize size = Stream(3000, 800);
  table.Begin(now, UpstreamId{"fuller"}, size);
  table.RecordFirstByte(UpstreamId{"fuller"}, size);
  table.Begin(now, UpstreamId{"fuller"}, size);
  table.RecordFirstByte(UpstreamId{"fuller"}, size);
  table.Begin(now, UpstreamId{"emptier"}, size);
  const std::optional<LoadChoice> choice =
      table.Choose(now, {Engine("emptier"), Engine("fuller")}, size);
  REQUIRE(choice.has_value());
  CHECK(choice->worker == UpstreamId{"fuller"});
}

TEST_CASE(
    "load table, streams will fill an engine's memory, the next goes where "
    "there is room though a prompt is read there") {
  LoadTable table(1);
  const Instant now{};
  const RequestSize size = Stream(3000, 800);
  for (int i = 0; i < 7; ++i) {
    table.Begin(now, UpstreamId{"full"}, size);
    table.RecordFirstByte(UpstreamId{"full"}, size);
  }
  table.Begin(now, UpstreamId{"reading"}, size);
  const std::optional<LoadChoice> choice =
      table.Choose(now, {Engine("full"), Engine("reading")}, size);
  REQUIRE(choice.has_value());
  CHECK(choice->worker == UpstreamId{"reading"});
}

TEST_CASE(
    "load table, other hosts' prompts wait at a near engine, a farther one is "
    "taken") {
  LoadTable table(1);
  const Instant now{};
  const RequestSize size = Stream(3000, 800);
  LoadCandidate far = Engine("far", Distance::kOtherRegion);
  far.domain = FailureDomainId{"elsewhere"};
  table.ApplyDomainLoads(now, far.domain, {});
  CHECK(table.Choose(now, {Engine("near"), far}, size)->worker ==
        UpstreamId{"near"});
  table.ApplyHostLoads(now, HostId{"other"},
                       {{UpstreamId{"near"}, 3, 3, 9000, 11400}});
  CHECK(table.Choose(now, {Engine("near"), far}, size)->worker ==
        UpstreamId{"far"});
}

TEST_CASE(
    "load table, the near application worker fails half its requests, plain "
    "requests go farther") {
  LoadTable table(1);
  const Instant now{};
  LoadCandidate near;
  near.worker = UpstreamId{"near"};
  near.slots = 6;
  LoadCandidate far = near;
  far.worker = UpstreamId{"far"};
  far.distance = Distance::kOtherRegion;
  CHECK(table.Choose(now, {near, far}, {})->worker == near.worker);
  for (int i = 0; i < 40; ++i) {
    table.RecordAttempt(now, near.worker, i % 2 == 0, false);
  }
  CHECK(table.Choose(now, {near, far}, {})->worker == far.worker);
}

TEST_CASE(
    "load table, the near application worker's slots are all taken, a plain "
    "request goes to another domain of the region") {
  LoadTable table(1);
  const Instant now{};
  LoadCandidate near;
  near.worker = UpstreamId{"near"};
  near.slots = 6;
  LoadCandidate far = near;
  far.worker = UpstreamId{"far"};
  far.distance = Distance::kSameRegion;
  for (int i = 0; i < 6; ++i) {
    table.Begin(now, near.worker, {});
  }
  CHECK(table.Choose(now, {near, far}, {})->worker == far.worker);
}

TEST_CASE(
    "load table, hosts and domains tell, change and fall silent, the sums "
    "follow") {
  LoadTable table(1);
  const Instant now{};
  const UpstreamId worker{"w"};
  const auto told = [&] {
    const std::optional<LoadChoice> choice =
        table.Choose(now, {Engine("w")}, Stream(1000, 10));
    return choice->other_hosts;
  };
  table.ApplyHostLoads(now, HostId{"a"}, {{worker, 2, 1, 3000, 7600}});
  table.ApplyHostLoads(now, HostId{"b"}, {{worker, 0, 0, 0, 0}});
  table.ApplyDomainLoads(now, FailureDomainId{"d"}, {{worker, 1, 0, 0, 3800}});
  CHECK(told().running == 3);
  CHECK(told().tokens == 11400);
  table.ApplyHostLoads(now, HostId{"a"}, {{worker, 1, 0, 0, 3800}});
  CHECK(told().running == 2);
  CHECK(told().waiting_tokens == 0);
  table.RemoveDomain(FailureDomainId{"d"});
  table.RemoveHost(HostId{"a"});
  CHECK(told().running == 0);
  table.ApplyHostLoads(now, HostId{"b"}, {{worker, 4, 4, 100, 200}});
  CHECK(told().running == 4);
  table.RemoveHost(HostId{"unknown"});
  table.RemoveHost(HostId{"b"});
  CHECK(told().running == 0);
}

TEST_CASE(
    "load table, a dozen hosts fill two thirds of a failure domain's memory, "
    "few first bytes are late") {
  // Long and short streams of a crowded failure domain: 12 hosts, 7 engines,
  // four long and four and a half short ones a second.
  PlacementWorld world(12, 7);
  Instant next_long{};
  Instant next_short{};
  while (world.now < Instant{} + std::chrono::seconds(40)) {
    if (next_long <= world.now) {
      world.Arrive(world.random.Below(12),
                   Stream(2000 + world.random.Below(2000),
                          300 + world.random.Below(900)));
      next_long += milliseconds(50 + world.random.Below(400));
    }
    if (next_short <= world.now) {
      world.Arrive(world.random.Below(12),
                   Stream(1200 + world.random.Below(2000), 12));
      next_short += milliseconds(44 + world.random.Below(360));
    }
    world.Step();
  }
  REQUIRE(world.first_ms.size() > 250);
  CHECK(world.PartLaterThan(1500.0) < 0.02);
}

}  // namespace limpetlink
