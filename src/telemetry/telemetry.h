/// @file
/// @brief Asynchronous output of logs and spans as JSON lines.
#pragma once

#include "telemetry/detail/json_lines.h"
#include "telemetry/detail/line_writer.h"
