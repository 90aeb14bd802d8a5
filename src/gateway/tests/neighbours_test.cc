#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "gateway/tests/gateway_fixture.h"

namespace limpetlink::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

NeighbourMessage From(const std::string& host, const std::string& domain) {
  static std::uint64_t sequence = 0;
  NeighbourMessage message;
  message.host = HostId{host};
  message.domain = FailureDomainId{domain};
  message.address = host + ":7";
  message.sequence = ++sequence;
  return message;
}

/// @brief A host with one neighbour and two engines in its failure domain.
class NeighbourFixture : public GatewayFixture {
 public:
  NeighbourFixture() {
    this->Register("one", "engines");
    this->Register("two", "engines");
    this->ReceiveFromNeighbour(From("10.0.0.3", "here"));
    this->Advance(seconds(1));
    this->datagrams.clear();
  }

  /// @brief Advances the time while the store responds to each watch.
  void AdvanceInSteps(Duration span) {
    constexpr Duration kStep = milliseconds(200);
    for (Duration passed{0}; passed < span; passed += kStep) {
      this->Advance(kStep);
    }
  }
};

}  // namespace

TEST_CASE_METHOD(NeighbourFixture,
                 "gateway, stream placed, notifies its neighbour before the "
                 "next one is likely",
                 "[gateway]") {
  this->SendRequest("/stream/7");
  CHECK(this->host.NextWakeup() <= this->now + milliseconds(20));
  this->Advance(milliseconds(20));
  const auto advertises_stream = [](const PeerSend& sent) {
    const absl::StatusOr<NeighbourMessage> message =
        DecodeNeighbourMessage(sent.bytes);
    REQUIRE(message.ok());
    return message->worker_loads.size() == 1 &&
           message->worker_loads[0].running == 1;
  };
  CHECK(std::any_of(this->datagrams.begin(), this->datagrams.end(),
                    advertises_stream));
}

TEST_CASE_METHOD(
    NeighbourFixture,
    "gateway, neighbour reports a leaving worker, new streams avoid it",
    "[gateway]") {
  NeighbourMessage message = From("10.0.0.3", "here");
  message.leaving = {{UpstreamId{"one"}, 0, milliseconds(120)}};
  this->ReceiveFromNeighbour(message);
  for (int i = 0; i < 4; ++i) {
    this->SendRequest("/stream/" + std::to_string(i));
    CHECK(HeaderOf(
              this->CallTo("/stream/" + std::to_string(i) + "?a=%20b").headers,
              "worker") == "two");
  }
}

// The next three guard against a fleet that refuses for good after an outage of
// the store in which registrations expire (review/1): hosts told each other
// that the expired workers leave, which was final.
TEST_CASE_METHOD(
    NeighbourFixture,
    "gateway, neighbour reports a leaving worker whose registration stays "
    "ready, new streams use it again",
    "[gateway]") {
  NeighbourMessage message = From("10.0.0.3", "here");
  message.leaving = {{UpstreamId{"one"}, 0, milliseconds(120)}};
  this->ReceiveFromNeighbour(message);
  this->AdvanceInSteps(seconds(4));
  std::set<std::string> used;
  for (int i = 0; i < 4; ++i) {
    this->SendRequest("/stream/" + std::to_string(i));
    used.insert(HeaderOf(
        this->CallTo("/stream/" + std::to_string(i) + "?a=%20b").headers,
        "worker"));
  }
  CHECK(used.size() == 2);
}

TEST_CASE_METHOD(
    NeighbourFixture,
    "gateway, neighbour reports a leaving worker that confirms it, new streams "
    "avoid it for good",
    "[gateway]") {
  NeighbourMessage message = From("10.0.0.3", "here");
  message.leaving = {{UpstreamId{"one"}, 0, milliseconds(120)}};
  this->ReceiveFromNeighbour(message);
  this->Advance(milliseconds(300));
  this->Register("one", "engines", true);
  this->AdvanceInSteps(seconds(6));
  for (int i = 0; i < 4; ++i) {
    this->SendRequest("/stream/" + std::to_string(i));
    CHECK(HeaderOf(
              this->CallTo("/stream/" + std::to_string(i) + "?a=%20b").headers,
              "worker") == "two");
  }
}

TEST_CASE_METHOD(NeighbourFixture,
                 "gateway, registrations expire in an outage of the store, "
                 "serves on and tells no neighbour that the workers leave",
                 "[gateway]") {
  this->store_unreachable = true;
  this->Advance(milliseconds(4500));
  this->ReceiveFromNeighbour(From("10.0.0.3", "here"));
  this->datagrams.clear();
  this->store_unreachable = false;
  this->Unregister("one");
  this->Unregister("two");
  for (int i = 0; i < 4; ++i) {
    this->Advance(milliseconds(200));
    this->SendRequest("/stream/" + std::to_string(i));
    this->CallTo("/stream/" + std::to_string(i) + "?a=%20b");
  }
  this->Register("one", "engines");
  this->Advance(milliseconds(3000));
  const auto names_leaving = [](const PeerSend& sent) {
    const absl::StatusOr<NeighbourMessage> message =
        DecodeNeighbourMessage(sent.bytes);
    return !message.ok() || !message->leaving.empty();
  };
  CHECK_FALSE(this->datagrams.empty());
  CHECK(std::none_of(this->datagrams.begin(), this->datagrams.end(),
                     names_leaving));
  this->SendRequest("/stream/9");
  CHECK(HeaderOf(this->CallTo("/stream/9?a=%20b").headers, "worker") == "one");
}

TEST_CASE_METHOD(
    NeighbourFixture,
    "gateway, prompt of 2^64 tokens claimed, messages to neighbours stay valid",
    "[gateway]") {
  SetPromptTokens(UINT64_MAX);
  this->SendRequest("/stream/7");
  this->Advance(milliseconds(20));
  REQUIRE_FALSE(this->datagrams.empty());
  for (const PeerSend& sent : this->datagrams) {
    CHECK(DecodeNeighbourMessage(sent.bytes).ok());
  }
}

}  // namespace limpetlink::testing
