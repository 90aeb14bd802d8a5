/// @file
/// @brief Paths, conditions and answers as they stand on the wire.
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

/// @brief Path of an object, as "/v1/objects/fleet/today".
std::string ObjectPath(const ObjectKey& key);

/// @brief Adds the condition's header, if it has one.
void AddCondition(const WriteCondition& condition, Headers* headers);

/// @brief Reads the version in an ETag header.
/// @return the version, or nothing when the header is missing or malformed
std::optional<std::uint64_t> ReadVersion(const Headers& headers);

/// @brief Reads a Retry-After header in whole seconds.
/// @return the time, or nothing
std::optional<Duration> ReadRetryAfter(const Headers& headers);

/// @brief Reads the answer of a listing.
/// @return whether it was well formed
bool ReadObjects(const std::string& body, std::vector<ObjectEntry>* objects);

/// @brief Reads the answer of the host list; rows of unknown roles are left
/// out.
/// @return whether it was well formed
bool ReadHosts(const std::string& body, std::vector<ListedHost>* hosts);

}  // namespace limpetlink
