#include "idempotency/tests/order_history.h"

#include <set>

namespace limpetlink {

std::vector<std::string> OrderHistory::Check(bool settled) const {
  std::vector<std::string> faults;
  this->CheckOneRun(faults);
  this->CheckNotRun(faults);
  this->CheckReplays(faults);
  this->CheckAnswers(settled, faults);
  this->CheckReuse(faults);
  this->CheckFinal(faults);
  return faults;
}

void OrderHistory::CheckOneRun(std::vector<std::string>& faults) const {
  std::map<std::string, std::size_t> runs;
  for (const OrderAttempt& attempt : this->attempts) {
    runs[attempt.key] += attempt.seen_upstream.size();
  }
  for (const auto& [key, count] : runs) {
    if (count > 1) {
      faults.push_back("key " + key + " ran " + std::to_string(count) +
                       " times");
    }
  }
}

void OrderHistory::CheckNotRun(std::vector<std::string>& faults) const {
  for (const OrderAttempt& attempt : this->attempts) {
    const bool told = attempt.answers > 0 && attempt.problem &&
                      attempt.problem->outcome == Outcome::kNotRun;
    if (!told) {
      continue;
    }
    if (!attempt.seen_upstream.empty()) {
      faults.push_back("an attempt told not_run of key " + attempt.key +
                       " reached the upstream");
    }
    for (const OrderAttempt& other : this->attempts) {
      const bool same = other.key == attempt.key && other.body == attempt.body;
      for (const Instant seen : other.seen_upstream) {
        if (same && other.sent < attempt.sent && seen <= attempt.told_at) {
          faults.push_back("told not_run of key " + attempt.key +
                           " which an earlier attempt had run");
        }
      }
    }
  }
}

void OrderHistory::CheckReplays(std::vector<std::string>& faults) const {
  std::map<std::string, std::set<std::string>> bodies;
  for (const OrderAttempt& attempt : this->attempts) {
    const bool outcome =
        attempt.answers > 0 && attempt.told != ToldKind::kProblem;
    if (!outcome) {
      continue;
    }
    bodies[attempt.key].insert(attempt.outcome_body);
    if (attempt.outcome_body.rfind(attempt.key + "/" + attempt.body, 0) != 0) {
      faults.push_back("key " + attempt.key + " got another order's outcome");
    }
  }
  for (const auto& [key, outcomes] : bodies) {
    if (outcomes.size() > 1) {
      faults.push_back("key " + key + " has two outcomes");
    }
  }
}

void OrderHistory::CheckAnswers(bool settled,
                                std::vector<std::string>& faults) const {
  for (const OrderAttempt& attempt : this->attempts) {
    if (attempt.answers > 1) {
      faults.push_back("an attempt of key " + attempt.key +
                       " got two final answers");
    }
    if (settled && attempt.answers == 0 && !attempt.host_crashed) {
      faults.push_back("an attempt of key " + attempt.key +
                       " waits without an end");
    }
  }
}

void OrderHistory::CheckReuse(std::vector<std::string>& faults) const {
  std::map<std::string, std::set<std::string>> bodies;
  for (const OrderAttempt& attempt : this->attempts) {
    bodies[attempt.key].insert(attempt.body);
  }
  for (const OrderAttempt& attempt : this->attempts) {
    const bool reused =
        attempt.answers > 0 && attempt.problem &&
        attempt.problem->code == ErrorCode::kIdempotencyKeyReused;
    if (reused && bodies[attempt.key].size() < 2) {
      faults.push_back("key " + attempt.key + " is called reused and is not");
    }
  }
}

void OrderHistory::CheckFinal(std::vector<std::string>& faults) const {
  std::map<std::string, std::string> recorded;
  std::set<std::string> known;
  for (const OrderAttempt& attempt : this->attempts) {
    if (attempt.recorded && !attempt.final) {
      recorded[attempt.key] = attempt.body;
    }
    if (!attempt.final) {
      known.insert(attempt.key);
    }
  }
  for (const OrderAttempt& attempt : this->attempts) {
    if (!attempt.final) {
      continue;
    }
    const bool unavailable =
        attempt.problem &&
        attempt.problem->code == ErrorCode::kIdempotencyLogUnavailable;
    if (unavailable) {
      faults.push_back("key " + attempt.key +
                       " is refused though all faults are over");
    }
    const auto kept = recorded.find(attempt.key);
    const bool due = kept != recorded.end() && kept->second == attempt.body;
    if (due && attempt.told == ToldKind::kProblem) {
      faults.push_back("the durable outcome of key " + attempt.key +
                       " is not replayed");
    }
    if (known.count(attempt.key) == 0 && attempt.answers == 0) {
      faults.push_back("a fresh key gets no answer");
    }
  }
}

}  // namespace limpetlink
