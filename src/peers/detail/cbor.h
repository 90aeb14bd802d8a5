/// @file
/// @brief CBOR coding with limits for input from peers.
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace limpetlink {

/// @brief Limits of a message; a message beyond them is rejected before it is
/// parsed into a value.
struct CborLimits {
  std::size_t max_bytes = 1024UL * 1024UL;
  std::size_t max_depth = 8;       ///< of nested arrays and maps
  std::size_t max_values = 65536;  ///< including nested ones
};

/// @brief Decodes one CBOR value that spans all bytes.
/// @param bytes untrusted input from a peer
/// @param limits largest accepted size, depth and count
/// @return the value; peer.101 when malformed or beyond the limits
/// @note Complexity: linear in the bytes.
absl::StatusOr<nlohmann::json> DecodeCbor(std::string_view bytes,
                                          const CborLimits& limits);

/// @brief Encodes a value as CBOR. Text must be UTF-8; other bytes must be a
/// binary value.
std::string EncodeCbor(const nlohmann::json& value);

/// @brief Creates a binary value.
nlohmann::json CborBinary(std::string_view bytes);

/// @brief Copies the bytes of a binary value to `bytes`.
/// @return whether the value is binary; otherwise `bytes` is unchanged
bool ReadCborBinary(const nlohmann::json& value, std::string* bytes);

}  // namespace limpetlink
