#include <catch2/catch.hpp>

#include "base/base.h"

namespace limpetlink {
namespace {

TEST_CASE(
    "rendezvous owner, one host is removed, only its keys are reassigned") {
  const std::vector<HostId> all = {{"a"}, {"b"}, {"c"}, {"d"}};
  const std::vector<HostId> fewer = {{"a"}, {"b"}, {"d"}};
  for (int i = 0; i < 200; ++i) {
    const std::string key = "key" + std::to_string(i);
    const HostId before = RendezvousOwner(key, all);
    const HostId after = RendezvousOwner(key, fewer);
    CHECK((before == HostId{"c"} || before == after));
  }
}

TEST_CASE("rendezvous owners, several wanted, the first is the single owner") {
  const std::vector<HostId> hosts = {{"a"}, {"b"}, {"c"}};
  CHECK(RendezvousOwners("k", hosts, 2).front() == RendezvousOwner("k", hosts));
  CHECK(RendezvousOwners("k", hosts, 9).size() == 3);
  CHECK(RendezvousOwner("k", {}) == HostId{});
}

TEST_CASE("digests, known input, match the published values") {
  CHECK(Sha256Hex("abc") ==
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  CHECK(HmacSha256Hex("key", "The quick brown fox jumps over the lazy dog") ==
        "f7bc83f430538424b13298e6aa6fb143ef4d59a14946175997479dbc2d1a3cd8");
  CHECK(EqualInConstantTime("abc", "abc"));
  CHECK_FALSE(EqualInConstantTime("abc", "abd"));
  CHECK_FALSE(EqualInConstantTime("abc", "ab"));
}

}  // namespace
}  // namespace limpetlink
