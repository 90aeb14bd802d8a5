/// @file
/// @brief Streams of one generation to one caller: order, identity, resume,
/// loss, back-pressure, and the codec of server-sent events.
#pragma once

#include "streams/detail/engine_frame.h"
#include "streams/detail/messages.h"
#include "streams/detail/resume_token.h"
#include "streams/detail/sse.h"
#include "streams/detail/stream.h"
