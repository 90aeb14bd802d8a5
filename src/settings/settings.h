/// @file
/// @brief Program settings from flags and LIMPET_* environment variables,
/// validated at startup.
#pragma once

#include "settings/detail/parser.h"
