#include <algorithm>
#include <catch2/catch.hpp>

#include "tests/hosts/host_group.h"

namespace limpetlink::testing {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

class MembershipFixture {
 public:
  static GroupOptions Options(std::size_t hosts, std::uint64_t seed) {
    GroupOptions options;
    options.hosts = hosts;
    options.seed = seed;
    return options;
  }

  static bool ViewsConverge(HostGroup* group, Duration limit) {
    return group->RunUntil([group] { return group->ViewsAgree(); }, limit);
  }

  static std::uint64_t CountDeaths(const HostGroup& group) {
    std::uint64_t deaths = 0;
    for (const GroupHost& host : group.hosts) {
      deaths += host.running ? host.membership->Counters().deaths : 0;
    }
    return deaths;
  }
};

TEST_CASE_METHOD(MembershipFixture,
                 "membership, hosts start together, every host sees all") {
  for (const std::size_t hosts : {1U, 3U, 6U, 25U}) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      HostGroup group(Options(hosts, seed));
      group.StartAll();
      INFO("hosts " << hosts << " seed " << seed);
      REQUIRE(ViewsConverge(&group, seconds(15)));
      group.RunFor(seconds(8));
      CHECK(group.hosts[0].membership->IsCurrent());
    }
  }
}

TEST_CASE_METHOD(
    MembershipFixture,
    "membership, a host dies, every other host removes it in seconds "
    "and no live host is declared dead") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    GroupOptions options = Options(3 + seed % 12, seed);
    options.loss_rate = seed % 2 == 0 ? 0.02 : 0.0;
    HostGroup group(options);
    group.StartAll();
    REQUIRE(ViewsConverge(&group, seconds(15)));
    group.RunFor(seconds(5));
    group.Kill(1);
    INFO("seed " << seed);
    REQUIRE(ViewsConverge(&group, seconds(16)));
    const std::uint64_t deaths = CountDeaths(group);
    group.RunFor(seconds(60));
    CHECK(CountDeaths(group) == deaths);
    CHECK(group.ViewsAgree());
  }
}

TEST_CASE_METHOD(MembershipFixture,
                 "membership, a host restarts under its address, all see it "
                 "live and are notified of the restart") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    HostGroup group(Options(6, seed));
    group.StartAll();
    REQUIRE(ViewsConverge(&group, seconds(15)));
    group.RunFor(seconds(5));
    std::vector<bool> notified(6, false);
    group.on_membership = [&notified](std::size_t host,
                                      const MembershipAction& action) {
      notified[host] =
          notified[host] || std::holds_alternative<HostRestarted>(action);
    };
    group.Kill(2);
    group.RunFor(seconds(seed % 3 == 0 ? 20 : 1));
    group.StartHost(2);
    const auto all_notified = [&] {
      const auto count = std::count(notified.begin(), notified.end(), true);
      return count == 5 && group.ViewsAgree();
    };
    INFO("seed " << seed);
    CHECK(group.RunUntil(all_notified, seconds(30)));
    group.RunFor(seconds(10));
    CHECK(group.ViewsAgree());
  }
}

TEST_CASE_METHOD(MembershipFixture,
                 "membership, 120 hosts, keep few neighbours and detect a "
                 "death in seconds") {
  HostGroup group(Options(120, 5));
  group.StartAll();
  const auto agree = [&group](Duration limit) {
    const Instant end = group.now + limit;
    while (!group.ViewsAgree() && group.now < end) {
      group.RunFor(std::chrono::milliseconds(500));
    }
    return group.ViewsAgree();
  };
  REQUIRE(agree(seconds(30)));
  group.RunFor(seconds(20));
  for (const GroupHost& host : group.hosts) {
    CHECK(host.membership->Neighbours().size() <= 14);
  }
  const std::uint64_t before = CountDeaths(group);
  CHECK(before == 0);
  group.Kill(77);
  CHECK(agree(seconds(15)));
  group.StartHost(77);
  CHECK(agree(seconds(15)));
}

TEST_CASE_METHOD(MembershipFixture,
                 "membership, a host leaves, others remove it immediately") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    HostGroup group(Options(8, seed));
    group.StartAll();
    REQUIRE(ViewsConverge(&group, seconds(15)));
    group.hosts[3].membership->Leave(group.now);
    const auto removed_everywhere = [&group] {
      return std::all_of(group.hosts.begin(), group.hosts.end(),
                         [&group](const GroupHost& host) {
                           const auto& live = host.membership->Live();
                           return std::find(live.begin(), live.end(),
                                            group.hosts[3].id) == live.end();
                         });
    };
    INFO("seed " << seed);
    CHECK(group.RunUntil(removed_everywhere, seconds(3)));
    group.RunFor(seconds(30));
    CHECK(removed_everywhere());
  }
}

TEST_CASE_METHOD(MembershipFixture,
                 "membership, two regions partitioned for minutes, each side "
                 "stays live and both merge again") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    HostGroup group(Options(12, seed));
    group.StartAll();
    REQUIRE(ViewsConverge(&group, seconds(15)));
    group.drop_frame = [](std::size_t a, std::size_t b) {
      return (a < 5) != (b < 5);
    };
    const auto partitioned = [&group] {
      return group.hosts[0].membership->Live().size() == 5 &&
             group.hosts[11].membership->Live().size() == 7;
    };
    INFO("seed " << seed);
    CHECK(group.RunUntil(partitioned, seconds(60)));
    group.RunFor(minutes(6));
    CHECK(partitioned());
    group.drop_frame = {};
    CHECK(ViewsConverge(&group, seconds(60)));
  }
}

TEST_CASE_METHOD(
    MembershipFixture,
    "membership, a frozen host resumes, suspects nobody and is not "
    "current before it has synchronised") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    HostGroup group(Options(9, seed));
    group.StartAll();
    REQUIRE(ViewsConverge(&group, seconds(15)));
    group.RunFor(seconds(8));
    REQUIRE(group.hosts[4].membership->IsCurrent());
    const std::uint64_t suspicions_before =
        group.hosts[4].membership->Counters().suspicions;
    group.Freeze(4, seconds(30));
    const auto has_resumed = [&group] {
      return group.hosts[4].membership->Counters().freezes == 1;
    };
    REQUIRE(group.RunUntil(has_resumed, seconds(31)));
    CHECK_FALSE(group.hosts[4].membership->IsCurrent());
    INFO("seed " << seed);
    CHECK(ViewsConverge(&group, seconds(15)));
    CHECK(group.hosts[4].membership->Counters().suspicions ==
          suspicions_before);
    const auto current = [&group] {
      return group.hosts[4].membership->IsCurrent();
    };
    CHECK(group.RunUntil(current, seconds(5)));
  }
}

TEST_CASE_METHOD(MembershipFixture,
                 "membership, a reply to a request from before a freeze, does "
                 "not make the view current") {
  HostGroup group(Options(3, 1));
  group.StartAll();
  REQUIRE(ViewsConverge(&group, seconds(15)));
  Membership& membership = *group.hosts[0].membership;
  std::string sync_request;
  group.on_membership = [&sync_request](std::size_t host,
                                        const MembershipAction& action) {
    const auto* send = std::get_if<MembershipSend>(&action);
    const auto message =
        DecodeGossip(send == nullptr || host != 0 ? "" : send->bytes);
    if (message.ok() && message->kind == GossipKind::kSyncRequest) {
      sync_request = send->bytes;
    }
  };
  group.drop_frame = [](std::size_t, std::size_t) { return true; };
  group.Freeze(0, seconds(10));
  REQUIRE(group.RunUntil([&sync_request] { return !sync_request.empty(); },
                         seconds(11)));
  const GossipMessage first = *DecodeGossip(sync_request);
  membership.Tick(group.now + seconds(20));  // a second freeze
  GossipMessage reply;
  reply.kind = GossipKind::kSyncReply;
  reply.sequence = first.sequence;
  membership.OnPeer(group.now + seconds(20), group.hosts[1].id,
                    EncodeGossip(reply));
  CHECK_FALSE(membership.IsCurrent());
}

TEST_CASE_METHOD(MembershipFixture,
                 "membership, a broadcast, reaches every host once for each "
                 "version") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    GroupOptions options = Options(30, seed);
    options.loss_rate = 0.02;
    HostGroup group(options);
    group.StartAll();
    REQUIRE(ViewsConverge(&group, seconds(20)));
    std::vector<int> received(30, 0);
    group.on_membership = [&received](std::size_t host,
                                      const MembershipAction& action) {
      received[host] +=
          std::holds_alternative<BroadcastReceived>(action) ? 1 : 0;
    };
    group.hosts[7].membership->Disseminate(group.now,
                                           {1, "worker-1", 5, "leaving"});
    const auto everywhere = [&received] {
      return std::count(received.begin(), received.end(), 1) == 29;
    };
    INFO("seed " << seed);
    CHECK(group.RunUntil(everywhere, seconds(5)));
    group.RunFor(seconds(10));
    CHECK(everywhere());
  }
}

TEST_CASE_METHOD(MembershipFixture,
                 "membership, malformed messages, are rejected and counted") {
  HostGroup group(Options(3, 1));
  group.StartAll();
  REQUIRE(ViewsConverge(&group, seconds(15)));
  Membership& membership = *group.hosts[0].membership;
  Random random(3);
  const std::string good = EncodeGossip(
      {GossipKind::kProbe, 7, HostId{}, 9, {Member{}}, {}, {}, "x"});
  for (int i = 0; i < 20000; ++i) {
    std::string bytes = good;
    bytes[random.Below(bytes.size())] = static_cast<char>(random() & 0xFFU);
    membership.OnPeer(group.now, group.hosts[1].id, bytes);
    membership.TakeActions();
  }
  CHECK(membership.Counters().rejected_messages > 0);
}

}  // namespace
}  // namespace limpetlink::testing
