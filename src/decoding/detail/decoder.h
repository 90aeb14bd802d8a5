/// @file
/// @brief JSON decoders with limits that never throw.
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace limpetlink {

/// @brief Limits of one JSON text.
struct DecodeLimits {
  std::size_t bytes = 8U << 20U;
  std::size_t depth = 64;  ///< of nested arrays and objects
};

/// @brief Stands for a part of a JSON text that can't be represented: nested
/// too deeply, a number out of range, or a string that is not UTF-8.
inline constexpr std::string_view kUnreadablePart = "\x01unreadable";

/// @brief Decodes a JSON text.
/// @return the value; an error for a text that is malformed, beyond the limits,
/// has a number out of range or a string that is not UTF-8
absl::StatusOr<nlohmann::json> DecodeJson(std::string_view text,
                                          const DecodeLimits& limits = {});

/// @brief Decodes a JSON text whose parts come from several writers.
/// @return the value, in which kUnreadablePart replaces what can't be
/// represented; an error for a text that is malformed or too long
absl::StatusOr<nlohmann::json> DecodeJsonParts(std::string_view text,
                                               const DecodeLimits& limits = {});

/// @brief Decodes a JSON text for a caller that checks the type of the value.
/// @return the value, or a discarded value, which has no type, on any error
nlohmann::json DecodeJsonOrDiscard(std::string_view text,
                                   const DecodeLimits& limits = {});

}  // namespace limpetlink
