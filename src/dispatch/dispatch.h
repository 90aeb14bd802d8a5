/// @file
/// @brief Decides which worker runs each request and when: combines admission,
/// routing, limits and the retry budget behind one deterministic step function.
#pragma once

#include "dispatch/detail/dispatcher.h"
#include "dispatch/detail/messages.h"
