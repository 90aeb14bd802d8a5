/// @file
/// @brief History of all keyed orders, and the checker of its guarantees.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"

namespace limpetlink {

/// @brief Kind of response to an attempt.
enum class ResponseKind { kOutcome, kReplay, kProblem };

/// @brief One transmission of an order by a caller.
struct OrderAttempt {
  std::string key;
  std::string body;
  Instant sent;
  int responses = 0;
  bool host_crashed = false;
  bool after_faults = false;  ///< sent long after the last fault
  bool recorded = false;      ///< its outcome was reported as persisted
  ResponseKind response = ResponseKind::kProblem;
  std::optional<Problem> problem;
  std::string outcome_body;  ///< of an outcome or a replay
  Instant responded_at;
  std::vector<Instant> upstream_arrivals;
};

/// @brief All attempts of a run, numbered from 0.
struct OrderHistory {
  std::vector<OrderAttempt> attempts;

  /// @brief Checks every guarantee over the whole history.
  /// @param settled whether the run continued until no request waited any more
  /// @return descriptions of all violations; empty if there are none
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
