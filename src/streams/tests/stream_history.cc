#include "streams/tests/stream_history.h"

namespace limpetlink {

void StreamHistory::RecordToken(const DeliverToken& token) {
  this->tokens_after_end =
      this->tokens_after_end || this->finishes > 0 || this->incomplete > 0;
  this->received.push_back({token.generation, token.offset, token.text});
}

void StreamHistory::RecordRestart(const RestartStream& restart) {
  const bool matches = !this->received.empty() &&
                       restart.dropped == this->received.back().generation &&
                       restart.dropped_tokens == this->received.size();
  this->restart_mismatch = this->restart_mismatch || !matches;
  this->received.clear();
}

std::vector<std::string> StreamHistory::FindViolations(bool completed) const {
  std::vector<std::string> violations;
  this->CheckTokens(violations);
  this->CheckEnds(completed, violations);
  return violations;
}

void StreamHistory::CheckTokens(std::vector<std::string>& violations) const {
  for (std::size_t i = 0; i < this->received.size(); ++i) {
    const ReceivedToken& token = this->received[i];
    if (token.generation != this->received.front().generation) {
      violations.emplace_back("received tokens of two generations");
    }
    if (token.offset != i) {
      violations.push_back("token " + std::to_string(i) +
                           " was received with offset " +
                           std::to_string(token.offset));
    }
    const auto& expected = this->generations.at(token.generation);
    if (token.offset >= expected.size() ||
        expected[token.offset] != token.text) {
      violations.emplace_back(
          "token differs from the one that its engine produced");
    }
  }
  if (this->restart_mismatch) {
    violations.emplace_back(
        "restart event names other tokens than the caller holds");
  }
}

void StreamHistory::CheckEnds(bool completed,
                              std::vector<std::string>& violations) const {
  const int ends = this->finishes + this->incomplete;
  if (ends > 1) {
    violations.emplace_back("stream ended more than once");
  }
  if (completed && ends == 0 && !this->caller_left) {
    violations.emplace_back("stream did not end");
  }
  if (this->tokens_after_end) {
    violations.emplace_back("received tokens after the end");
  }
  if (this->finish) {
    const auto& expected = this->generations.at(this->finish->generation);
    const bool complete = this->received.size() == expected.size() &&
                          this->finish->tokens == expected.size();
    if (!complete) {
      violations.emplace_back("finished although the response is incomplete");
    }
  }
  bool any_reached_engine = false;
  for (const auto& [generation, reached_engine] : this->reached_engine) {
    any_reached_engine = any_reached_engine || reached_engine;
  }
  if (this->end && this->end->problem.outcome == Outcome::kNotRun &&
      any_reached_engine) {
    violations.emplace_back(
        "reported not_run although an engine had the request");
  }
  if (this->end && this->end->tokens != this->received.size()) {
    violations.emplace_back(
        "end reports another token count than the caller holds");
  }
  if (!this->cancelled_in_use.empty()) {
    violations.emplace_back("cancelled a generation that another host served");
  }
}

}  // namespace limpetlink
