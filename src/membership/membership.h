/// @file
/// @brief Membership of the entry hosts: detects live hosts by probes, with the
/// platform's host list as a second source, and disseminates small broadcasts.
#pragma once

#include "membership/detail/member.h"
#include "membership/detail/membership.h"
#include "membership/detail/messages.h"
