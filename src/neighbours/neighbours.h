/// @file
/// @brief What the entry hosts of a failure domain tell each other, so that
/// each places requests as if it knew what all have placed.
#pragma once

#include "neighbours/detail/message.h"
#include "neighbours/detail/neighbours.h"
