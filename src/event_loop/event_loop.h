/// @file
/// @brief Single-threaded event loop with HTTP server, HTTP client and core.
#pragma once

#include "event_loop/detail/event_loop.h"
