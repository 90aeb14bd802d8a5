/// @file
/// @brief When a request may be sent again, and when a second copy may be sent
/// ahead of an answer.
#pragma once

#include "retries/detail/budget.h"
#include "retries/detail/hedge.h"
#include "retries/detail/window_budget.h"
