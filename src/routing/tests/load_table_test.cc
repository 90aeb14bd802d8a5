#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <string>

#include "routing/routing.h"

namespace limpetlink {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kMemoryTokens = 27000;
constexpr Duration kMessageDelay = milliseconds(16);

LoadCandidate Engine(const std::string& name,
                     Distance distance = Distance::kSameDomain) {
  LoadCandidate candidate;
  candidate.worker = UpstreamId{name};
  candidate.distance = distance;
  candidate.slots = 24;
  candidate.memory_tokens = kMemoryTokens;
  return candidate;
}

RequestSize Stream(std::uint64_t prompt, std::uint64_t output) {
  return {prompt, prompt + output};
}

/// @brief Simulates an engine that processes one prompt at a time and keeps
/// streams in memory until they end.
struct EngineModel {
  struct Run {
    RequestSize size;
    Instant arrived{};
    std::size_t host = 0;
    Instant first_byte{};
    Instant end{};
  };

  std::deque<Run> waiting;
  std::vector<Run> running;
  Instant prefill_until{};

  std::uint64_t Memory() const {
    std::uint64_t sum = 0;
    for (const Run& run : this->running) {
      sum += run.size.tokens;
    }
    return sum;
  }
};

/// @brief Simulates hosts that place streams on the engines of one failure
/// domain and advertise their loads to each other after each change.
struct PlacementSimulation {
  PlacementSimulation(std::size_t hosts, std::size_t engines)
      : engines(engines), random(5) {
    for (std::size_t i = 0; i < hosts; ++i) {
      this->tables.emplace_back(i + 1);
    }
    for (std::size_t i = 0; i < engines; ++i) {
      this->candidates.push_back(Engine("engine-" + std::to_string(i)));
    }
  }

  void Advertise(std::size_t from) {
    this->messages.push_back(
        {this->now + kMessageDelay, from, this->tables[from].LocalLoads()});
  }

  void PlaceStream(std::size_t host, const RequestSize& size) {
    const std::optional<LoadChoice> choice =
        this->tables[host].Choose(this->now, this->candidates, size);
    REQUIRE(choice.has_value());
    this->tables[host].Begin(this->now, choice->worker, size);
    for (std::size_t i = 0; i < this->engines.size(); ++i) {
      if (this->candidates[i].worker == choice->worker) {
        this->engines[i].waiting.push_back({size, this->now, host, {}, {}});
      }
    }
    this->Advertise(host);
  }

  /// @brief Advances the simulation by one millisecond.
  void Step() {
    this->now += milliseconds(1);
    while (!this->messages.empty() && this->messages.front().due <= this->now) {
      const Message& message = this->messages.front();
      for (std::size_t i = 0; i < this->tables.size(); ++i) {
        if (i != message.from) {
          this->tables[i].ApplyHostLoads(
              this->now, HostId{std::to_string(message.from)}, message.loads);
        }
      }
      this->messages.pop_front();
    }
    for (std::size_t i = 0; i < this->engines.size(); ++i) {
      this->StepEngine(i);
    }
  }

  void StepEngine(std::size_t index) {
    constexpr double kPrefillMsPerToken = 0.14;
    constexpr double kDecodeMsPerToken = 8.5;
    EngineModel& engine = this->engines[index];
    const UpstreamId& worker = this->candidates[index].worker;
    for (std::size_t i = 0; i < engine.running.size();) {
      EngineModel::Run& run = engine.running[i];
      if (run.first_byte == this->now) {
        this->tables[run.host].RecordFirstByte(worker, run.size);
        this->first_byte_ms.push_back(ToSeconds(run.first_byte - run.arrived) *
                                      1000.0);
        this->Advertise(run.host);
      }
      if (run.end > this->now) {
        ++i;
        continue;
      }
      this->tables[run.host].End(this->now, worker, run.size, true);
      this->Advertise(run.host);
      engine.running.erase(engine.running.begin() +
                           static_cast<std::ptrdiff_t>(i));
    }
    const bool starts_next =
        !engine.waiting.empty() && engine.prefill_until <= this->now &&
        engine.Memory() + engine.waiting.front().size.tokens <= kMemoryTokens;
    if (!starts_next) {
      return;
    }
    EngineModel::Run run = engine.waiting.front();
    engine.waiting.pop_front();
    const auto prefill_ms = static_cast<std::int64_t>(
        kPrefillMsPerToken * static_cast<double>(run.size.prompt_tokens));
    const auto decode_ms = static_cast<std::int64_t>(
        kDecodeMsPerToken *
        static_cast<double>(run.size.tokens - run.size.prompt_tokens));
    run.first_byte = this->now + milliseconds(prefill_ms);
    run.end = run.first_byte + milliseconds(decode_ms);
    engine.prefill_until = run.first_byte;
    engine.running.push_back(run);
  }

  /// @return fraction of streams whose first byte took longer than this
  double FractionLaterThan(double limit_ms) const {
    double late = 0;
    for (const double each : this->first_byte_ms) {
      late += each > limit_ms ? 1.0 : 0.0;
    }
    return late / static_cast<double>(this->first_byte_ms.size());
  }

  struct Message {
    Instant due{};
    std::size_t from = 0;
    std::vector<WorkerLoad> loads;
  };

  std::vector<LoadTable> tables;
  std::vector<LoadCandidate> candidates;
  std::vector<EngineModel> engines;
  std::deque<Message> messages;
  std::vector<double> first_byte_ms;
  Instant now{};
  Random random;
};

}  // namespace

TEST_CASE(
    "load table, the emptier engine is processing a prompt, selects the one "
    "that processes none") {
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
    "load table, streams will fill an engine's memory, selects the one with "
    "free memory although it processes a prompt") {
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
    "load table, other hosts' prompts wait at a near engine, selects a farther "
    "one") {
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
    "load table, the near application worker fails half its requests, selects "
    "a farther one") {
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
    "load table, the near application worker's slots are all in use, selects "
    "one in another domain of the region") {
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
    "load table, hosts and domains advertise, change and are removed, updates "
    "the sums") {
  LoadTable table(1);
  const Instant now{};
  const UpstreamId worker{"w"};
  const auto other_hosts = [&] {
    const std::optional<LoadChoice> choice =
        table.Choose(now, {Engine("w")}, Stream(1000, 10));
    return choice->other_hosts;
  };
  table.ApplyHostLoads(now, HostId{"a"}, {{worker, 2, 1, 3000, 7600}});
  table.ApplyHostLoads(now, HostId{"b"}, {{worker, 0, 0, 0, 0}});
  table.ApplyDomainLoads(now, FailureDomainId{"d"}, {{worker, 1, 0, 0, 3800}});
  CHECK(other_hosts().running == 3);
  CHECK(other_hosts().tokens == 11400);
  table.ApplyHostLoads(now, HostId{"a"}, {{worker, 1, 0, 0, 3800}});
  CHECK(other_hosts().running == 2);
  CHECK(other_hosts().waiting_tokens == 0);
  table.RemoveDomain(FailureDomainId{"d"});
  table.RemoveHost(HostId{"a"});
  CHECK(other_hosts().running == 0);
  table.ApplyHostLoads(now, HostId{"b"}, {{worker, 4, 4, 100, 200}});
  CHECK(other_hosts().running == 4);
  table.RemoveHost(HostId{"unknown"});
  table.RemoveHost(HostId{"b"});
  CHECK(other_hosts().running == 0);
}

TEST_CASE(
    "load table, a dozen hosts fill two thirds of a failure domain's memory, "
    "few first bytes take over 1.5 s") {
  // Long and short streams in a crowded failure domain: 12 hosts, 7 engines,
  // 4 long and 4.5 short streams per second.
  PlacementSimulation simulation(12, 7);
  Instant next_long{};
  Instant next_short{};
  while (simulation.now < Instant{} + std::chrono::seconds(40)) {
    if (next_long <= simulation.now) {
      simulation.PlaceStream(simulation.random.Below(12),
                             Stream(2000 + simulation.random.Below(2000),
                                    300 + simulation.random.Below(900)));
      next_long += milliseconds(50 + simulation.random.Below(400));
    }
    if (next_short <= simulation.now) {
      simulation.PlaceStream(simulation.random.Below(12),
                             Stream(1200 + simulation.random.Below(2000), 12));
      next_short += milliseconds(44 + simulation.random.Below(360));
    }
    simulation.Step();
  }
  REQUIRE(simulation.first_byte_ms.size() > 250);
  CHECK(simulation.FractionLaterThan(1500.0) < 0.02);
}

}  // namespace limpetlink
