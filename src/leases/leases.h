/// @file
/// @brief Leases stored in the metadata store; their epochs are fencing tokens.
#pragma once

#include "leases/detail/lease.h"
