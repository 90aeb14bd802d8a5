/// @file
/// @brief The caller's longest wait, from the Prefer header (RFC 7240).
#pragma once

#include <optional>
#include <string_view>

#include "base/base.h"

namespace limpetlink {

/// @brief Reads `wait=SECONDS` out of a Prefer header.
/// @param prefer the header's value, with any other preferences beside it
/// @return the wait; nothing when there is none or it is malformed
/// @note Example: `ParseWaitPreference("respond-async, wait=30")` is 30 s.
std::optional<Duration> ParseWaitPreference(std::string_view prefer);

}  // namespace limpetlink
