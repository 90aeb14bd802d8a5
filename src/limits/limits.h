/// @file
/// @brief Fairness between organisations and their concurrency and rate limits.
#pragma once

#include "limits/detail/fair_share.h"
#include "limits/detail/host_limit.h"
#include "limits/detail/share_owner.h"
