/// @file
/// @brief Selects and ranks the workers that may receive a request.
#pragma once

#include "routing/detail/health.h"
#include "routing/detail/load_table.h"
#include "routing/detail/prefixes.h"
#include "routing/detail/router.h"
