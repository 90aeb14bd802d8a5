/// @file
/// @brief Deployments, and lookup of routes, services and API keys in them.
#pragma once

#include "routes/detail/deployment.h"
#include "routes/detail/route_table.h"
