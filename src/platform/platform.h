/// @file
/// @brief The client of the platform's object API: versions, conditional
/// writes, watches, the host
///        list, a budget of calls and what is known of the platform's health.
#pragma once

#include "platform/detail/client.h"
#include "platform/detail/encode.h"
#include "platform/detail/read_back.h"
#include "platform/detail/types.h"
