/// @file
/// @brief Decides when a worker may start a request whose output length is
/// unknown.
#pragma once

#include "admission/detail/admitter.h"
#include "admission/detail/concurrency.h"
#include "admission/detail/headroom.h"
#include "admission/detail/lengths.h"
#include "admission/detail/policy.h"
#include "admission/detail/queue.h"
#include "admission/detail/regression.h"
