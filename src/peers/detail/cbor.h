/// @file
/// @brief Reading CBOR from a peer within bounds.
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace limpetlink {

/// @brief Bounds on a message; one outside them is refused before it is built.
struct CborLimits {
  std::size_t max_bytes = 1024UL * 1024UL;
  std::size_t max_depth = 8;       ///< of nested arrays and maps
  std::size_t max_values = 65536;  ///< of all kinds, nested ones included
};

/// @brief Reads one CBOR value that fills the bytes.
/// @param bytes from a peer, trusted in nothing
/// @param bounds what is accepted
/// @return the value; peer.101 when malformed or outside the bounds
/// @note Complexity: linear in the bytes.
absl::StatusOr<nlohmann::json> DecodeCbor(std::string_view bytes,
                                          const CborLimits& bounds);

/// @brief Writes a value as CBOR. Text must be UTF-8; other bytes go as binary.
std::string EncodeCbor(const nlohmann::json& value);

/// @brief Makes a binary value.
nlohmann::json CborBinary(std::string_view bytes);

/// @brief Reads a binary value.
/// @return whether the value is binary; then its bytes are in `bytes`
bool ReadCborBinary(const nlohmann::json& value, std::string* bytes);

}  // namespace limpetlink
