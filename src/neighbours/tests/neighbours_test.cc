#include "neighbours/neighbours.h"

#include <catch2/catch.hpp>

namespace limpetlink {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// @brief Hosts joined by datagrams that may be lost.
class Group {
 public:
  struct Member {
    std::unique_ptr<Neighbours> host;
    std::string address;
    std::vector<WorkerLoad> shares;
    std::map<std::string, std::uint32_t> running;    ///< as told by others
    std::map<std::string, std::uint32_t> elsewhere;  ///< by domain
    Instant proved_at{};
    Instant proof_from{};  ///< of another host's call, by this clock
    std::vector<std::string> leaving;
    bool down = false;
  };

  Member& Add(const std::string& name, const std::string& domain) {
    Member& member = this->members[name];
    member.address = name;
    NeighbourHooks hooks;
    hooks.shares = [&member] { return member.shares; };
    hooks.take_shares = [&member](Instant, const HostId& host,
                                  const std::vector<WorkerLoad>& shares) {
      std::uint32_t sum = 0;
      for (const WorkerLoad& share : shares) {
        sum += share.running;
      }
      member.running[host.value] = sum;
    };
    hooks.found = [&member](const HostId& host) {
      member.running.try_emplace(host.value, 0);
    };
    hooks.forget = [&member](const HostId& host) {
      member.running.erase(host.value);
    };
    hooks.take_leaving = [&member](Instant, const LeavingWorker& worker) {
      member.leaving.push_back(worker.worker.value);
    };
    hooks.proofs = [&member](Instant now) {
      std::vector<ToldProof> proofs;
      if (member.proved_at != Instant{}) {
        proofs.push_back({"workers", 5, 9, now - member.proved_at});
      }
      return proofs;
    };
    hooks.take_proof = [&member](Instant asked_at, const ToldProof&) {
      member.proof_from = asked_at;
    };
    hooks.domain_loads = [&member] { return member.shares; };
    hooks.take_domain_loads = [&member](Instant, const DomainLoads& told) {
      std::uint32_t sum = 0;
      for (const WorkerLoad& load : told.loads) {
        sum += load.running;
      }
      member.elsewhere[told.domain.value] = sum;
    };
    hooks.forget_domain = [&member](const FailureDomainId& domain) {
      member.elsewhere.erase(domain.value);
    };
    member.host = std::make_unique<Neighbours>(
        NeighbourSettings{
            HostId{name}, FailureDomainId{domain}, name, {"seed-1", "seed-2"}},
        hooks);
    return member;
  }

  void Pass(Duration span) {
    const Instant end = this->now + span;
    while (this->now < end) {
      this->now += milliseconds(5);
      for (auto& [name, member] : this->members) {
        if (member.down) {
          continue;
        }
        member.host->Tick(this->now);
        for (Action& action : member.host->TakeActions()) {
          auto* send = std::get_if<PeerSend>(&action);
          const auto to = this->members.find(send->address);
          const bool arrives = to != this->members.end() && !to->second.down &&
                               this->random.Fraction() >= this->loss;
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
  double loss = 0;
  Instant now{seconds(100)};
};

TEST_CASE("neighbours, hosts of two domains, know those of their own",
          "[neighbours]") {
  Group group;
  group.Add("seed-1", "east");
  group.Add("seed-2", "west");
  for (int i = 0; i < 6; ++i) {
    group.Add("host-" + std::to_string(i), i % 2 == 0 ? "east" : "west");
  }
  group.Pass(seconds(8));
  for (const auto& [name, member] : group.members) {
    CHECK(member.host->Count() == 3);
  }
}

TEST_CASE("neighbours, a share changes, is known within a tenth of a second",
          "[neighbours]") {
  Group group;
  Group::Member& seed = group.Add("seed-1", "east");
  Group::Member& host = group.Add("host", "east");
  group.Pass(seconds(3));
  host.shares = {{UpstreamId{"w"}, 4, 1, 3000, 9000}};
  host.host->NoteChange(group.now);
  group.Pass(milliseconds(50));
  CHECK(seed.running.at("host") == 4);
}

TEST_CASE(
    "neighbours, a domain's loads change, hosts of other domains know within "
    "half a second",
    "[neighbours]") {
  Group group;
  Group::Member& seed = group.Add("seed-1", "east");
  Group::Member& east = group.Add("host-east", "east");
  group.Add("host-west-1", "west");
  Group::Member& west = group.Add("host-west-2", "west");
  group.Pass(seconds(8));
  // The lowest id of its domain tells of it.
  east.shares = {{UpstreamId{"w"}, 4, 1, 3000, 9000}};
  group.Pass(milliseconds(500));
  CHECK(west.elsewhere.at("east") == 4);
  CHECK(seed.elsewhere.count("east") == 0);
}

TEST_CASE(
    "neighbours, the host that speaks for a domain dies, another one does",
    "[neighbours]") {
  Group group;
  Group::Member& seed = group.Add("seed-1", "east");
  Group::Member& east = group.Add("host-east", "east");
  Group::Member& west = group.Add("host-west", "west");
  group.Pass(seconds(8));
  east.down = true;
  group.Pass(seconds(6));
  seed.shares = {{UpstreamId{"w"}, 7, 1, 3000, 9000}};
  group.Pass(seconds(1));
  CHECK(west.elsewhere.at("east") == 7);
  seed.down = true;
  group.Pass(seconds(4));
  CHECK(west.elsewhere.empty());
}

TEST_CASE(
    "neighbours, a host proves its knowledge, neighbours learn it no younger "
    "than it is",
    "[neighbours]") {
  Group group;
  Group::Member& seed = group.Add("seed-1", "east");
  Group::Member& host = group.Add("host", "east");
  group.Pass(seconds(3));
  host.proved_at = group.now - milliseconds(30);
  host.host->NoteProof(group.now);
  group.Pass(milliseconds(50));
  CHECK(seed.proof_from <= host.proved_at);
  CHECK(seed.proof_from > host.proved_at - seconds(2));
}

TEST_CASE(
    "neighbours, a host is frozen while a proof is on its way, takes it for "
    "as old as it is",
    "[neighbours]") {
  Group group;
  Group::Member& seed = group.Add("seed-1", "east");
  Group::Member& host = group.Add("host", "east");
  group.Pass(seconds(3));
  host.proved_at = group.now;
  host.host->NoteProof(group.now);
  host.host->Tick(group.now);
  const Actions sent = host.host->TakeActions();
  group.now += seconds(60);  // the frozen host's clock goes on
  for (const Action& action : sent) {
    const auto* datagram = std::get_if<PeerSend>(&action);
    REQUIRE(datagram != nullptr);
    if (datagram->address == "seed-1") {
      seed.host->OnFrame(group.now, {HostId{"host"}, datagram->bytes});
    }
  }
  CHECK(seed.proof_from != Instant{});
  CHECK(seed.proof_from <= host.proved_at);
}

TEST_CASE("neighbours, a fifth of the datagrams lost, states still arrive",
          "[neighbours]") {
  Group group;
  group.loss = 0.2;
  Group::Member& seed = group.Add("seed-1", "east");
  Group::Member& host = group.Add("host", "east");
  group.Pass(seconds(15));
  host.shares = {{UpstreamId{"w"}, 4, 1, 3000, 9000}};
  host.host->NoteLeaving(group.now, {UpstreamId{"gone"}, 7, {}});
  group.Pass(seconds(4));
  CHECK(seed.running.at("host") == 4);
  CHECK_FALSE(seed.leaving.empty());
}

TEST_CASE("neighbours, host falls silent, is forgotten and known again",
          "[neighbours]") {
  Group group;
  Group::Member& seed = group.Add("seed-1", "east");
  Group::Member& host = group.Add("host", "east");
  group.Pass(seconds(3));
  host.down = true;
  group.Pass(seconds(6));
  CHECK(seed.host->Count() == 0);
  CHECK(seed.running.empty());
  host.down = false;
  group.Pass(seconds(6));
  CHECK(seed.host->Count() == 1);
}

TEST_CASE("neighbours, all seeds down, those that know each other go on",
          "[neighbours]") {
  Group group;
  Group::Member& seed = group.Add("seed-1", "east");
  group.Add("host-1", "east");
  Group::Member& second = group.Add("host-2", "east");
  group.Pass(seconds(8));
  seed.down = true;
  group.Pass(seconds(8));
  CHECK(second.host->Count() == 1);
}

TEST_CASE("neighbour message, any bytes, are read whole or refused",
          "[neighbours]") {
  NeighbourMessage message;
  message.host = HostId{"a"};
  message.domain = FailureDomainId{"d"};
  message.address = "10.0.0.1:1";
  message.shares = {{UpstreamId{"w"}, 4, 1, 3000, 9000}};
  message.leaving = {{UpstreamId{"w"}, -5, milliseconds(90)}};
  message.neighbours = {{HostId{"b"}, "10.0.0.2:1"}};
  const std::string whole = EncodeNeighbourMessage(message);
  const auto read = DecodeNeighbourMessage(whole);
  REQUIRE(read.ok());
  CHECK(read->shares[0].tokens == 9000);
  CHECK(read->leaving[0].started_at == -5);
  Random random(5);
  for (int i = 0; i < 5000; ++i) {
    std::string bytes = whole;
    bytes[random.Below(bytes.size())] = static_cast<char>(random.Below(256));
    if (random.Below(3) == 0) {
      bytes.resize(random.Below(bytes.size()));
    }
    const auto spoilt = DecodeNeighbourMessage(bytes);
    if (spoilt.ok()) {
      CHECK(spoilt->shares.size() <= 256);
    }
  }
  CHECK_FALSE(DecodeNeighbourMessage("").ok());
  CHECK_FALSE(DecodeNeighbourMessage(std::string(20000, 'x')).ok());
}

}  // namespace
}  // namespace limpetlink
