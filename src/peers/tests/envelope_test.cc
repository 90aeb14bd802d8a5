#include <catch2/catch.hpp>

#include "peers/peers.h"

namespace limpetlink {
namespace {

class EnvelopeFixture {
 public:
  PeerEnvelope envelope{kPeerEnvelopeVersion, HostId{"entry-1"},
                        PeerKind::kDispatch, std::string("\x00\xFF\x01", 3)};
  PeerFrameReader reader;
};

TEST_CASE_METHOD(EnvelopeFixture,
                 "peer envelope, encoded and decoded, is unchanged") {
  const auto read = DecodePeerEnvelope(EncodePeerEnvelope(this->envelope));
  REQUIRE(read.ok());
  CHECK(read->from == this->envelope.from);
  CHECK(read->kind == this->envelope.kind);
  CHECK(read->payload == this->envelope.payload);
}

TEST_CASE_METHOD(
    EnvelopeFixture,
    "peer frame reader, invalid frames, are rejected and counted") {
  const std::string good = EncodePeerEnvelope(this->envelope);
  SECTION("of another sender") {
    CHECK_FALSE(this->reader.Read({HostId{"entry-2"}, good}).ok());
    CHECK(this->reader.Counters().wrong_sender == 1);
  }
  SECTION("of another version") {
    this->envelope.version = 2;
    const std::string bytes = EncodePeerEnvelope(this->envelope);
    CHECK_FALSE(this->reader.Read({HostId{"entry-1"}, bytes}).ok());
    CHECK(this->reader.Counters().malformed == 1);
  }
  SECTION("oversized") {
    const std::string bytes(kMaxPeerFrameBytes + 1, 'x');
    CHECK_FALSE(this->reader.Read({HostId{"entry-1"}, bytes}).ok());
    CHECK(this->reader.Counters().oversized == 1);
  }
  SECTION("truncated at any byte") {
    for (std::size_t size = 0; size < good.size(); ++size) {
      const std::string bytes = good.substr(0, size);
      CHECK_FALSE(this->reader.Read({HostId{"entry-1"}, bytes}).ok());
    }
    CHECK(this->reader.Counters().malformed == good.size());
  }
}

TEST_CASE_METHOD(EnvelopeFixture,
                 "peer frame reader, randomly changed bytes, do not crash the "
                 "host") {
  Random random(7);
  const std::string good = EncodePeerEnvelope(this->envelope);
  for (int i = 0; i < 20000; ++i) {
    std::string bytes = good;
    for (int change = 0; change < 3; ++change) {
      bytes[random.Below(bytes.size())] = static_cast<char>(random() & 0xFFU);
    }
    const auto envelope = this->reader.Read({HostId{"entry-1"}, bytes});
    CHECK((envelope.ok() || !envelope.status().message().empty()));
  }
}

TEST_CASE(
    "CBOR, nesting or lengths beyond the limits, are rejected without "
    "recursion or allocation") {
  const CborLimits limits;
  CHECK_FALSE(DecodeCbor(std::string(500000, '\x81'), limits).ok());
  CHECK_FALSE(DecodeCbor(std::string(500000, '\x9F'), limits).ok());
  CHECK_FALSE(DecodeCbor(std::string(500000, '\xA1'), limits).ok());
  CHECK_FALSE(DecodeCbor("\x9B\x7F\xFF\xFF\xFF\xFF\xFF\xFF\xFF", limits).ok());
  CHECK_FALSE(DecodeCbor("\x5B\x7F\xFF\xFF\xFF\xFF\xFF\xFF\xFF", limits).ok());
  CHECK_FALSE(DecodeCbor(std::string(70000, '\x01'), limits).ok());
}

}  // namespace
}  // namespace limpetlink
