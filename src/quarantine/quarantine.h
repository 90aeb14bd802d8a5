/// @file
/// @brief Quarantine of prompt parts and requests that end workers.
#pragma once

#include "quarantine/detail/input_quarantine.h"
