/// @file
/// @brief The client of the platform's object API: versions, conditional
/// writes, watches, the host
///        list, a budget of calls and what is known of the platform's health.
#pragma once

#include "metadata_store/detail/client.h"
#include "metadata_store/detail/dialect.h"
#include "metadata_store/detail/encode.h"
#include "metadata_store/detail/read_back.h"
#include "metadata_store/detail/types.h"
