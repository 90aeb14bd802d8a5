/// @file
/// @brief Messages between the configuration stores of two hosts.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"
#include "base/base.h"
#include "configuration/detail/delta.h"

namespace limpetlink {

/// @brief What a host says of its own document.
struct ConfigurationDigest {
  std::uint64_t version = 0;
  std::optional<Duration> confirmed_age;  ///< nothing: never confirmed
  bool ready = false;
};

/// @brief Asks for what leads from a version to the newest.
struct ConfigurationPull {
  std::uint64_t have = 0;  ///< 0: the whole document is wanted
};

/// @brief Answers a pull.
struct ConfigurationDeltas {
  ConfigurationDigest digest;
  std::vector<DocumentDelta> deltas;  ///< in the order in which they apply
};

/// @brief Any message of the configuration.
using ConfigurationMessage =
    std::variant<ConfigurationDigest, ConfigurationPull, ConfigurationDeltas>;

/// @brief Writes a message as CBOR.
std::string EncodeConfiguration(const ConfigurationMessage& message);

/// @brief Reads a message within bounds.
/// @return the message, or peer.101
absl::StatusOr<ConfigurationMessage> DecodeConfiguration(
    std::string_view bytes);

}  // namespace limpetlink
