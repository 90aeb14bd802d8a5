#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "limits/limits.h"

namespace limpetlink {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// @brief The allowances of all hosts of a fleet, each with its own members.
class AllowanceFixture {
 public:
  void AddHosts(std::size_t domains, std::size_t hosts_per_domain) {
    FleetMembers all;
    for (std::size_t i = 0; i < domains; ++i) {
      all.domains.push_back(FailureDomainId{"domain-" + std::to_string(i)});
    }
    for (const FailureDomainId& domain : all.domains) {
      FleetMembers members{{}, all.domains};
      for (std::size_t i = 0; i < hosts_per_domain; ++i) {
        members.hosts.push_back(
            HostId{domain.value + "-host-" + std::to_string(i)});
      }
      for (const HostId& host : members.hosts) {
        WorkerAllowances& allowances =
            this->hosts.emplace_back(host, domain, AllowanceSettings{});
        allowances.SetMembers(this->now, members);
      }
    }
  }

  static LimitNotice Notice(std::optional<double> per_second,
                            Duration sent_age = {}, Duration heard_age = {}) {
    return {UpstreamId{"worker"}, 1, per_second, sent_age, heard_age};
  }

  void ApplyEverywhere(const LimitNotice& notice) {
    for (WorkerAllowances& host : this->hosts) {
      host.Apply(this->now, notice, this->domain, true);
    }
  }

  /// @return the requests that all hosts send in a time if they always can
  std::size_t SendAll(Duration span) {
    std::size_t count = 0;
    const Instant end = this->now + span;
    for (; this->now < end; this->now += milliseconds(20)) {
      for (WorkerAllowances& host : this->hosts) {
        while (host.MaySend(this->now, this->worker)) {
          host.RecordSend(this->now, this->worker);
          ++count;
        }
      }
    }
    return count;
  }

  Instant now{seconds(100)};
  UpstreamId worker{"worker"};
  FailureDomainId domain{"domain-0"};
  std::vector<WorkerAllowances> hosts;
};

TEST_CASE(
    "worker allowances, any limit and fleet, all hosts together stay within "
    "it also after a pause",
    "[limits]") {
  for (const double limit : {0.0, 0.2, 1.0, 5.1, 30.0, 400.0}) {
    for (const std::size_t hosts : {1U, 2U, 13U, 50U}) {
      CAPTURE(limit, hosts);
      AllowanceFixture fleet;
      fleet.AddHosts(6, hosts);
      fleet.ApplyEverywhere(AllowanceFixture::Notice(limit));
      fleet.now += seconds(30);  // no demand
      const std::size_t burst = fleet.SendAll(seconds(4));
      CHECK(static_cast<double>(burst) <= 1.5 * limit * 4 + 5);
      const auto steady = static_cast<double>(fleet.SendAll(seconds(20)));
      CHECK(steady <= 1.05 * std::max(limit, 0.25) * 20 + 1);
      CHECK(steady >= 0.9 * std::max(limit, 0.25) * 20 - 1);
    }
  }
}

TEST_CASE_METHOD(AllowanceFixture,
                 "worker allowances, answers overtake each other, the one that "
                 "was said last counts",
                 "[limits]") {
  this->AddHosts(1, 1);
  WorkerAllowances& host = this->hosts[0];
  const auto limit = [&] { return host.FleetRate(this->now, this->worker); };
  CHECK_FALSE(host.Apply(this->now, Notice(std::nullopt), this->domain, true));
  CHECK(
      host.Apply(this->now, Notice(5, milliseconds(300)), this->domain, true));
  CHECK(limit() == 5);
  // Sent before the limit was heard: may have been answered before it.
  this->now += milliseconds(200);
  CHECK_FALSE(host.Apply(this->now, Notice(std::nullopt, milliseconds(210)),
                         this->domain, true));
  CHECK(limit() == 5);
  // Another host heard an earlier one.
  CHECK_FALSE(host.Apply(this->now,
                         Notice(9, milliseconds(400), milliseconds(300)),
                         this->domain, false));
  CHECK(limit() == 5);
  CHECK(host.Apply(this->now, Notice(7, milliseconds(100), milliseconds(50)),
                   this->domain, false));
  CHECK(limit() == 7);
  this->now += milliseconds(300);
  CHECK(host.Apply(this->now, Notice(std::nullopt, milliseconds(40)),
                   this->domain, true));
  // A late word of the former limit.
  CHECK_FALSE(host.Apply(this->now,
                         Notice(7, milliseconds(400), milliseconds(350)),
                         this->domain, false));
  this->now += seconds(6);
  CHECK_FALSE(limit().has_value());
  CHECK(host.Apply(this->now, Notice(3), this->domain, true));
  CHECK(limit() == 3);
}

TEST_CASE_METHOD(AllowanceFixture,
                 "worker allowances, limit ends, the sum doubles each second "
                 "until it is unlimited",
                 "[limits]") {
  this->AddHosts(6, 10);
  this->ApplyEverywhere(Notice(4));
  this->SendAll(seconds(5));
  this->ApplyEverywhere(Notice(std::nullopt));
  CHECK(this->SendAll(seconds(1)) <= 13);
  CHECK(this->SendAll(seconds(1)) <= 25);
  CHECK(this->SendAll(seconds(1)) <= 49);
  this->now += seconds(3);
  CHECK(this->hosts[0].MaySend(this->now, this->worker));
  CHECK(this->hosts[0].Limited(this->now).empty());
}

TEST_CASE_METHOD(AllowanceFixture,
                 "worker allowances, requests that can't be avoided, are made "
                 "up for",
                 "[limits]") {
  this->AddHosts(1, 1);
  this->ApplyEverywhere(Notice(2));
  for (int i = 0; i < 4; ++i) {
    this->hosts[0].RecordSend(this->now, this->worker);
  }
  this->now += milliseconds(2400);
  CHECK_FALSE(this->hosts[0].MaySend(this->now, this->worker));
  this->now += milliseconds(200);
  CHECK(this->hosts[0].MaySend(this->now, this->worker));
}

TEST_CASE_METHOD(AllowanceFixture,
                 "worker allowances, worker requests a pause, nothing is sent "
                 "until its end",
                 "[limits]") {
  this->AddHosts(1, 1);
  this->hosts[0].Hold(this->now, this->worker, this->now + seconds(2));
  this->hosts[0].Hold(this->now, this->worker, this->now + seconds(1));
  this->now += milliseconds(1900);
  CHECK_FALSE(this->hosts[0].MaySend(this->now, this->worker));
  this->now += milliseconds(200);
  CHECK(this->hosts[0].MaySend(this->now, this->worker));
}

class BrittleWorkerFixture {
 public:
  BrittleWorkerFixture() {
    this->allowances.SetMembers(
        this->now, {{HostId{"a"}, HostId{"b"}},
                    {FailureDomainId{"near"}, FailureDomainId{"far"}}});
  }

  bool Note(std::optional<double> max_rejections) {
    return this->allowances.NoteBrittleness(this->now, this->worker, this->now,
                                            max_rejections);
  }

  /// @return requests that this host's domain may have at the worker
  std::uint32_t Room() {
    for (this->in_progress = 0; this->in_progress < 100; ++this->in_progress) {
      if (!this->allowances.MaySend(this->now, this->worker.worker)) {
        break;
      }
    }
    return this->in_progress;
  }

  std::uint32_t in_progress = 0;
  WorkerRoom worker{UpstreamId{"w"}, 7, FailureDomainId{"near"}, 9};
  WorkerAllowances allowances{
      HostId{"a"}, FailureDomainId{"near"}, {}, [this](const UpstreamId&) {
        return this->in_progress;
      }};
  Instant now{std::chrono::seconds(100)};
};

TEST_CASE_METHOD(BrittleWorkerFixture,
                 "brittle worker, gets no more requests than it has slots, of "
                 "which each domain has its part",
                 "[limits]") {
  CHECK(this->Room() == 100);
  CHECK(this->Note(5));
  CHECK(this->Room() == 5);  // of 9, and the other domain has 4
  CHECK_FALSE(this->Note(5));
  this->Note(0);
  CHECK(this->Room() == 3);  // of 6
  this->now += std::chrono::milliseconds(10);
  this->Note(std::nullopt);
  CHECK(this->Room() == 100);
}

TEST_CASE_METHOD(BrittleWorkerFixture,
                 "brittle worker, refuses a request, gets none for a while and "
                 "then more by little",
                 "[limits]") {
  this->Note(5);
  CHECK(this->allowances.NoteRefusal(this->now, this->worker.worker));
  CHECK(this->Room() == 0);
  this->now += std::chrono::milliseconds(310);
  CHECK(this->Room() == 4);  // of 8
  this->now += std::chrono::seconds(2);
  this->Note(5);
  CHECK(this->Room() == 5);  // of 9
}

TEST_CASE_METHOD(BrittleWorkerFixture,
                 "brittle worker, another host hears of a refusal, sends "
                 "nothing either",
                 "[limits]") {
  this->Note(5);
  this->allowances.NoteRefusal(this->now, this->worker.worker);
  WorkerAllowances other(HostId{"b"}, FailureDomainId{"far"}, {},
                         [](const UpstreamId&) { return 0U; });
  for (const RoomNotice& notice :
       this->allowances.ExportRooms(this->now, false)) {
    CHECK(other.ApplyRoom(this->now, this->worker, notice));
    CHECK_FALSE(other.ApplyRoom(this->now, this->worker, notice));
  }
  CHECK_FALSE(other.MaySend(this->now, this->worker.worker));
  this->now += std::chrono::seconds(7);  // nothing more was heard
  CHECK(other.MaySend(this->now, this->worker.worker));
}

}  // namespace
}  // namespace limpetlink
