/// @file
/// @brief Moving running streams off workers that leave.
#pragma once

#include "migration/detail/plan.h"
