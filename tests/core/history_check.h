/// @file
/// @brief Checks recorded responses and executions against the guarantees given
/// to callers.
#pragma once

#include <string>
#include <vector>

#include "tests/core/world.h"

namespace limpetlink::testing {

/// @brief Parsed content of a streamed response.
struct StreamContent {
  std::vector<std::string> tokens;  ///< since the last restart event
  std::string generation;           ///< generation of those tokens
  std::string last_event_id;        ///< resume token of the last token
  bool done = false;                ///< the `[DONE]` event was received
  std::string error;                ///< data of the last error event
  std::vector<std::string>
      violations;  ///< e.g. tokens out of order, mixed generations
};

/// @brief Parses a streamed response.
/// @param body all bytes that the caller received
/// @param from content already received over an earlier connection
StreamContent ReadStream(const std::string& body,
                         const StreamContent& from = {});

/// @brief Checks that the tokens of a streamed response are in order, belong to
/// one generation and are complete if the stream has its end event.
/// @param log request and response of the caller
/// @param tokens number of tokens of every generation
/// @return violations; empty if there are none
std::vector<std::string> CheckStream(const CallerLog& log,
                                     std::uint64_t tokens);

/// @brief Checks the responses to orders against the executions: no body is
/// executed twice, `not_run` is returned only if the order was not executed
/// before its next attempt, and status 200 only if it was executed.
/// @param simulation simulation with the callers and executions
/// @return violations; empty if there are none
std::vector<std::string> CheckOrders(const FleetSimulation& simulation);

/// @brief Checks that every request finished by its deadline.
/// @param simulation simulation with the callers
/// @param slack tolerance after the deadline, e.g. for frozen hosts
/// @return violations; empty if there are none
std::vector<std::string> CheckDeadlines(const FleetSimulation& simulation,
                                        Duration slack);

/// @return the `outcome` field of a problem body; empty if it has none
std::string ParseOutcome(const std::string& body);

}  // namespace limpetlink::testing
