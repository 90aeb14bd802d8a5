/// @file
/// @brief Which workers a host reaches by its own links, and which other hosts
/// reach the rest.
#pragma once

#include "reachability/detail/relay_directory.h"
#include "reachability/detail/worker_reachability.h"
