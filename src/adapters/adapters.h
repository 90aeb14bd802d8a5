/// @file
/// @brief I/O of the deterministic core: HTTP server, HTTP client, links
/// between hosts, and the loop that runs the core.
#pragma once

#include "adapters/detail/address.h"
#include "adapters/detail/core_loop.h"
#include "adapters/detail/http_client.h"
#include "adapters/detail/http_server.h"
#include "adapters/detail/peer_links.h"
