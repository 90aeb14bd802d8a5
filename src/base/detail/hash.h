/// @file
/// @brief Stable hashing, rendezvous choice, message authentication and digests
/// of secrets.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/detail/ids.h"

namespace limpetlink {

/// @brief Hashes text to the same value on every host and in every release.
/// @param text any bytes
/// @param seed separates independent uses
/// @return 64 bits; not for secrets
std::uint64_t StableHash(std::string_view text, std::uint64_t seed = 0);

/// @brief Names the owner of a key by rendezvous hashing.
/// @param key what is owned
/// @param hosts the live hosts, in any order
/// @return the owner; an empty id when there are no hosts
/// @note Complexity: linear in the number of hosts. Removing a host moves only
/// its own keys.
HostId RendezvousOwner(std::string_view key, const std::vector<HostId>& hosts);

/// @brief Names the first owners of a key by rendezvous hashing, best first.
/// @param key what is owned
/// @param hosts the live hosts, in any order
/// @param count how many are wanted
/// @return at most `count` hosts
std::vector<HostId> RendezvousOwners(std::string_view key,
                                     const std::vector<HostId>& hosts,
                                     std::size_t count);

/// @brief Digest of a secret as it stands in documents and settings.
/// @param secret the secret's text
/// @return SHA-256 in 64 lower-case hexadecimal digits
std::string Sha256Hex(std::string_view secret);

/// @brief Keyed message authentication code.
/// @param key the shared secret
/// @param message any bytes
/// @return HMAC-SHA-256 in 64 lower-case hexadecimal digits
std::string HmacSha256Hex(std::string_view key, std::string_view message);

/// @brief Compares secrets in time that depends on their length only.
/// @return whether both are the same bytes
bool EqualInConstantTime(std::string_view a, std::string_view b);

}  // namespace limpetlink
