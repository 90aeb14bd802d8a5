/// @file
/// @brief At-most-once execution of keyed requests: a sharded log of intents
/// and outcomes, stored in the platform's object API.
#pragma once

#include "idempotency/detail/idempotency_log.h"
#include "idempotency/detail/key_table.h"
#include "idempotency/detail/messages.h"
#include "idempotency/detail/segment.h"
