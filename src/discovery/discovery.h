/// @file
/// @brief Finding workers: kinds followed in the metadata store, and the
/// directory of registrations.
#pragma once

#include "discovery/detail/kind_watch.h"
#include "discovery/detail/worker_directory.h"
