/// @file
/// @brief What operators' programs share: blocking calls to the platform and to
/// entry hosts.
#pragma once

#include "operators/detail/blocking_http.h"
#include "operators/detail/fleet_changes.h"
#include "operators/detail/host_queries.h"
#include "operators/detail/platform_access.h"
