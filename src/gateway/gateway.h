/// @file
/// @brief A gateway: the core of an entry host that forwards requests unchanged
/// to workers by declared routes.
#pragma once

#include "gateway/detail/codec.h"
#include "gateway/detail/end_to_end.h"
#include "gateway/detail/event_splitter.h"
#include "gateway/detail/forwarding.h"
#include "gateway/detail/gateway_host.h"
#include "gateway/detail/retry_decision.h"
#include "gateway/detail/settings.h"
