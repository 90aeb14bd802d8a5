/// @file
/// @brief Leases on objects of the platform, whose epochs serve as fencing
/// numbers.
#pragma once

#include "leases/detail/lease.h"
