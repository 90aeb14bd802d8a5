/// @file
/// @brief Organisations' shares of service: fair order, concurrency and rate.
#pragma once

#include "limits/detail/fair_share.h"
#include "limits/detail/host_limit.h"
#include "limits/detail/share_owner.h"
