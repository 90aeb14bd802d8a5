/// @file
/// @brief Worker discovery: watches of kinds in the metadata store, and the
/// directory of registrations.
#pragma once

#include "discovery/detail/kind_watch.h"
#include "discovery/detail/worker_directory.h"
