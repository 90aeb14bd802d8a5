/// @file
/// @brief Blocking calls to the platform and to entry hosts, shared by the
/// operators' programs.
#pragma once

#include "operators/detail/blocking_http.h"
#include "operators/detail/fleet_changes.h"
#include "operators/detail/host_queries.h"
#include "operators/detail/platform_access.h"
