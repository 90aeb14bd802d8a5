/// @file
/// @brief The adapters between the deterministic core and the world: HTTP in,
/// HTTP out, links
///        between hosts, and the thread that owns the core.
#pragma once

#include "adapters/detail/address.h"
#include "adapters/detail/core_loop.h"
#include "adapters/detail/http_client.h"
#include "adapters/detail/http_server.h"
#include "adapters/detail/peer_links.h"
