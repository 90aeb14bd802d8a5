/// @file
/// @brief One thread that serves callers, makes calls and drives a core.
#pragma once

#include "event_loop/detail/event_loop.h"
