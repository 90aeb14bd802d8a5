/// @file
/// @brief What one caller saw of its stream, and the checker of its promises.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "streams/streams.h"

namespace limpetlink {

/// @brief A token as a caller took it.
struct SeenToken {
  GenerationId generation;
  std::uint64_t offset = 0;
  std::string text;
};

/// @brief The whole history of one request over all hosts that served it.
struct StreamHistory {
  /// What each generation consists of, as its engine made it.
  std::map<GenerationId, std::vector<std::string>> generations;
  /// Generations whose request reached an engine.
  std::map<GenerationId, bool> reached;
  /// What the caller holds; a restart event empties it.
  std::vector<SeenToken> held;
  int finishes = 0;
  int incomplete = 0;
  std::optional<FinishStream> finish;
  std::optional<EndIncomplete> end;
  bool caller_left = false;
  bool tokens_after_end = false;
  std::vector<GenerationId> cancelled_while_read;  ///< though in use

  /// @brief Takes what the caller is given.
  void Token(const DeliverToken& token);
  /// @brief Takes a restart event.
  void Restart(const RestartStream& restart);

  /// @brief Checks every promise over the whole history.
  /// @param settled whether the run went on until every wait had ended
  /// @return what is broken, in words; empty when nothing is
  std::vector<std::string> Check(bool settled) const;

 private:
  void CheckTokens(std::vector<std::string>& faults) const;
  void CheckEnds(bool settled, std::vector<std::string>& faults) const;

  bool restart_named_wrongly = false;
};

}  // namespace limpetlink
