/// @file
/// @brief The entry host core: a deterministic state machine without I/O,
/// driven by a process, a test or a benchmark.
#pragma once

#include "entry/detail/entry_host.h"
#include "entry/detail/host_metrics.h"
