/// @file
/// @brief The versioned envelope around every message between entry hosts, and
/// bounded reading of CBOR.
#pragma once

#include "peers/detail/cbor.h"
#include "peers/detail/envelope.h"
