/// @file
/// @brief Exchange of state between the entry hosts of a failure domain, so
/// that each host takes the load of all hosts into account when placing
/// requests.
#pragma once

#include "neighbours/detail/message.h"
#include "neighbours/detail/neighbours.h"
