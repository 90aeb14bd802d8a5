/// @file
/// @brief Who a caller is and until when it waits.
#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "base/base.h"
#include "fleet/fleet.h"
#include "ports/ports.h"

namespace limpetlink {

/// @brief Reads the bearer key of a request.
/// @return the key, or request.103 when there is none
absl::StatusOr<std::string> ParseBearerKey(const Headers& headers);

/// @brief Finds the organisation that a request's key belongs to. Compares
/// every digest in
///        constant time.
/// @param document the fleet document in force
/// @param headers the caller's headers
/// @return the organisation, request.103 without a key or request.104 with an
/// unknown one
absl::StatusOr<const Organisation*> AuthenticateCaller(
    const FleetDocument& document, const Headers& headers);

/// @brief Says whether a request carries the operators' key.
/// @param digest SHA-256 of the key in hexadecimal; an empty digest matches
/// nothing
bool IsOperator(std::string_view digest, const Headers& headers);

/// @brief Reads how long a caller waits at most from `Prefer: wait=SECONDS`.
/// @param headers the caller's headers
/// @param default_wait without the preference
/// @param max_wait the longest that is granted
/// @return the wait; request.108 when it is 0 or less; request.101 when it is
/// no number
absl::StatusOr<Duration> ParsePreferredWait(const Headers& headers,
                                            Duration default_wait,
                                            Duration max_wait);

}  // namespace limpetlink
