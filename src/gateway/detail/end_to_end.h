/// @file
/// @brief Removal of hop-by-hop headers.
#pragma once

#include "ports/ports.h"

namespace limpetlink {

/// @brief Returns the headers without the hop-by-hop ones: those that HTTP
/// defines, those listed in `Connection`, and the framing headers.
Headers EndToEndHeaders(const Headers& headers);

}  // namespace limpetlink
