/// @file
/// @brief The versioned envelope of every message between entry hosts, and
/// CBOR decoding with limits.
#pragma once

#include "peers/detail/cbor.h"
#include "peers/detail/envelope.h"
