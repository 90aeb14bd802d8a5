/// @file
/// @brief Bounded decoding of JSON that comes from other processes.
#pragma once

#include "decoding/detail/decoder.h"
