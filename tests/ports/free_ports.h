/// @file
/// @brief Allocates loopback ports for tests that start processes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace limpetlink::testing {

/// @brief Finds loopback ports that are currently free.
///
/// The ports are below the ephemeral range, so that no outgoing connection can
/// take one before it is used. Each process starts its search at a different
/// offset.
/// @param count number of ports
/// @return distinct ports; fewer than `count` if not enough are free
std::vector<std::uint16_t> FreePorts(std::size_t count);

}  // namespace limpetlink::testing
