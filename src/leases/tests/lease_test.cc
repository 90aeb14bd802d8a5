#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>

#include "leases/leases.h"
#include "metadata_store/tests/fake_platform.h"

namespace limpetlink {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(20);
constexpr Duration kDelay = milliseconds(10);

/// @brief Simulates hosts that compete for one lease, each with a clock of its
/// own rate.
class LeaseFixture {
 public:
  struct Holder {
    std::unique_ptr<MetadataStoreClient> client;
    std::unique_ptr<Lease> lease;
    double rate = 1.0;
    Instant paused_until{};
    bool disconnected = false;
  };

  void Make(std::size_t count, std::uint64_t seed) {
    this->random = Random(seed);
    this->platform = testing::FakePlatform();
    this->holders.clear();
    this->queue.clear();
    this->epochs.clear();
    for (std::size_t i = 0; i < count; ++i) {
      Holder holder;
      holder.rate = 0.95 + 0.1 * this->random.Fraction();
      MetadataStoreSettings platform{"http://10.0.0.9:80", {50, 50, 50, 50}};
      platform.seed = seed + i;
      holder.client = std::make_unique<MetadataStoreClient>(
          platform, [this] { return CallId{++this->last_call}; });
      LeaseSettings settings;
      settings.name = "placement";
      settings.holder = "entry-" + std::to_string(i);
      settings.seed = seed;
      holder.lease = std::make_unique<Lease>(settings, holder.client.get());
      this->holders.push_back(std::move(holder));
      this->holders.back().lease->Start(this->Local(i));
    }
  }

  Instant Local(std::size_t index) const {
    const double passed = ToSeconds(this->now.time_since_epoch());
    return Instant(FromSeconds(passed * this->holders[index].rate));
  }

  void Run(Duration span) {
    const Instant end = this->now + span;
    for (; this->now < end; this->now += kStep) {
      this->RunQueue();
      for (std::size_t i = 0; i < this->holders.size(); ++i) {
        if (this->holders[i].paused_until <= this->now) {
          this->Step(i);
        }
      }
      this->CheckOneHolder();
    }
  }

  void Step(std::size_t index) {
    Holder& holder = this->holders[index];
    const Instant local = this->Local(index);
    holder.lease->Tick(local);
    holder.client->Tick(local);
    for (const StoreResult& result : holder.client->TakeResults()) {
      holder.lease->OnStoreResult(local, result);
    }
    for (const Action& action : holder.client->TakeActions()) {
      if (const auto* call = std::get_if<HttpCall>(&action)) {
        this->Deliver(index, *call);
      }
    }
    for (const LeaseChange& change : holder.lease->TakeChanges()) {
      if (change.held) {
        // Each epoch belongs to one holder, and a later holder has a higher
        // epoch. A holder may regain its own epoch if no other held the lease
        // in between.
        const bool first = this->epochs.empty();
        const std::uint64_t last = first ? 0 : this->epochs.rbegin()->first;
        const bool again = !first && change.epoch == last;
        REQUIRE((change.epoch > last || again));
        REQUIRE((!again || this->epochs.at(last) == index));
        this->epochs[change.epoch] = index;
      }
    }
  }

  /// @brief Delivers a call to the platform; may delay it, or lose the call or
  /// its response.
  void Deliver(std::size_t index, const HttpCall& call) {
    const double roll = this->random.Fraction();
    const bool disconnected = this->holders[index].disconnected;
    Duration delay = kDelay;
    bool responds = !disconnected;
    if (!disconnected && roll < this->faults) {
      responds = roll > this->faults / 3;
      delay = roll > this->faults * 2 / 3 ? seconds(this->random.Below(25))
                                          : kDelay;
    }
    const bool reached = !disconnected;
    this->queue.emplace(
        this->now + delay, [this, index, call, responds, reached] {
          const auto response = reached ? this->platform.Serve(call)
                                        : testing::FakePlatform::Response{};
          MetadataStoreClient& client = *this->holders[index].client;
          const Instant local = this->Local(index);
          if (!responds) {
            client.OnDone(local, {call.id, HttpEnd::kCut});
            return;
          }
          for (const Event& event : testing::ToEvents(call.id, response)) {
            if (const auto* head = std::get_if<HttpHead>(&event)) {
              client.OnHead(local, *head);
            } else if (const auto* chunk = std::get_if<HttpChunk>(&event)) {
              client.OnChunk(local, *chunk);
            } else {
              client.OnDone(local, std::get<HttpDone>(event));
            }
          }
        });
  }

  void RunQueue() {
    while (!this->queue.empty() && this->queue.begin()->first <= this->now) {
      const auto run = this->queue.begin()->second;
      this->queue.erase(this->queue.begin());
      run();
    }
  }

  std::size_t CountHeld() const {
    std::size_t count = 0;
    for (std::size_t i = 0; i < this->holders.size(); ++i) {
      count += this->holders[i].lease->Held(this->Local(i)) ? 1 : 0;
    }
    return count;
  }

  void CheckOneHolder() const { REQUIRE(this->CountHeld() <= 1); }

  std::size_t HolderNow() const {
    for (std::size_t i = 0; i < this->holders.size(); ++i) {
      if (this->holders[i].lease->Held(this->Local(i))) {
        return i;
      }
    }
    return this->holders.size();
  }

  Random random{1};
  double faults = 0.0;
  testing::FakePlatform platform;
  std::vector<Holder> holders;
  std::multimap<Instant, std::function<void()>> queue;
  std::map<std::uint64_t, std::size_t> epochs;
  std::uint64_t last_call = 0;
  Instant now{seconds(1000)};
};

TEST_CASE_METHOD(LeaseFixture, "lease, no faults, keeps one holder") {
  this->Make(3, 1);
  this->Run(seconds(5));
  const std::size_t holder = this->HolderNow();
  REQUIRE(holder < 3);
  this->Run(seconds(120));
  CHECK(this->HolderNow() == holder);
  CHECK(this->epochs.size() == 1);
}

TEST_CASE_METHOD(
    LeaseFixture,
    "lease, holder is paused or disconnected, another acquires it with "
    "a higher epoch and the old one stops holding") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    this->Make(3, seed);
    this->Run(seconds(5));
    const std::size_t old = this->HolderNow();
    REQUIRE(old < 3);
    if (seed % 2 == 0) {
      this->holders[old].paused_until = this->now + seconds(60);
    } else {
      this->holders[old].disconnected = true;
    }
    this->Run(seconds(25));
    INFO("seed " << seed);
    const std::size_t next = this->HolderNow();
    CHECK(next < 3);
    CHECK(next != old);
    this->Run(seconds(60));
    CHECK_FALSE(this->holders[old].lease->Held(this->Local(old)));
  }
}

TEST_CASE_METHOD(LeaseFixture,
                 "lease, holder releases it, another acquires it at once") {
  this->Make(2, 3);
  this->Run(seconds(5));
  const std::size_t old = this->HolderNow();
  this->holders[old].lease->Release(this->Local(old));
  CHECK(this->CountHeld() == 0);
  this->Run(seconds(6));
  CHECK(this->HolderNow() == 1 - old);
}

TEST_CASE_METHOD(LeaseFixture,
                 "lease, lost and delayed responses, pauses and clock drift, "
                 "never has two holders and always gets one again") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    this->faults = 0.3;
    this->Make(2 + seed % 4, seed);
    for (int turn = 0; turn < 20; ++turn) {
      Holder& holder = this->holders[this->random.Below(this->holders.size())];
      if (this->random.Below(2) == 0) {
        holder.paused_until = this->now + seconds(this->random.Below(30));
      } else {
        holder.disconnected = !holder.disconnected;
      }
      this->Run(seconds(this->random.Below(15)));
    }
    this->faults = 0;
    for (Holder& holder : this->holders) {
      holder.disconnected = false;
    }
    this->Run(seconds(70));
    INFO("seed " << seed);
    CHECK(this->CountHeld() == 1);
  }
}

TEST_CASE("lease record, malformed JSON, is rejected") {
  CHECK_FALSE(ReadLeaseRecord("").has_value());
  CHECK_FALSE(ReadLeaseRecord("[]").has_value());
  CHECK_FALSE(ReadLeaseRecord(R"({"holder":3,"epoch":1})").has_value());
  CHECK(ReadLeaseRecord(WriteLeaseRecord({"a\xFF", 4}))->epoch == 4);
}

}  // namespace
}  // namespace limpetlink
