/// @file
/// @brief Which headers of a message go on to the next connection.
#pragma once

#include "ports/ports.h"

namespace limpetlink {

/// @brief Leaves out what concerns one connection only: the headers that HTTP
/// names so, those that `Connection` lists, and the framing.
Headers EndToEndHeaders(const Headers& headers);

}  // namespace limpetlink
