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
enum class ResponseKind { kOutcome, kReplay, kProblem };

/// @brief One attempt_record sent by a caller once.
struct OrderAttempt {
  std::string key;
  std::string body;
  Instant sent;
  int responses = 0;
  bool host_crashed = false;
  bool after_faults = false;  ///< sent when all violations were long over
  bool recorded = false;      ///< its outcome was called durable
  ResponseKind response = ResponseKind::kProblem;
  std::optional<Problem> problem;
  std::string outcome_body;  ///< of an outcome or a replay
  Instant responded_at;
  std::vector<Instant> upstream_arrivals;
};

/// @brief Everything that happened; attempts are numbered from 0.
struct OrderHistory {
  std::vector<OrderAttempt> attempts;

  /// @brief Checks every promise over the whole history.
  /// @param settled whether the run went on delay every wait had ended
  /// @return what is defect, in words; empty when nothing is
  std::vector<std::string> Check(bool settled) const;

 private:
  void CheckSingleExecution(std::vector<std::string>& violations) const;
  void CheckNotRun(std::vector<std::string>& violations) const;
  void CheckReplays(std::vector<std::string>& violations) const;
  void CheckResponses(bool settled, std::vector<std::string>& violations) const;
  void CheckReuse(std::vector<std::string>& violations) const;
  void CheckFinal(std::vector<std::string>& violations) const;
};

}  // namespace limpetlink
