/// @file
/// @brief Quarantine of prompt parts that end engines.
#pragma once

#include "quarantine/detail/part_quarantine.h"
