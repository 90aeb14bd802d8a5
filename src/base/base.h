/// @file
/// @brief Basic types of all components: time, identifiers, error codes, enum
/// names, seeded random numbers and hashing.
#pragma once

#include "base/detail/enum_table.h"
#include "base/detail/error.h"
#include "base/detail/hash.h"
#include "base/detail/ids.h"
#include "base/detail/random.h"
#include "base/detail/time.h"
