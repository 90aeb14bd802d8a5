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

constexpr Duration kSlice = milliseconds(20);
constexpr Duration kWay = milliseconds(10);

/// @brief Some holders of one lease, each with a clock of its own rate.
class LeaseFixture {
 public:
  struct Holder {
    std::unique_ptr<MetadataStoreClient> client;
    std::unique_ptr<Lease> lease;
    double rate = 1.0;
    Instant paused_until{};
    bool away = false;
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
    for (; this->now < end; this->now += kSlice) {
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
      holder.lease->OnPlatform(local, result);
    }
    for (const Action& action : holder.client->TakeActions()) {
      if (const auto* call = std::get_if<HttpCall>(&action)) {
        this->Carry(index, *call);
      }
    }
    for (const LeaseChange& change : holder.lease->TakeChanges()) {
      if (change.held) {
        // An epoch belongs to one holder, and a later holder's is higher; the
        // same holder may come back to it while nobody came between.
        const bool first = this->epochs.empty();
        const std::uint64_t last = first ? 0 : this->epochs.rbegin()->first;
        const bool again = !first && change.epoch == last;
        REQUIRE((change.epoch > last || again));
        REQUIRE((!again || this->epochs.at(last) == index));
        this->epochs[change.epoch] = index;
      }
    }
  }

  /// @brief Takes a call to the platform, perhaps late, perhaps in vain.
  void Carry(std::size_t index, const HttpCall& call) {
    const double dice = this->random.Fraction();
    const bool away = this->holders[index].away;
    Duration way = kWay;
    bool answered = !away;
    if (!away && dice < this->faults) {
      answered = dice > this->faults / 3;
      way =
          dice > this->faults * 2 / 3 ? seconds(this->random.Below(25)) : kWay;
    }
    const bool runs = !away;
    this->queue.emplace(this->now + way, [this, index, call, answered, runs] {
      const auto answer =
          runs ? this->platform.Serve(call) : testing::FakePlatform::Response{};
      MetadataStoreClient& client = *this->holders[index].client;
      const Instant local = this->Local(index);
      if (!answered) {
        client.OnDone(local, {call.id, HttpEnd::kCut});
        return;
      }
      for (const Event& event : testing::ToEvents(call.id, answer)) {
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

TEST_CASE_METHOD(LeaseFixture,
                 "lease, nothing fails, has one holder that stays") {
  this->Make(3, 1);
  this->Run(seconds(5));
  const std::size_t holder = this->HolderNow();
  REQUIRE(holder < 3);
  this->Run(seconds(120));
  CHECK(this->HolderNow() == holder);
  CHECK(this->epochs.size() == 1);
}

TEST_CASE_METHOD(LeaseFixture,
                 "lease, holder is paused or cut off, passes to another with a "
                 "higher epoch and the old one knows") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    this->Make(3, seed);
    this->Run(seconds(5));
    const std::size_t old = this->HolderNow();
    REQUIRE(old < 3);
    if (seed % 2 == 0) {
      this->holders[old].paused_until = this->now + seconds(60);
    } else {
      this->holders[old].away = true;
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

TEST_CASE_METHOD(LeaseFixture, "lease, holder releases it, passes at once") {
  this->Make(2, 3);
  this->Run(seconds(5));
  const std::size_t old = this->HolderNow();
  this->holders[old].lease->Release(this->Local(old));
  CHECK(this->CountHeld() == 0);
  this->Run(seconds(6));
  CHECK(this->HolderNow() == 1 - old);
}

TEST_CASE_METHOD(LeaseFixture,
                 "lease, lost and late answers with pauses and drifting "
                 "clocks, never has two holders and is never lost for good") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    this->faults = 0.3;
    this->Make(2 + seed % 4, seed);
    for (int turn = 0; turn < 20; ++turn) {
      Holder& holder = this->holders[this->random.Below(this->holders.size())];
      if (this->random.Below(2) == 0) {
        holder.paused_until = this->now + seconds(this->random.Below(30));
      } else {
        holder.away = !holder.away;
      }
      this->Run(seconds(this->random.Below(15)));
    }
    this->faults = 0;
    for (Holder& holder : this->holders) {
      holder.away = false;
    }
    this->Run(seconds(70));
    INFO("seed " << seed);
    CHECK(this->CountHeld() == 1);
  }
}

TEST_CASE("lease record, malformed text, is nothing") {
  CHECK_FALSE(ReadLeaseRecord("").has_value());
  CHECK_FALSE(ReadLeaseRecord("[]").has_value());
  CHECK_FALSE(ReadLeaseRecord(R"({"holder":3,"epoch":1})").has_value());
  CHECK(ReadLeaseRecord(WriteLeaseRecord({"a\xFF", 4}))->epoch == 4);
}

}  // namespace
}  // namespace limpetlink
