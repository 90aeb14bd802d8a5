/// @file
/// @brief Routes by host and path prefix, split routes, and keys.
#pragma once

#include "routes/detail/deployment.h"
#include "routes/detail/route_table.h"
