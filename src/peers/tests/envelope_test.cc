#include <catch2/catch.hpp>

#include "peers/peers.h"

namespace limpetlink {
namespace {

class EnvelopeFixture {
 public:
  PeerEnvelope envelope{kPeerEnvelopeVersion, HostId{"entry-1"},
                        PeerKind::kDispatch, std::string("\x00\xFF\x01", 3)};
  PeerFrameReader gate;
};

TEST_CASE_METHOD(EnvelopeFixture,
                 "peer envelope, written and read, is the same") {
  const auto read = DecodePeerEnvelope(EncodePeerEnvelope(this->envelope));
  REQUIRE(read.ok());
  CHECK(read->from == this->envelope.from);
  CHECK(read->kind == this->envelope.kind);
  CHECK(read->payload == this->envelope.payload);
}

TEST_CASE_METHOD(EnvelopeFixture,
                 "peer gate, frames that are not in order, are refused and "
                 "counted") {
  const std::string good = EncodePeerEnvelope(this->envelope);
  SECTION("of another sender") {
    CHECK_FALSE(this->gate.Read({HostId{"entry-2"}, good}).ok());
    CHECK(this->gate.Counters().wrong_sender == 1);
  }
  SECTION("of another version") {
    this->envelope.version = 2;
    const std::string bytes = EncodePeerEnvelope(this->envelope);
    CHECK_FALSE(this->gate.Read({HostId{"entry-1"}, bytes}).ok());
    CHECK(this->gate.Counters().malformed == 1);
  }
  SECTION("oversized") {
    const std::string bytes(kMaxPeerFrameBytes + 1, 'x');
    CHECK_FALSE(this->gate.Read({HostId{"entry-1"}, bytes}).ok());
    CHECK(this->gate.Counters().oversized == 1);
  }
  SECTION("cut at any byte") {
    for (std::size_t size = 0; size < good.size(); ++size) {
      const std::string bytes = good.substr(0, size);
      CHECK_FALSE(this->gate.Read({HostId{"entry-1"}, bytes}).ok());
    }
    CHECK(this->gate.Counters().malformed == good.size());
  }
}

TEST_CASE_METHOD(EnvelopeFixture,
                 "peer gate, random bytes and changed bytes, never stop the "
                 "host") {
  Random random(7);
  const std::string good = EncodePeerEnvelope(this->envelope);
  for (int i = 0; i < 20000; ++i) {
    std::string bytes = good;
    for (int change = 0; change < 3; ++change) {
      bytes[random.Below(bytes.size())] = static_cast<char>(random() & 0xFFU);
    }
    const auto opened = this->gate.Read({HostId{"entry-1"}, bytes});
    CHECK((opened.ok() || !opened.status().message().empty()));
  }
}

TEST_CASE(
    "bounded CBOR, nesting or lengths beyond the bounds, are refused "
    "without recursion or allocation") {
  const CborLimits bounds;
  CHECK_FALSE(DecodeCbor(std::string(500000, '\x81'), bounds).ok());
  CHECK_FALSE(DecodeCbor(std::string(500000, '\x9F'), bounds).ok());
  CHECK_FALSE(DecodeCbor(std::string(500000, '\xA1'), bounds).ok());
  CHECK_FALSE(DecodeCbor("\x9B\x7F\xFF\xFF\xFF\xFF\xFF\xFF\xFF", bounds).ok());
  CHECK_FALSE(DecodeCbor("\x5B\x7F\xFF\xFF\xFF\xFF\xFF\xFF\xFF", bounds).ok());
  CHECK_FALSE(DecodeCbor(std::string(70000, '\x01'), bounds).ok());
}

}  // namespace
}  // namespace limpetlink
