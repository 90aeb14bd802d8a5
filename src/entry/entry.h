/// @file
/// @brief The entry host's core: one deterministic state machine that a process
/// or a bench drives.
#pragma once

#include "entry/detail/entry_host.h"
#include "entry/detail/host_metrics.h"
