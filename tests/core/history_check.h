/// @file
/// @brief Judges what callers saw and upstreams ran against the promises.
#pragma once

#include <string>
#include <vector>

#include "tests/core/world.h"

namespace limpetlink::testing {

/// @brief What a streamed answer holds.
struct StreamContent {
  std::vector<std::string> tokens;  ///< since the last restart event
  std::string generation;           ///< of those tokens
  std::string last_event_id;        ///< resume token of the last token
  bool done = false;                ///< the end marker came
  std::string error;                ///< body of an error event
  std::vector<std::string>
      violations;  ///< tokens out of order, mixed generations
};

/// @brief Reads a streamed answer.
/// @param body all bytes that the caller received
/// @param from tokens that the caller already had, as of an earlier connection
StreamContent ReadStream(const std::string& body,
                         const StreamContent& from = {});

/// @brief Checks a streamed answer: in order, from one generation, whole when
/// it says so.
/// @param tokens the length of every generation
/// @return what is wrong, nothing when all is well
std::vector<std::string> CheckStream(const CallerLog& log,
                                     std::uint64_t tokens);

/// @brief Checks the answers of orders against what the services ran: no body
/// twice, `not_run` only
///        where nothing ran, an answer only where it ran.
/// @param world its callers and executions
/// @return what is wrong
std::vector<std::string> CheckOrders(const FleetSimulation& simulation);

/// @brief Checks that every caller's exchange was over by its deadline and some
/// slack.
/// @param slack for hosts that were frozen
/// @return what is wrong
std::vector<std::string> CheckDeadlines(const FleetSimulation& simulation,
                                        Duration slack);

/// @return the `outcome` of a problem body, or an empty text
std::string ParseOutcome(const std::string& body);

}  // namespace limpetlink::testing
