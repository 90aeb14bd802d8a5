/// @file
/// @brief Token streams from an engine to a caller: ordering, deduplication,
/// resumption, loss handling, back-pressure and the server-sent events codec.
#pragma once

#include "streams/detail/engine_frame.h"
#include "streams/detail/messages.h"
#include "streams/detail/resume_token.h"
#include "streams/detail/sse.h"
#include "streams/detail/stream.h"
