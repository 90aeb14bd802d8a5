/// @file
/// @brief Encoding of paths and conditions, decoding of responses.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "metadata_store/detail/types.h"
#include "ports/ports.h"

namespace limpetlink {

/// @brief Percent-encodes a name as one path segment or query value.
std::string PercentEncode(std::string_view text);

/// @brief Returns the path of an object, such as "/v1/objects/fleet/today".
std::string ObjectPath(const ObjectKey& key);

/// @brief Adds the header of a write condition, if the condition has one.
void AddCondition(const WriteCondition& condition, Headers* headers);

/// @brief Reads the version from the ETag header.
/// @return the version, or nullopt when the header is missing or malformed
std::optional<std::uint64_t> ReadVersion(const Headers& headers);

/// @brief Reads a Retry-After header, in whole seconds.
/// @return the delay, at most one hour; nullopt when missing or malformed
std::optional<Duration> ReadRetryAfter(const Headers& headers);

/// @brief Parses the response of an object listing.
/// @return whether it is well formed
bool ReadObjects(const std::string& body, std::vector<ObjectEntry>* objects);

/// @brief Parses the host list; skips rows with an unknown role or no id.
/// @return whether it is well formed
bool ReadHosts(const std::string& body, std::vector<ListedHost>* hosts);

}  // namespace limpetlink
