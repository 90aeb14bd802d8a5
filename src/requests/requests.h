/// @file
/// @brief Every request in progress: visible, with a deadline, answered once.
#pragma once

#include "requests/detail/request_row.h"
#include "requests/detail/request_table.h"
#include "requests/detail/wait_preference.h"
