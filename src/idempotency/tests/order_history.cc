#include "idempotency/tests/order_history.h"

#include <set>

namespace limpetlink {

std::vector<std::string> OrderHistory::Check(bool settled) const {
  std::vector<std::string> violations;
  this->CheckSingleExecution(violations);
  this->CheckNotRun(violations);
  this->CheckReplays(violations);
  this->CheckResponses(settled, violations);
  this->CheckReuse(violations);
  this->CheckFinal(violations);
  return violations;
}

void OrderHistory::CheckSingleExecution(
    std::vector<std::string>& violations) const {
  std::map<std::string, std::size_t> runs;
  for (const OrderAttempt& attempt : this->attempts) {
    runs[attempt.key] += attempt.upstream_arrivals.size();
  }
  for (const auto& [key, count] : runs) {
    if (count > 1) {
      violations.push_back("key " + key + " ran " + std::to_string(count) +
                           " times");
    }
  }
}

void OrderHistory::CheckNotRun(std::vector<std::string>& violations) const {
  for (const OrderAttempt& attempt : this->attempts) {
    const bool reported = attempt.responses > 0 && attempt.problem &&
                          attempt.problem->outcome == Outcome::kNotRun;
    if (!reported) {
      continue;
    }
    if (!attempt.upstream_arrivals.empty()) {
      violations.push_back("an attempt with the outcome not_run for key " +
                           attempt.key + " reached the upstream");
    }
    for (const OrderAttempt& other : this->attempts) {
      const bool same = other.key == attempt.key && other.body == attempt.body;
      for (const Instant seen : other.upstream_arrivals) {
        if (same && other.sent < attempt.sent && seen <= attempt.responded_at) {
          violations.push_back("not_run was reported for key " + attempt.key +
                               ", which an earlier attempt had run");
        }
      }
    }
  }
}

void OrderHistory::CheckReplays(std::vector<std::string>& violations) const {
  std::map<std::string, std::set<std::string>> bodies;
  for (const OrderAttempt& attempt : this->attempts) {
    const bool outcome =
        attempt.responses > 0 && attempt.response != ResponseKind::kProblem;
    if (!outcome) {
      continue;
    }
    bodies[attempt.key].insert(attempt.outcome_body);
    if (attempt.outcome_body.rfind(attempt.key + "/" + attempt.body, 0) != 0) {
      violations.push_back("key " + attempt.key +
                           " got the outcome of another order");
    }
  }
  for (const auto& [key, outcomes] : bodies) {
    if (outcomes.size() > 1) {
      violations.push_back("key " + key + " has two outcomes");
    }
  }
}

void OrderHistory::CheckResponses(bool settled,
                                  std::vector<std::string>& violations) const {
  for (const OrderAttempt& attempt : this->attempts) {
    if (attempt.responses > 1) {
      violations.push_back("an attempt of key " + attempt.key +
                           " got two final responses");
    }
    if (settled && attempt.responses == 0 && !attempt.host_crashed) {
      violations.push_back("an attempt of key " + attempt.key +
                           " got no response");
    }
  }
}

void OrderHistory::CheckReuse(std::vector<std::string>& violations) const {
  std::map<std::string, std::set<std::string>> bodies;
  for (const OrderAttempt& attempt : this->attempts) {
    bodies[attempt.key].insert(attempt.body);
  }
  for (const OrderAttempt& attempt : this->attempts) {
    const bool reused =
        attempt.responses > 0 && attempt.problem &&
        attempt.problem->code == ErrorCode::kIdempotencyKeyReused;
    if (reused && bodies[attempt.key].size() < 2) {
      violations.push_back(
          "key " + attempt.key +
          " was reported as reused, but was used with one body");
    }
  }
}

void OrderHistory::CheckFinal(std::vector<std::string>& violations) const {
  std::map<std::string, std::string> recorded;
  std::set<std::string> known;
  for (const OrderAttempt& attempt : this->attempts) {
    if (attempt.recorded && !attempt.after_faults) {
      recorded[attempt.key] = attempt.body;
    }
    if (!attempt.after_faults) {
      known.insert(attempt.key);
    }
  }
  for (const OrderAttempt& attempt : this->attempts) {
    if (!attempt.after_faults) {
      continue;
    }
    const bool unavailable =
        attempt.problem &&
        attempt.problem->code == ErrorCode::kIdempotencyLogUnavailable;
    if (unavailable) {
      violations.push_back("key " + attempt.key +
                           " is refused although all faults are over");
    }
    const auto kept = recorded.find(attempt.key);
    const bool due = kept != recorded.end() && kept->second == attempt.body;
    if (due && attempt.response == ResponseKind::kProblem) {
      violations.push_back("the stored outcome of key " + attempt.key +
                           " is not replayed");
    }
    if (known.count(attempt.key) == 0 && attempt.responses == 0) {
      violations.push_back("a new key gets no response");
    }
  }
}

}  // namespace limpetlink
