/// @file
/// @brief Fairness between organisations, their concurrency and rate limits,
/// and the limits of workers.
#pragma once

#include "limits/detail/fair_share.h"
#include "limits/detail/host_limit.h"
#include "limits/detail/share_owner.h"
#include "limits/detail/worker_allowances.h"
