#include <algorithm>
#include <catch2/catch.hpp>

#include "tests/hosts/host_group.h"

namespace limpetlink::testing {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr Duration kPropagationLimit = seconds(13);

/// @brief Checks that the versions each host applies only increase.
class ConfigurationFixture {
 public:
  void StartGroup(std::size_t hosts, std::uint64_t seed,
                  double loss_rate = 0.01) {
    GroupOptions options;
    options.hosts = hosts;
    options.seed = seed;
    options.loss_rate = loss_rate;
    this->group = std::make_unique<HostGroup>(options);
    this->active_version.assign(hosts, 0);
    this->group->on_applied = [this](std::size_t host,
                                     const ConfigurationApplied& applied) {
      REQUIRE(applied.version > this->active_version[host]);
      const std::string marker = "\"v" + std::to_string(applied.version) + "\"";
      REQUIRE(applied.text.find(marker) != std::string::npos);
      this->active_version[host] = applied.version;
    };
    this->WriteDocument();
    this->group->StartAll();
    REQUIRE(this->group->RunUntil([this] { return this->AllReady(); },
                                  seconds(15)));
    this->group->RunFor(seconds(10));
  }

  std::uint64_t WriteDocument(const std::string& extra = "x") {
    const std::uint64_t version =
        this->group->platform.objects["fleet/today"].version + 1;
    const std::string text = R"({"mark":"v)" + std::to_string(version) +
                             R"(","extra":")" + extra + R"("})";
    return this->group->WriteDocument(text);
  }

  bool AllReady() const {
    return std::all_of(this->group->hosts.begin(), this->group->hosts.end(),
                       [](const GroupHost& host) {
                         return !host.running || host.configuration->Ready();
                       });
  }

  bool IsActiveEverywhere(std::uint64_t version, Duration limit) const {
    return this->group->RunUntil(
        [this, version] {
          return this->group->CountAtVersion(version) ==
                 this->group->CountRunning();
        },
        limit);
  }

  void SetUnreachable(
      const std::function<bool(std::size_t)>& unreachable) const {
    this->group->call_outcome = [unreachable](std::size_t host,
                                              const HttpCall&) {
      return unreachable(host) ? CallOutcome::kNotConnected
                               : CallOutcome::kServed;
    };
  }

  /// @brief Restarts a host; its new process has no active version.
  void Restart(std::size_t host) {
    this->active_version[host] = 0;
    this->group->Kill(host);
    this->group->StartHost(host);
  }

  std::unique_ptr<HostGroup> group;
  std::vector<std::uint64_t> active_version;
};

TEST_CASE_METHOD(ConfigurationFixture,
                 "configuration, a change, is active everywhere in seconds") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    this->StartGroup(3 + seed, seed);
    for (int change = 0; change < 5; ++change) {
      INFO("seed " << seed);
      REQUIRE(
          this->IsActiveEverywhere(this->WriteDocument(), kPropagationLimit));
      this->group->RunFor(seconds(seed % 4));
    }
  }
}

TEST_CASE_METHOD(ConfigurationFixture,
                 "configuration, watches that never return, a change is "
                 "active everywhere in 13 s") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    this->StartGroup(3 + seed, seed);
    this->group->call_outcome = [](std::size_t, const HttpCall& call) {
      const bool is_long_poll = call.url.find("watch=") != std::string::npos &&
                                call.url.find("wait_ms=0") == std::string::npos;
      return is_long_poll ? CallOutcome::kHangs : CallOutcome::kServed;
    };
    this->group->RunFor(seconds(20));
    INFO("seed " << seed);
    CHECK(this->IsActiveEverywhere(this->WriteDocument(), kPropagationLimit));
  }
}

TEST_CASE_METHOD(ConfigurationFixture,
                 "configuration, only one host in five reaches the platform, a "
                 "change is active everywhere in 13 s") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    this->StartGroup(5 + seed, seed);
    const std::size_t reachable_remainder = seed % 5;
    this->SetUnreachable([reachable_remainder](std::size_t host) {
      return host % 5 != reachable_remainder;
    });
    this->group->RunFor(seconds(30));
    for (int change = 0; change < 3; ++change) {
      INFO("seed " << seed);
      CHECK(this->IsActiveEverywhere(this->WriteDocument(), kPropagationLimit));
      this->group->RunFor(seconds(3));
    }
  }
}

TEST_CASE_METHOD(ConfigurationFixture,
                 "configuration, outage of the platform, a new host serves "
                 "only after the propagation time with the newest version") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    this->StartGroup(4 + seed % 8, seed);
    const std::uint64_t newest = this->WriteDocument();
    REQUIRE(this->IsActiveEverywhere(newest, kPropagationLimit));
    this->SetUnreachable([](std::size_t) { return true; });
    this->group->RunFor(seconds(5));
    this->Restart(1);
    const auto ready = [this] {
      return this->group->hosts[1].configuration->Ready();
    };
    INFO("seed " << seed);
    CHECK_FALSE(this->group->RunUntil(ready, seconds(12)));
    CHECK(this->group->RunUntil(ready, seconds(12)));
    CHECK(this->active_version[1] == newest);
  }
}

TEST_CASE_METHOD(ConfigurationFixture,
                 "configuration, all hosts are new in an outage, none serves "
                 "before the platform recovers") {
  this->StartGroup(6, 1);
  this->SetUnreachable([](std::size_t) { return true; });
  for (std::size_t host = 0; host < 6; ++host) {
    this->Restart(host);
  }
  this->group->RunFor(minutes(2));
  for (const GroupHost& host : this->group->hosts) {
    CHECK_FALSE(host.configuration->Ready());
  }
  this->group->call_outcome = {};
  CHECK(
      this->group->RunUntil([this] { return this->AllReady(); }, seconds(20)));
}

TEST_CASE_METHOD(ConfigurationFixture,
                 "configuration, a frozen host resumes, is not ready before it "
                 "has the newest version") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    this->StartGroup(6, seed);
    this->group->Freeze(2, seconds(40));
    this->group->RunFor(seconds(20));
    const std::uint64_t newest = this->WriteDocument();
    const auto has_resumed = [this] {
      return this->group->hosts[2].membership->Counters().freezes == 1;
    };
    bool ready_too_early = false;
    this->group->on_membership = [&](std::size_t, const MembershipAction&) {
      ready_too_early = ready_too_early ||
                        (has_resumed() && this->active_version[2] < newest &&
                         this->group->hosts[2].configuration->Ready());
    };
    INFO("seed " << seed);
    REQUIRE(this->group->RunUntil(has_resumed, seconds(21)));
    CHECK_FALSE(this->group->hosts[2].configuration->Ready());
    CHECK(
        this->group->RunUntil([this] { return this->AllReady(); }, seconds(5)));
    CHECK(this->active_version[2] == newest);
    CHECK_FALSE(ready_too_early);
  }
}

TEST_CASE_METHOD(ConfigurationFixture,
                 "configuration, an invalid document, is rejected "
                 "and counted and the next one is applied") {
  this->StartGroup(7, 1);
  const std::uint64_t before = this->active_version[0];
  this->WriteDocument("invalid");
  this->group->RunFor(seconds(20));
  for (std::size_t host = 0; host < 7; ++host) {
    CHECK(this->active_version[host] == before);
    CHECK(this->group->hosts[host].configuration->Ready());
  }
  std::uint64_t rejected = 0;
  for (const GroupHost& host : this->group->hosts) {
    rejected += host.configuration->Counters().rejected_documents;
  }
  CHECK(rejected >= 3);
  CHECK(this->IsActiveEverywhere(this->WriteDocument(), kPropagationLimit));
}

TEST_CASE_METHOD(
    ConfigurationFixture,
    "configuration, partitions, restarts, loss and outages while "
    "operators write, versions only increase and finally converge") {
  for (std::uint64_t seed = 1; seed <= 25; ++seed) {
    const std::size_t hosts = 4 + seed % 9;
    this->StartGroup(hosts, seed, 0.1);
    Random random(seed * 77);
    for (int round = 0; round < 25; ++round) {
      const std::size_t half = 1 + random.Below(hosts - 1);
      switch (random.Below(6)) {
        case 0:
          this->group->drop_frame = [half](std::size_t a, std::size_t b) {
            return (a < half) != (b < half);
          };
          break;
        case 1:
          this->group->drop_frame = {};
          break;
        case 2:
          this->Restart(half);
          break;
        case 3:
          this->group->Freeze(half, seconds(random.Below(20)));
          break;
        case 4:
          this->SetUnreachable(
              [half](std::size_t host) { return host >= half; });
          break;
        default:
          this->group->call_outcome = {};
          break;
      }
      this->WriteDocument();
      this->group->RunFor(seconds(random.Below(12)));
    }
    this->group->drop_frame = {};
    this->group->call_outcome = {};
    this->group->RunFor(seconds(60));
    INFO("seed " << seed);
    CHECK(this->IsActiveEverywhere(this->WriteDocument(), kPropagationLimit));
    CHECK(this->AllReady());
    CHECK(this->group->ViewsAgree());
  }
}

}  // namespace
}  // namespace limpetlink::testing
