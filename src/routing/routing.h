/// @file
/// @brief Which workers may get a request, and in which order they are tried.
#pragma once

#include "routing/detail/health.h"
#include "routing/detail/load_table.h"
#include "routing/detail/prefixes.h"
#include "routing/detail/router.h"
