#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "reachability/reachability.h"

namespace limpetlink {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class RelayDirectoryFixture {
 public:
  void Offer(const std::string& host, const std::string& domain) {
    RelayOffer offer;
    offer.host.value = host;
    offer.domain.value = domain;
    this->relays.Put(this->now, offer);
  }

  std::string Choose() {
    const std::optional<RelayOffer> chosen =
        this->relays.Choose(this->now, this->query);
    return chosen.has_value() ? chosen->host.value : "";
  }

  RelayDirectory relays{1};
  RelayQuery query{UpstreamId{"w"},
                   FailureDomainId{"far"},
                   FailureDomainId{"near"},
                   {},
                   [](const FailureDomainId&) { return true; }};
  Instant now{seconds(100)};
};

TEST_CASE_METHOD(RelayDirectoryFixture,
                 "relay choice, hosts of several domains, prefers the own and "
                 "the worker's domain",
                 "[reachability]") {
  this->Offer("other", "other");
  CHECK(this->Choose() == "other");
  this->Offer("far", "far");
  CHECK(this->Choose() == "far");
  this->Offer("near", "near");
  for (int i = 0; i < 20; ++i) {
    CHECK(this->Choose() != "other");
  }
}

TEST_CASE_METHOD(RelayDirectoryFixture,
                 "relay choice, hosts that can't, are left out",
                 "[reachability]") {
  RelayOffer offer;
  offer.host.value = "a";
  offer.domain.value = "near";
  SECTION("cut off") { offer.cut_off = true; }
  SECTION("worker unreachable") { offer.unreachable = {UpstreamId{"w"}}; }
  SECTION("refused this request") { this->query.excluded = {HostId{"a"}}; }
  SECTION("domain not allowed") {
    this->query.is_allowed = [](const FailureDomainId&) { return false; };
  }
  this->relays.Put(this->now, offer);
  CHECK(this->Choose().empty());
  CHECK_FALSE(this->relays.CanReach(this->now, this->query));
}

TEST_CASE_METHOD(RelayDirectoryFixture,
                 "relay choice, a host refuses or falls silent, is left out "
                 "until it may take requests again",
                 "[reachability]") {
  this->Offer("a", "near");
  this->relays.OnRefused(this->now, HostId{"a"});
  CHECK(this->Choose().empty());
  this->now += milliseconds(200);
  CHECK(this->Choose() == "a");
  this->now += RelayDirectory::kLifetime;
  CHECK(this->Choose().empty());
}

TEST_CASE_METHOD(RelayDirectoryFixture,
                 "relay choice, many requests, are spread over the hosts",
                 "[reachability]") {
  for (const char* host : {"a", "b", "c", "d"}) {
    this->Offer(host, "near");
  }
  std::map<std::string, int> chosen;
  for (int i = 0; i < 400; ++i) {
    const std::string host = this->Choose();
    ++chosen[host];
    this->relays.OnBegin(HostId{host});
  }
  for (const auto& [host, count] : chosen) {
    CHECK(count >= 90);
  }
  CHECK(chosen.size() == 4);
}

}  // namespace
}  // namespace limpetlink
