/// @file
/// @brief History of one caller's stream, and checks of the stream guarantees.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "streams/streams.h"

namespace limpetlink {

/// @brief A token as the caller received it.
struct ReceivedToken {
  GenerationId generation;
  std::uint64_t offset = 0;
  std::string text;
};

/// @brief Complete history of one request over all hosts that served it.
struct StreamHistory {
  /// Token texts of each generation, as its engine produced them.
  std::map<GenerationId, std::vector<std::string>> generations;
  /// Whether the request of a generation reached an engine.
  std::map<GenerationId, bool> reached_engine;
  /// Tokens that the caller holds; a restart event clears them.
  std::vector<ReceivedToken> received;
  int finishes = 0;
  int incomplete = 0;
  std::optional<FinishStream> finish;
  std::optional<EndIncomplete> end;
  bool caller_left = false;
  bool tokens_after_end = false;
  /// Generations cancelled while another host served them.
  std::vector<GenerationId> cancelled_in_use;

  /// @brief Records a token delivered to the caller.
  void RecordToken(const DeliverToken& token);
  /// @brief Records a restart event and clears the received tokens.
  void RecordRestart(const RestartStream& restart);

  /// @brief Checks all guarantees over the complete history.
  /// @param completed whether the run continued until no task was pending
  /// @return a description of each violation; empty if there is none
  std::vector<std::string> FindViolations(bool completed) const;

 private:
  void CheckTokens(std::vector<std::string>& violations) const;
  void CheckEnds(bool completed, std::vector<std::string>& violations) const;

  bool restart_mismatch = false;
};

}  // namespace limpetlink
