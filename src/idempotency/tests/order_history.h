/// @file
/// @brief The whole history of keyed orders, and the checker of its promises.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"

namespace limpetlink {

/// @brief What an attempt was told.
enum class ToldKind { kOutcome, kReplay, kProblem };

/// @brief One order sent by a caller once.
struct OrderAttempt {
  std::string key;
  std::string body;
  Instant sent;
  int answers = 0;
  bool host_crashed = false;
  bool final = false;     ///< sent when all faults were long over
  bool recorded = false;  ///< its outcome was called durable
  ToldKind told = ToldKind::kProblem;
  std::optional<Problem> problem;
  std::string outcome_body;  ///< of an outcome or a replay
  Instant told_at;
  std::vector<Instant> seen_upstream;
};

/// @brief Everything that happened; attempts are numbered from 0.
struct OrderHistory {
  std::vector<OrderAttempt> attempts;

  /// @brief Checks every promise over the whole history.
  /// @param settled whether the run went on until every wait had ended
  /// @return what is broken, in words; empty when nothing is
  std::vector<std::string> Check(bool settled) const;

 private:
  void CheckOneRun(std::vector<std::string>& faults) const;
  void CheckNotRun(std::vector<std::string>& faults) const;
  void CheckReplays(std::vector<std::string>& faults) const;
  void CheckAnswers(bool settled, std::vector<std::string>& faults) const;
  void CheckReuse(std::vector<std::string>& faults) const;
  void CheckFinal(std::vector<std::string>& faults) const;
};

}  // namespace limpetlink
