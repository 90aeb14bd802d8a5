#include "neighbours/neighbours.h"

#include <catch2/catch.hpp>

namespace limpetlink {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// @brief Hosts that exchange datagrams, which may be lost.
class Simulation {
 public:
  struct Member {
    std::unique_ptr<Neighbours> host;
    std::string address;
    std::vector<WorkerLoad> worker_loads;
    std::map<std::string, std::uint32_t> running;  ///< by neighbour
    std::map<std::string, std::uint32_t>
        remote_domains;  ///< running, by domain
    Instant read_sent_at{};
    Instant received_read_at{};  ///< of a neighbour's read, by this clock
    std::vector<KindChanges> changes;
    std::vector<KindChanges> received_changes;
    Duration received_delay{0};
    int store_failures = 0;
    std::vector<std::string> leaving;
    InputQuarantine quarantine;
    bool is_down = false;
  };

  Member& Add(const std::string& name, const std::string& domain) {
    Member& member = this->members[name];
    member.address = name;
    NeighbourHooks hooks;
    hooks.local_loads = [&member] { return member.worker_loads; };
    hooks.host_loads = [&member](Instant, const HostId& host,
                                 const std::vector<WorkerLoad>& worker_loads) {
      std::uint32_t sum = 0;
      for (const WorkerLoad& load : worker_loads) {
        sum += load.running;
      }
      member.running[host.value] = sum;
    };
    hooks.neighbour_found = [&member](const HostId& host) {
      member.running.try_emplace(host.value, 0);
    };
    hooks.neighbour_lost = [&member](const HostId& host) {
      member.running.erase(host.value);
    };
    hooks.worker_leaving = [&member](Instant, const LeavingWorker& worker) {
      member.leaving.push_back(worker.worker.value);
    };
    hooks.local_reads = [&member](Instant now) {
      std::vector<AdvertisedRead> reads;
      if (member.read_sent_at != Instant{}) {
        reads.push_back({"workers", 5, 9, now - member.read_sent_at});
      }
      return reads;
    };
    hooks.neighbour_read = [&member](Instant, Instant sent_at,
                                     const AdvertisedRead&) {
      member.received_read_at = sent_at;
    };
    hooks.local_changes = [&member](Instant) { return member.changes; };
    hooks.changes_since = [&member](const MissingChanges& missing) {
      const bool has = !member.changes.empty() && missing.revision >= 7;
      return has ? std::optional<KindChanges>(member.changes.front())
                 : std::nullopt;
    };
    hooks.neighbour_store_failure = [&member](Instant) {
      ++member.store_failures;
    };
    hooks.local_removal_delay = [](Instant) { return milliseconds(700); };
    hooks.neighbour_removal_delay = [&member](Instant, Duration delay) {
      member.received_delay = delay;
    };
    hooks.neighbour_changes = [&member](Instant, const KindChanges& changes) {
      member.received_changes.push_back(changes);
    };
    hooks.local_gossip = [&member](Instant now, bool include_received) {
      return Gossip{member.quarantine.Export(now, include_received), {}};
    };
    hooks.remote_gossip = [&member](Instant now, const Gossip& gossip) {
      return member.quarantine.Merge(now, gossip.evidence);
    };
    hooks.own_domain_loads = [&member] { return member.worker_loads; };
    hooks.remote_domain_loads = [&member](Instant,
                                          const DomainLoads& domain_loads) {
      std::uint32_t sum = 0;
      for (const WorkerLoad& load : domain_loads.loads) {
        sum += load.running;
      }
      member.remote_domains[domain_loads.domain.value] = sum;
    };
    hooks.domain_lost = [&member](const FailureDomainId& domain) {
      member.remote_domains.erase(domain.value);
    };
    member.host = std::make_unique<Neighbours>(
        NeighbourSettings{
            HostId{name}, FailureDomainId{domain}, name, {"seed-1", "seed-2"}},
        hooks);
    return member;
  }

  void Advance(Duration span) {
    const Instant end = this->now + span;
    while (this->now < end) {
      this->now += milliseconds(5);
      for (auto& [name, member] : this->members) {
        if (member.is_down) {
          continue;
        }
        member.host->Tick(this->now);
        for (Action& action : member.host->TakeActions()) {
          auto* send = std::get_if<PeerSend>(&action);
          const auto to = this->members.find(send->address);
          const bool arrives = to != this->members.end() &&
                               !to->second.is_down &&
                               this->random.Fraction() >= this->loss_rate;
          if (arrives) {
            CHECK(to->second.host->OnFrame(this->now,
                                           {HostId{name}, send->bytes}));
          }
        }
      }
    }
  }

  std::map<std::string, Member> members;
  Random random{3};
  double loss_rate = 0;
  Instant now{seconds(100)};
};

TEST_CASE("neighbours, hosts of two domains, find those of their own domain",
          "[neighbours]") {
  Simulation simulation;
  simulation.Add("seed-1", "east");
  simulation.Add("seed-2", "west");
  for (int i = 0; i < 6; ++i) {
    simulation.Add("host-" + std::to_string(i), i % 2 == 0 ? "east" : "west");
  }
  simulation.Advance(seconds(8));
  for (const auto& [name, member] : simulation.members) {
    CHECK(member.host->Count() == 3);
  }
}

TEST_CASE("neighbours, a load changes, reaches neighbours within 50 ms",
          "[neighbours]") {
  Simulation simulation;
  Simulation::Member& seed = simulation.Add("seed-1", "east");
  Simulation::Member& host = simulation.Add("host", "east");
  simulation.Advance(seconds(3));
  host.worker_loads = {{UpstreamId{"w"}, 4, 1, 3000, 9000}};
  host.host->OnStateChanged(simulation.now);
  simulation.Advance(milliseconds(50));
  CHECK(seed.running.at("host") == 4);
}

TEST_CASE(
    "neighbours, loads of a domain change, reach hosts of other domains within "
    "500 ms",
    "[neighbours]") {
  Simulation simulation;
  Simulation::Member& seed = simulation.Add("seed-1", "east");
  Simulation::Member& east = simulation.Add("host-east", "east");
  simulation.Add("host-west-1", "west");
  Simulation::Member& west = simulation.Add("host-west-2", "west");
  simulation.Advance(seconds(8));
  // The host with the lowest id sends the loads of its domain.
  east.worker_loads = {{UpstreamId{"w"}, 4, 1, 3000, 9000}};
  simulation.Advance(milliseconds(500));
  CHECK(west.remote_domains.at("east") == 4);
  CHECK(seed.remote_domains.count("east") == 0);
}

TEST_CASE("neighbours, as much gossip and load as a host tells, fits a message",
          "[neighbours]") {
  InputQuarantine quarantine;
  const Instant now{seconds(100'000)};
  const std::string long_id(30, 'f');
  for (int i = 0; i < 120; ++i) {
    // Every third crash is explained by one of ten quarantined parts.
    WorkerCrash crash{UpstreamId{"i-" + std::to_string(100'000'000 + i)},
                      1'790'000'000'000 + i,
                      seconds(i),
                      {}};
    if (i % 3 == 0) {
      crash.inputs.push_back({long_id + std::to_string(i % 10), 1});
    }
    for (std::uint32_t depth = 2; depth < 32; ++depth) {
      crash.inputs.push_back(
          {std::to_string(i) + "-" + std::to_string(depth) + long_id, depth});
    }
    for (int request = 0; request < 12; ++request) {
      crash.inputs.push_back({"request-" + std::to_string(i * 100 + request) +
                                  long_id.substr(0, 12),
                              kRequestDepth, 2});
    }
    quarantine.RecordCrash(now, crash);
    quarantine.RecordSound(now, std::to_string(i) + "-9" + long_id);
  }
  REQUIRE(quarantine.Quarantined(now).size() == 10);
  NeighbourMessage message;
  message.host = HostId{"edge-geraldton-a-1"};
  message.domain = FailureDomainId{"geraldton-a"};
  message.address = "10.3.64.30:8749";
  message.gossip.evidence = quarantine.Export(now, true);
  for (int i = 0; i < 64; ++i) {
    message.gossip.limits.push_back(
        {UpstreamId{"i-" + std::to_string(100'000'000 + i)}, 1'790'000'000'000,
         12.345 + i, seconds(100 + i), seconds(99 + i)});
  }
  for (int i = 0; i < 256; ++i) {
    message.worker_loads.push_back(
        {UpstreamId{"i-" + std::to_string(100'000'000 + i)}, 24, 9, 30'000,
         60'000});
  }
  const auto decoded = DecodeNeighbourMessage(EncodeNeighbourMessage(message));
  REQUIRE(decoded.ok());
  REQUIRE(decoded->gossip.limits.size() == kMaxLimitNotices);
  CHECK(decoded->gossip.limits[1].per_second == 13.345);
  CHECK(decoded->gossip.limits[1].heard_age == seconds(100));
}

TEST_CASE(
    "neighbours, evidence on crashes with 20% of the datagrams lost, reaches "
    "every host within 4 s and a host that starts later",
    "[neighbours]") {
  Simulation simulation;
  simulation.Add("seed-1", "east");
  simulation.Add("seed-2", "west");
  for (int i = 0; i < 10; ++i) {
    simulation.Add("host-" + std::to_string(i), i % 2 == 0 ? "east" : "west");
  }
  simulation.Advance(seconds(8));
  simulation.loss_rate = 0.2;
  for (int i = 0; i < 3; ++i) {
    // Each crash is noticed by another host.
    Simulation::Member& host =
        simulation.members.at("host-" + std::to_string(i));
    host.quarantine.RecordCrash(
        simulation.now,
        {UpstreamId{"engine-" + std::to_string(i)}, i, {}, {{"bad", 0}}});
    host.host->OnGossipChanged(simulation.now);
    simulation.Advance(seconds(1));
  }
  simulation.Advance(seconds(4));
  const auto know = [&simulation] {
    std::size_t count = 0;
    for (const auto& [name, member] : simulation.members) {
      count +=
          member.quarantine.Find(simulation.now, {"bad"}).has_value() ? 1 : 0;
    }
    return count;
  };
  CHECK(know() == simulation.members.size());
  for (int i = 0; i < 3; ++i) {
    simulation.members.at("host-" + std::to_string(i)).is_down = true;
  }
  simulation.Add("host-late", "west");
  simulation.Advance(seconds(4));
  CHECK(know() == simulation.members.size());
}

TEST_CASE("neighbours, the leader of a domain fails, another host replaces it",
          "[neighbours]") {
  Simulation simulation;
  Simulation::Member& seed = simulation.Add("seed-1", "east");
  Simulation::Member& east = simulation.Add("host-east", "east");
  Simulation::Member& west = simulation.Add("host-west", "west");
  simulation.Advance(seconds(8));
  east.is_down = true;
  simulation.Advance(seconds(6));
  seed.worker_loads = {{UpstreamId{"w"}, 7, 1, 3000, 9000}};
  simulation.Advance(seconds(1));
  CHECK(west.remote_domains.at("east") == 7);
  seed.is_down = true;
  simulation.Advance(seconds(4));
  CHECK(west.remote_domains.empty());
}

TEST_CASE(
    "neighbours, a linearizable read, reaches neighbours with at least its age",
    "[neighbours]") {
  Simulation simulation;
  Simulation::Member& seed = simulation.Add("seed-1", "east");
  Simulation::Member& host = simulation.Add("host", "east");
  simulation.Advance(seconds(3));
  host.read_sent_at = simulation.now - milliseconds(30);
  host.host->OnLinearizableRead(simulation.now);
  simulation.Advance(milliseconds(50));
  CHECK(seed.received_read_at <= host.read_sent_at);
  CHECK(seed.received_read_at > host.read_sent_at - seconds(2));
}

TEST_CASE(
    "neighbours, a host is frozen while a linearizable read is in transit, "
    "still applies at least its age",
    "[neighbours]") {
  Simulation simulation;
  Simulation::Member& seed = simulation.Add("seed-1", "east");
  Simulation::Member& host = simulation.Add("host", "east");
  simulation.Advance(seconds(3));
  host.read_sent_at = simulation.now;
  host.host->OnLinearizableRead(simulation.now);
  host.host->Tick(simulation.now);
  const Actions sent = host.host->TakeActions();
  simulation.now += seconds(60);  // the clock of the frozen host continues
  for (const Action& action : sent) {
    const auto* datagram = std::get_if<PeerSend>(&action);
    REQUIRE(datagram != nullptr);
    if (datagram->address == "seed-1") {
      seed.host->OnFrame(simulation.now, {HostId{"host"}, datagram->bytes});
    }
  }
  CHECK(seed.received_read_at != Instant{});
  CHECK(seed.received_read_at <= host.read_sent_at);
}

TEST_CASE("neighbours, changes read from the store, reach neighbours in 50 ms",
          "[neighbours]") {
  Simulation simulation;
  Simulation::Member& seed = simulation.Add("seed-1", "east");
  Simulation::Member& host = simulation.Add("host", "east");
  Simulation::Member& remote = simulation.Add("remote", "west");
  simulation.Advance(seconds(3));
  ObjectRecord record;
  record.name = "w";
  record.version = 9;
  record.bytes = std::string(1000, 'x');
  host.changes = {{"workers", 2, 7, 9, {record}}};
  host.host->OnChangesRead(simulation.now);
  simulation.Advance(milliseconds(50));
  REQUIRE(seed.received_changes.size() == 1);
  const KindChanges& received = seed.received_changes.front();
  CHECK(received.kind == "workers");
  CHECK(seed.received_delay == milliseconds(700));
  CHECK(received.era == 2);
  CHECK(received.from == 7);
  CHECK(received.to == 9);
  REQUIRE(received.records.size() == 1);
  CHECK(received.records[0].version == 9);
  CHECK(received.records[0].bytes == record.bytes);
  CHECK(remote.received_changes.empty());
}

TEST_CASE(
    "neighbours, calls to the store fail at all hosts, are told once a "
    "second",
    "[neighbours]") {
  Simulation simulation;
  Simulation::Member& seed = simulation.Add("seed-1", "east");
  simulation.Add("host-1", "east");
  simulation.Add("host-2", "east");
  simulation.Advance(seconds(8));
  for (int i = 0; i < 20; ++i) {
    for (auto& [name, member] : simulation.members) {
      member.host->OnStoreFailure(simulation.now);
    }
    simulation.Advance(milliseconds(100));
  }
  CHECK(seed.store_failures >= 1);
  CHECK(seed.store_failures <= 4);
}

TEST_CASE(
    "neighbours, changes requested, arrive from the first host that has "
    "them",
    "[neighbours]") {
  Simulation simulation;
  Simulation::Member& asking = simulation.Add("asking", "east");
  simulation.Add("seed-1", "east");
  Simulation::Member& other = simulation.Add("seed-2", "east");
  simulation.Advance(seconds(3));
  other.changes = {{"workers", 2, 7, 9, {}}};
  for (int i = 0; i < 2; ++i) {
    asking.host->RequestChanges(simulation.now, {"workers", 2, 7});
    simulation.Advance(milliseconds(20));
  }
  REQUIRE(asking.received_changes.size() == 1);
  CHECK(asking.received_changes.front().to == 9);
}

TEST_CASE(
    "neighbours, a host starts, receives the last read of the leader within "
    "200 ms",
    "[neighbours]") {
  Simulation simulation;
  Simulation::Member& leader = simulation.Add("seed-1", "east");
  simulation.Add("seed-2", "east");
  leader.read_sent_at = simulation.now;
  simulation.Advance(seconds(3));
  Simulation::Member& host = simulation.Add("starting", "east");
  simulation.Advance(milliseconds(200));
  CHECK(host.received_read_at != Instant{});
  CHECK(host.received_read_at <= leader.read_sent_at);
}

TEST_CASE("neighbours, first message of a started host, is due at once",
          "[neighbours]") {
  Simulation simulation;
  Simulation::Member& leader = simulation.Add("seed-1", "east");
  simulation.Add("seed-2", "east");
  simulation.Advance(seconds(3));
  CHECK(leader.host->NextWakeup() > simulation.now);
  NeighbourMessage message;
  message.host = HostId{"starting"};
  message.domain = FailureDomainId{"east"};
  message.address = "starting";
  message.sequence = 1;
  leader.host->OnFrame(simulation.now,
                       {message.host, EncodeNeighbourMessage(message)});
  CHECK(leader.host->NextWakeup() <= simulation.now);
}

TEST_CASE("neighbours, ranks, count the neighbours with a lower id",
          "[neighbours]") {
  Simulation simulation;
  Simulation::Member& seed = simulation.Add("seed-1", "east");
  Simulation::Member& first = simulation.Add("host-1", "east");
  CHECK_FALSE(first.host->Rank().has_value());
  simulation.Add("host-2", "east");
  simulation.Advance(seconds(8));
  CHECK(first.host->Rank() == 0);
  CHECK(seed.host->Rank() == 2);
}

TEST_CASE("neighbours, 20% of the datagrams lost, states still arrive",
          "[neighbours]") {
  Simulation simulation;
  simulation.loss_rate = 0.2;
  Simulation::Member& seed = simulation.Add("seed-1", "east");
  Simulation::Member& host = simulation.Add("host", "east");
  simulation.Advance(seconds(15));
  host.worker_loads = {{UpstreamId{"w"}, 4, 1, 3000, 9000}};
  host.host->OnWorkerLeaving(simulation.now, {UpstreamId{"gone"}, 7, {}});
  simulation.Advance(seconds(4));
  CHECK(seed.running.at("host") == 4);
  CHECK_FALSE(seed.leaving.empty());
}

TEST_CASE("neighbours, unresponsive host, is removed and found again",
          "[neighbours]") {
  Simulation simulation;
  Simulation::Member& seed = simulation.Add("seed-1", "east");
  Simulation::Member& host = simulation.Add("host", "east");
  simulation.Advance(seconds(3));
  host.is_down = true;
  simulation.Advance(seconds(6));
  CHECK(seed.host->Count() == 0);
  CHECK(seed.running.empty());
  host.is_down = false;
  simulation.Advance(seconds(6));
  CHECK(seed.host->Count() == 1);
}

TEST_CASE("neighbours, all seeds down, hosts keep their known neighbours",
          "[neighbours]") {
  Simulation simulation;
  Simulation::Member& seed = simulation.Add("seed-1", "east");
  simulation.Add("host-1", "east");
  Simulation::Member& second = simulation.Add("host-2", "east");
  simulation.Advance(seconds(8));
  seed.is_down = true;
  simulation.Advance(seconds(8));
  CHECK(second.host->Count() == 1);
}

TEST_CASE(
    "neighbour message, random changes, is decoded within limits or rejected",
    "[neighbours]") {
  NeighbourMessage message;
  message.host = HostId{"a"};
  message.domain = FailureDomainId{"d"};
  message.address = "10.0.0.1:1";
  message.worker_loads = {{UpstreamId{"w"}, 4, 1, 3000, 9000}};
  message.leaving = {{UpstreamId{"w"}, -5, milliseconds(90)}};
  message.neighbours = {{HostId{"b"}, "10.0.0.2:1"}};
  const std::string encoded = EncodeNeighbourMessage(message);
  const auto read = DecodeNeighbourMessage(encoded);
  REQUIRE(read.ok());
  CHECK(read->worker_loads[0].tokens == 9000);
  CHECK(read->leaving[0].started_at == -5);
  Random random(5);
  for (int i = 0; i < 5000; ++i) {
    std::string bytes = encoded;
    bytes[random.Below(bytes.size())] = static_cast<char>(random.Below(256));
    if (random.Below(3) == 0) {
      bytes.resize(random.Below(bytes.size()));
    }
    const auto changed = DecodeNeighbourMessage(bytes);
    if (changed.ok()) {
      CHECK(changed->worker_loads.size() <= 256);
    }
  }
  CHECK_FALSE(DecodeNeighbourMessage("").ok());
  CHECK_FALSE(DecodeNeighbourMessage(std::string(20000, 'x')).ok());
}

}  // namespace
}  // namespace limpetlink
