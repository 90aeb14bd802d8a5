/// @file
/// @brief Client of the platform's object API: versioned reads, conditional
/// writes, watches, the host list, a call budget and health tracking.
#pragma once

#include "metadata_store/detail/client.h"
#include "metadata_store/detail/dialect.h"
#include "metadata_store/detail/encode.h"
#include "metadata_store/detail/read_back.h"
#include "metadata_store/detail/types.h"
