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

/// @brief Version of a host's document and when it was last confirmed.
struct ConfigurationDigest {
  std::uint64_t version = 0;
  std::optional<Duration> confirmed_age;  ///< empty if never confirmed
  bool ready = false;
};

/// @brief Requests the deltas from a version to the newest one.
struct ConfigurationPull {
  std::uint64_t have =
      0;  ///< version that the sender has; 0 requests the full document
};

/// @brief Response to a pull.
struct ConfigurationDeltas {
  ConfigurationDigest digest;
  std::vector<DocumentDelta> deltas;  ///< in order of application
};

/// @brief Any message between configuration stores.
using ConfigurationMessage =
    std::variant<ConfigurationDigest, ConfigurationPull, ConfigurationDeltas>;

/// @brief Encodes a message as CBOR.
std::string EncodeConfiguration(const ConfigurationMessage& message);

/// @brief Decodes a message and enforces the limits on its size and depth.
/// @return the message; peer.101 if it is malformed
absl::StatusOr<ConfigurationMessage> DecodeConfiguration(
    std::string_view bytes);

}  // namespace limpetlink
