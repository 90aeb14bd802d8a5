#include <algorithm>
#include <catch2/catch.hpp>

#include "tests/hosts/host_group.h"

namespace limpetlink::testing {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr Duration kEverywhere = seconds(13);

/// @brief A group whose every adoption is checked to rise.
class ConfigurationFixture {
 public:
  void Make(std::size_t hosts, std::uint64_t seed, double loss = 0.01) {
    GroupOptions options;
    options.hosts = hosts;
    options.seed = seed;
    options.loss = loss;
    this->group = std::make_unique<HostGroup>(options);
    this->in_force.assign(hosts, 0);
    this->group->on_adopted = [this](std::size_t host,
                                     const ConfigurationApplied& adopted) {
      REQUIRE(adopted.version > this->in_force[host]);
      const std::string marker = "\"v" + std::to_string(adopted.version) + "\"";
      REQUIRE(adopted.text.find(marker) != std::string::npos);
      this->in_force[host] = adopted.version;
    };
    this->Write();
    this->group->StartAll();
    REQUIRE(this->group->RunUntil([this] { return this->AllReady(); },
                                  seconds(15)));
    this->group->Run(seconds(10));
  }

  std::uint64_t Write(const std::string& extra = "x") {
    const std::uint64_t version =
        this->group->platform.objects["fleet/today"].version + 1;
    const std::string text = R"({"mark":"v)" + std::to_string(version) +
                             R"(","extra":")" + extra + R"("})";
    return this->group->WriteDocument(text);
  }

  bool AllReady() const {
    return std::all_of(this->group->hosts.begin(), this->group->hosts.end(),
                       [](const GroupHost& host) {
                         return !host.up || host.configuration->Ready();
                       });
  }

  bool InForceEverywhere(std::uint64_t version, Duration limit) const {
    return this->group->RunUntil(
        [this, version] {
          return this->group->CountAtVersion(version) == this->group->CountUp();
        },
        limit);
  }

  void PlatformAway(const std::function<bool(std::size_t)>& away) const {
    this->group->fate = [away](std::size_t host, const HttpCall&) {
      return away(host) ? CallFate::kNotConnected : CallFate::kServed;
    };
  }

  /// @brief A restarted process begins with nothing in force.
  void Restart(std::size_t host) {
    this->in_force[host] = 0;
    this->group->Kill(host);
    this->group->StartHost(host);
  }

  std::unique_ptr<HostGroup> group;
  std::vector<std::uint64_t> in_force;
};

TEST_CASE_METHOD(ConfigurationFixture,
                 "configuration, a change, is in force everywhere in seconds") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    this->Make(3 + seed, seed);
    for (int change = 0; change < 5; ++change) {
      INFO("seed " << seed);
      REQUIRE(this->InForceEverywhere(this->Write(), kEverywhere));
      this->group->Run(seconds(seed % 4));
    }
  }
}

TEST_CASE_METHOD(ConfigurationFixture,
                 "configuration, watches that never answer, a change is in "
                 "force everywhere in 13 s") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    this->Make(3 + seed, seed);
    this->group->fate = [](std::size_t, const HttpCall& call) {
      const bool waits = call.url.find("watch=") != std::string::npos &&
                         call.url.find("wait_ms=0") == std::string::npos;
      return waits ? CallFate::kHangs : CallFate::kServed;
    };
    this->group->Run(seconds(20));
    INFO("seed " << seed);
    CHECK(this->InForceEverywhere(this->Write(), kEverywhere));
  }
}

TEST_CASE_METHOD(ConfigurationFixture,
                 "configuration, only one host in five reaches the platform, a "
                 "change is in force everywhere in 13 s") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    this->Make(5 + seed, seed);
    const std::size_t rest = seed % 5;
    this->PlatformAway([rest](std::size_t host) { return host % 5 != rest; });
    this->group->Run(seconds(30));
    for (int change = 0; change < 3; ++change) {
      INFO("seed " << seed);
      CHECK(this->InForceEverywhere(this->Write(), kEverywhere));
      this->group->Run(seconds(3));
    }
  }
}

TEST_CASE_METHOD(ConfigurationFixture,
                 "configuration, outage of the platform, a new host serves "
                 "only after the spreading time with the newest version") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    this->Make(4 + seed % 8, seed);
    const std::uint64_t newest = this->Write();
    REQUIRE(this->InForceEverywhere(newest, kEverywhere));
    this->PlatformAway([](std::size_t) { return true; });
    this->group->Run(seconds(5));
    this->Restart(1);
    const auto ready = [this] {
      return this->group->hosts[1].configuration->Ready();
    };
    INFO("seed " << seed);
    CHECK_FALSE(this->group->RunUntil(ready, seconds(12)));
    CHECK(this->group->RunUntil(ready, seconds(12)));
    CHECK(this->in_force[1] == newest);
  }
}

TEST_CASE_METHOD(ConfigurationFixture,
                 "configuration, all hosts are new in an outage, none serves "
                 "before the platform is back") {
  this->Make(6, 1);
  this->PlatformAway([](std::size_t) { return true; });
  for (std::size_t host = 0; host < 6; ++host) {
    this->Restart(host);
  }
  this->group->Run(minutes(2));
  for (const GroupHost& host : this->group->hosts) {
    CHECK_FALSE(host.configuration->Ready());
  }
  this->group->fate = {};
  CHECK(
      this->group->RunUntil([this] { return this->AllReady(); }, seconds(20)));
}

TEST_CASE_METHOD(ConfigurationFixture,
                 "configuration, a frozen host wakes, is not ready before it "
                 "has the newest version") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    this->Make(6, seed);
    this->group->Freeze(2, seconds(40));
    this->group->Run(seconds(20));
    const std::uint64_t newest = this->Write();
    const auto woken = [this] {
      return this->group->hosts[2].membership->Counters().freezes == 1;
    };
    bool early = false;
    this->group->on_membership = [&](std::size_t, const MembershipAction&) {
      early = early || (woken() && this->in_force[2] < newest &&
                        this->group->hosts[2].configuration->Ready());
    };
    INFO("seed " << seed);
    REQUIRE(this->group->RunUntil(woken, seconds(21)));
    CHECK_FALSE(this->group->hosts[2].configuration->Ready());
    CHECK(
        this->group->RunUntil([this] { return this->AllReady(); }, seconds(5)));
    CHECK(this->in_force[2] == newest);
    CHECK_FALSE(early);
  }
}

TEST_CASE_METHOD(ConfigurationFixture,
                 "configuration, a document that does not validate, is refused "
                 "and counted and the next one is adopted") {
  this->Make(7, 1);
  const std::uint64_t before = this->in_force[0];
  this->Write("invalid");
  this->group->Run(seconds(20));
  for (std::size_t host = 0; host < 7; ++host) {
    CHECK(this->in_force[host] == before);
    CHECK(this->group->hosts[host].configuration->Ready());
  }
  std::uint64_t refused = 0;
  for (const GroupHost& host : this->group->hosts) {
    refused += host.configuration->Counters().rejected_documents;
  }
  CHECK(refused >= 3);
  CHECK(this->InForceEverywhere(this->Write(), kEverywhere));
}

TEST_CASE_METHOD(
    ConfigurationFixture,
    "configuration, regions apart, restarts, loss and outages "
    "while operators write, versions only rise and agree at last") {
  for (std::uint64_t seed = 1; seed <= 25; ++seed) {
    const std::size_t hosts = 4 + seed % 9;
    this->Make(hosts, seed, 0.1);
    Random random(seed * 77);
    for (int turn = 0; turn < 25; ++turn) {
      const std::size_t half = 1 + random.Below(hosts - 1);
      switch (random.Below(6)) {
        case 0:
          this->group->cut = [half](std::size_t a, std::size_t b) {
            return (a < half) != (b < half);
          };
          break;
        case 1:
          this->group->cut = {};
          break;
        case 2:
          this->Restart(half);
          break;
        case 3:
          this->group->Freeze(half, seconds(random.Below(20)));
          break;
        case 4:
          this->PlatformAway([half](std::size_t host) { return host >= half; });
          break;
        default:
          this->group->fate = {};
          break;
      }
      this->Write();
      this->group->Run(seconds(random.Below(12)));
    }
    this->group->cut = {};
    this->group->fate = {};
    this->group->Run(seconds(60));
    INFO("seed " << seed);
    CHECK(this->InForceEverywhere(this->Write(), kEverywhere));
    CHECK(this->AllReady());
    CHECK(this->group->ViewsAgree());
  }
}

}  // namespace
}  // namespace limpetlink::testing
