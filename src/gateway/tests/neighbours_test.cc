#include <algorithm>
#include <catch2/catch.hpp>

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
