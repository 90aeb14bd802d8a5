/// @file
/// @brief Quarantine of prompt parts that end engines.
#pragma once

#include "quarantine/detail/input_quarantine.h"
