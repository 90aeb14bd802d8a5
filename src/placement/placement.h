/// @file
/// @brief Orders to engines under a lease: models, versions, adapters and roles
/// brought to the document's wanted state.
#pragma once

#include "placement/detail/controller.h"
#include "placement/detail/engine.h"
#include "placement/detail/placement_host.h"
