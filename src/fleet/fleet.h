/// @file
/// @brief The fleet document: all operator-controlled configuration as one
/// validated value.
#pragma once

#include "fleet/detail/diff.h"
#include "fleet/detail/document.h"
#include "fleet/detail/parse.h"
#include "fleet/detail/rules.h"
