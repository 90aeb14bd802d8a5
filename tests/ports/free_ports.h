/// @file
/// @brief Ports of the loopback address for tests that start processes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace limpetlink::testing {

/// @brief Finds ports that are free now and that no outgoing connection takes
/// meanwhile: they lie
///        below the range that the system gives to outgoing connections.
///        Processes look from different places on.
/// @param count how many are wanted
/// @return different ports; fewer when none is left
std::vector<std::uint16_t> FreePorts(std::size_t count);

}  // namespace limpetlink::testing
