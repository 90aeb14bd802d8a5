/// @file
/// @brief Placement: reconciles the models, versions, adapters and roles of
/// engines with the fleet document, under a lease.
#pragma once

#include "placement/detail/controller.h"
#include "placement/detail/engine.h"
#include "placement/detail/placement_host.h"
