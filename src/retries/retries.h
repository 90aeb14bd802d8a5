/// @file
/// @brief Retry budgets, and the delay before hedged attempts.
#pragma once

#include "retries/detail/budget.h"
#include "retries/detail/hedge.h"
#include "retries/detail/window_budget.h"
