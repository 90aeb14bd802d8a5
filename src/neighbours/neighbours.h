/// @file
/// @brief Exchange of state between the entry hosts of a failure domain, so
/// that each host places requests with the load of all hosts in view.
#pragma once

#include "neighbours/detail/message.h"
#include "neighbours/detail/neighbours.h"
