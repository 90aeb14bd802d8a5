#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>
#include <utility>

#include "base/base.h"

namespace limpetlink {
namespace {

constexpr std::uint64_t kFnvOffset = 0xCBF29CE484222325ULL;
constexpr std::uint64_t kFnvPrime = 0x100000001B3ULL;

std::string ToHex(const unsigned char* bytes, std::size_t size) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(size * 2);
  for (std::size_t i = 0; i < size; ++i) {
    text.push_back(kDigits[bytes[i] >> 4U]);
    text.push_back(kDigits[bytes[i] & 0x0FU]);
  }
  return text;
}

}  // namespace

std::uint64_t StableHash(std::string_view text, std::uint64_t seed) {
  std::uint64_t hash = kFnvOffset ^ seed;
  for (const char c : text) {
    hash ^= static_cast<unsigned char>(c);
    hash *= kFnvPrime;
  }
  return Random(hash)();
}

HostId RendezvousOwner(std::string_view key, const std::vector<HostId>& hosts) {
  const std::uint64_t key_hash = StableHash(key);
  const HostId* best = nullptr;
  std::uint64_t best_score = 0;
  for (const HostId& host : hosts) {
    const std::uint64_t score = StableHash(host.value, key_hash);
    const bool better = best == nullptr || score > best_score ||
                        (score == best_score && host < *best);
    if (better) {
      best = &host;
      best_score = score;
    }
  }
  return best == nullptr ? HostId{} : *best;
}

std::vector<HostId> RendezvousOwners(std::string_view key,
                                     const std::vector<HostId>& hosts,
                                     std::size_t count) {
  const std::uint64_t key_hash = StableHash(key);
  std::vector<std::pair<std::uint64_t, HostId>> scored;
  scored.reserve(hosts.size());
  for (const HostId& host : hosts) {
    scored.emplace_back(StableHash(host.value, key_hash), host);
  }
  std::sort(scored.begin(), scored.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first : a.second < b.second;
  });
  std::vector<HostId> owners;
  for (std::size_t i = 0; i < std::min(count, scored.size()); ++i) {
    owners.push_back(scored[i].second);
  }
  return owners;
}

std::string Sha256Hex(std::string_view secret) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  EVP_Digest(secret.data(), secret.size(), digest.data(), &size, EVP_sha256(),
             nullptr);
  return ToHex(digest.data(), size);
}

std::string HmacSha256Hex(std::string_view key, std::string_view message) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(message.data()), message.size(),
       digest.data(), &size);
  return ToHex(digest.data(), size);
}

bool EqualInConstantTime(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace limpetlink
