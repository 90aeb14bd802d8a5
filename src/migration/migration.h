/// @file
/// @brief Migration of running streams off leaving workers.
#pragma once

#include "migration/detail/plan.h"
#include "migration/detail/stream_move.h"
