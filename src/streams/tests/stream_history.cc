#include "streams/tests/stream_history.h"

namespace limpetlink {

void StreamHistory::Token(const DeliverToken& token) {
  this->tokens_after_end =
      this->tokens_after_end || this->finishes > 0 || this->incomplete > 0;
  this->held.push_back({token.generation, token.offset, token.text});
}

void StreamHistory::Restart(const RestartStream& restart) {
  const bool same = !this->held.empty() &&
                    restart.dropped == this->held.back().generation &&
                    restart.dropped_tokens == this->held.size();
  this->restart_named_wrongly = this->restart_named_wrongly || !same;
  this->held.clear();
}

std::vector<std::string> StreamHistory::Check(bool settled) const {
  std::vector<std::string> faults;
  this->CheckTokens(faults);
  this->CheckEnds(settled, faults);
  return faults;
}

void StreamHistory::CheckTokens(std::vector<std::string>& faults) const {
  for (std::size_t i = 0; i < this->held.size(); ++i) {
    const SeenToken& token = this->held[i];
    if (token.generation != this->held.front().generation) {
      faults.emplace_back("tokens of two generations");
    }
    if (token.offset != i) {
      faults.push_back("token " + std::to_string(i) + " came as offset " +
                       std::to_string(token.offset));
    }
    const auto& made = this->generations.at(token.generation);
    if (token.offset >= made.size() || made[token.offset] != token.text) {
      faults.emplace_back("a token that its generation does not have there");
    }
  }
  if (this->restart_named_wrongly) {
    faults.emplace_back("a restart event that names other tokens than held");
  }
}

void StreamHistory::CheckEnds(bool settled,
                              std::vector<std::string>& faults) const {
  const int ends = this->finishes + this->incomplete;
  if (ends > 1) {
    faults.emplace_back("two ends");
  }
  if (settled && ends == 0 && !this->caller_left) {
    faults.emplace_back("no end");
  }
  if (this->tokens_after_end) {
    faults.emplace_back("tokens after the end");
  }
  if (this->finish) {
    const auto& made = this->generations.at(this->finish->generation);
    const bool whole =
        this->held.size() == made.size() && this->finish->tokens == made.size();
    if (!whole) {
      faults.emplace_back("finished but not whole");
    }
  }
  bool any_reached = false;
  for (const auto& [generation, reached] : this->reached) {
    any_reached = any_reached || reached;
  }
  if (this->end && this->end->problem.outcome == Outcome::kNotRun &&
      any_reached) {
    faults.emplace_back("told not_run though an engine had the request");
  }
  if (this->end && this->end->tokens != this->held.size()) {
    faults.emplace_back("an end that counts other tokens than held");
  }
  if (!this->cancelled_while_read.empty()) {
    faults.emplace_back("a generation cancelled that another host served");
  }
}

}  // namespace limpetlink
