/// @file
/// @brief Maximum wait requested by a caller in the Prefer header (RFC 7240).
#pragma once

#include <optional>
#include <string_view>

#include "base/base.h"

namespace limpetlink {

/// @brief Parses `wait=SECONDS` from a Prefer header.
/// @param prefer value of the header; may contain other preferences
/// @return the wait; nullopt if it is missing, malformed or over 1e6 s
/// @note Example: `ParseWaitPreference("respond-async, wait=30")` is 30 s.
std::optional<Duration> ParseWaitPreference(std::string_view prefer);

}  // namespace limpetlink
