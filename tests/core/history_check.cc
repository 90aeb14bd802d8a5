#include "tests/core/history_check.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

#include "streams/streams.h"

namespace limpetlink::testing {
namespace {

using nlohmann::json;

void AppendToken(StreamContent& content, const std::string& text) {
  const std::size_t separator = text.find('#');
  const std::string generation = text.substr(0, separator);
  if (content.tokens.empty()) {
    content.generation = generation;
  }
  if (generation != content.generation) {
    content.violations.push_back("a token of " + generation +
                                 " among those of " + content.generation);
  }
  if (text != TokenText(generation, content.tokens.size())) {
    content.violations.push_back("token " + text + " at position " +
                                 std::to_string(content.tokens.size()));
  }
  content.tokens.push_back(text);
}

bool IsOrder(const CallerLog& log) {
  return log.request.path.find("/orders/orders") != std::string::npos;
}

/// Returns whether an order was executed before its next attempt was sent.
bool RanBeforeNextAttempt(const FleetSimulation& simulation,
                          const CallerLog& response) {
  Instant next_attempt = kNever;
  for (const CallerLog& log : simulation.callers) {
    const bool is_retry = log.sent >= response.ended_at &&
                          log.request.body == response.request.body;
    if (IsOrder(log) && is_retry) {
      next_attempt = std::min(next_attempt, log.sent);
    }
  }
  return std::any_of(simulation.executions.begin(), simulation.executions.end(),
                     [&](const Execution& run) {
                       return run.body == response.request.body &&
                              run.at < next_attempt;
                     });
}

}  // namespace

std::string ParseOutcome(const std::string& body) {
  const json parsed = json::parse(body, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("outcome")) {
    return {};
  }
  return parsed["outcome"].get<std::string>();
}

StreamContent ReadStream(const std::string& body, const StreamContent& from) {
  StreamContent content = from;
  content.done = false;
  content.error.clear();
  SseDecoder decoder{SseLimits{}};
  const auto events = decoder.Feed(body);
  if (!events.ok()) {
    content.violations.emplace_back("the stream is not valid SSE");
    return content;
  }
  for (const SseEvent& event : *events) {
    if (event.event == "restart") {
      content.tokens.clear();
    } else if (event.event == "error") {
      content.error = event.data;
    } else if (event.data == "[DONE]") {
      content.done = true;
    } else {
      const json chunk = json::parse(event.data);
      const std::string text = chunk["choices"][0]["text"];
      if (!text.empty()) {
        AppendToken(content, text);
        content.last_event_id = event.id;
      }
    }
  }
  return content;
}

std::vector<std::string> CheckStream(const CallerLog& log,
                                     std::uint64_t tokens) {
  if (log.status != 200) {
    return {};
  }
  StreamContent content = ReadStream(log.body);
  if (content.done && content.tokens.size() != tokens) {
    content.violations.push_back("a stream marked as complete has " +
                                 std::to_string(content.tokens.size()) +
                                 " tokens");
  }
  if (log.ended && !log.aborted && !content.done && content.error.empty()) {
    content.violations.emplace_back(
        "a stream ended with neither an end event nor an error");
  }
  return content.violations;
}

std::vector<std::string> CheckOrders(const FleetSimulation& simulation) {
  std::map<std::string, int> runs;
  for (const Execution& execution : simulation.executions) {
    if (execution.method == "POST") {
      ++runs[execution.body];
    }
  }
  std::vector<std::string> violations;
  for (const auto& [body, count] : runs) {
    if (count > 1) {
      violations.push_back("order " + body + " ran " + std::to_string(count) +
                           " times");
    }
  }
  for (const CallerLog& log : simulation.callers) {
    if (!IsOrder(log) || !log.ended) {
      continue;
    }
    const int count =
        runs.count(log.request.body) == 0 ? 0 : runs.at(log.request.body);
    const std::string outcome = ParseOutcome(log.body);
    if (log.status == 200 && count != 1) {
      violations.push_back("order " + log.request.body +
                           " was answered and ran " + std::to_string(count) +
                           " times");
    }
    if (outcome == "not_run" && RanBeforeNextAttempt(simulation, log)) {
      violations.push_back("order " + log.request.body +
                           " was reported as not_run but was executed");
    }
  }
  return violations;
}

std::vector<std::string> CheckDeadlines(const FleetSimulation& simulation,
                                        Duration slack) {
  std::vector<std::string> violations;
  for (std::size_t i = 0; i < simulation.callers.size(); ++i) {
    const CallerLog& log = simulation.callers[i];
    if (!simulation.IsFinished(i)) {
      violations.push_back("caller " + std::to_string(i) +
                           " received no response");
    } else if (log.ended_at > log.deadline + slack) {
      violations.push_back("caller " + std::to_string(i) +
                           " was answered after its deadline");
    }
  }
  return violations;
}

}  // namespace limpetlink::testing
