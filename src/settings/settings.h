/// @file
/// @brief Settings of the programs: flags and LIMPET_* environment variables,
/// checked at start.
#pragma once

#include "settings/detail/parser.h"
