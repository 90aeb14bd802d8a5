/// @file
/// @brief Which entry hosts are live, found by probes between them with the
/// platform's host list as a second source; and small broadcasts between them.
#pragma once

#include "membership/detail/member.h"
#include "membership/detail/membership.h"
#include "membership/detail/messages.h"
