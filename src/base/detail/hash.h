/// @file
/// @brief Stable hashing, rendezvous hashing, message authentication and
/// digests of secrets.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/detail/ids.h"

namespace limpetlink {

/// @brief Hashes text to the same value on every host and in every release.
/// @param text any bytes
/// @param seed gives independent uses different hash values
/// @return a 64-bit hash; not suitable for secrets
std::uint64_t StableHash(std::string_view text, std::uint64_t seed = 0);

/// @brief Selects the owner of a key by rendezvous hashing.
/// @param key the key to assign
/// @param hosts the live hosts, in any order
/// @return the owner; an empty id when there are no hosts
/// @note Complexity: linear in the number of hosts. Removing a host reassigns
/// only the keys that it owned.
HostId RendezvousOwner(std::string_view key, const std::vector<HostId>& hosts);

/// @brief Selects the highest-ranked owners of a key by rendezvous hashing.
/// @param key the key to assign
/// @param hosts the live hosts, in any order
/// @param count the maximum number of owners
/// @return at most `count` hosts, the highest-ranked first
std::vector<HostId> RendezvousOwners(std::string_view key,
                                     const std::vector<HostId>& hosts,
                                     std::size_t count);

/// @brief Computes the digest under which documents and settings store a
/// secret.
/// @param secret the secret's text
/// @return SHA-256 in 64 lower-case hexadecimal digits
std::string Sha256Hex(std::string_view secret);

/// @brief Computes a keyed message authentication code.
/// @param key the shared secret
/// @param message any bytes
/// @return HMAC-SHA-256 in 64 lower-case hexadecimal digits
std::string HmacSha256Hex(std::string_view key, std::string_view message);

/// @brief Compares two secrets in time that depends only on their length.
/// @return whether both hold the same bytes
bool EqualInConstantTime(std::string_view a, std::string_view b);

}  // namespace limpetlink
