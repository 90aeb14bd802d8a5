/// @file
/// @brief Authentication of callers and the waiting time that they request.
#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "base/base.h"
#include "fleet/fleet.h"
#include "ports/ports.h"

namespace limpetlink {

/// @brief Extracts the bearer key from the Authorization header.
/// @return the key, or request.103 if there is none
absl::StatusOr<std::string> ParseBearerKey(const Headers& headers);

/// @brief Finds the organisation that the key of a request belongs to.
///
/// Compares every key digest in constant time.
/// @param document the active fleet document
/// @param headers the caller's headers
/// @return the organisation; request.103 without a key; request.104 if no
/// organisation has the key
absl::StatusOr<const Organisation*> AuthenticateCaller(
    const FleetDocument& document, const Headers& headers);

/// @brief Returns whether a request carries the operators' key.
/// @param digest SHA-256 of the key in hexadecimal; an empty digest matches no
/// key
/// @param headers the caller's headers
bool IsOperator(std::string_view digest, const Headers& headers);

/// @brief Parses the caller's maximum wait from `Prefer: wait=SECONDS`.
/// @param headers the caller's headers
/// @param default_wait wait of a request without this preference
/// @param max_wait upper limit; longer waits are reduced to it
/// @return the wait; request.108 if it is 0 or less; request.101 if it is not
/// a number
absl::StatusOr<Duration> ParsePreferredWait(const Headers& headers,
                                            Duration default_wait,
                                            Duration max_wait);

}  // namespace limpetlink
