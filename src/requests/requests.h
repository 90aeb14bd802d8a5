/// @file
/// @brief Tracks the requests in progress: their states, deadlines and single
/// final responses.
#pragma once

#include "requests/detail/request_row.h"
#include "requests/detail/request_table.h"
#include "requests/detail/wait_preference.h"
