#include "tests/core/history_check.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

#include "streams/streams.h"

namespace limpetlink::testing {
namespace {

using nlohmann::json;

void TakeToken(StreamContent& content, const std::string& text) {
  const std::size_t mark = text.find('#');
  const std::string generation = text.substr(0, mark);
  if (content.tokens.empty()) {
    content.generation = generation;
  }
  if (generation != content.generation) {
    content.faults.push_back("a token of " + generation + " among those of " +
                             content.generation);
  }
  if (text != TokenText(generation, content.tokens.size())) {
    content.faults.push_back("token " + text + " at place " +
                             std::to_string(content.tokens.size()));
  }
  content.tokens.push_back(text);
}

bool IsOrder(const CallerLog& log) {
  return log.request.path.find("/orders/orders") != std::string::npos;
}

/// Whether an order ran before its caller could send it again.
bool RanUntilNextAttempt(const World& world, const CallerLog& told) {
  Instant next_attempt = kNever;
  for (const CallerLog& log : world.callers) {
    const bool later =
        log.sent >= told.ended_at && log.request.body == told.request.body;
    if (IsOrder(log) && later) {
      next_attempt = std::min(next_attempt, log.sent);
    }
  }
  return std::any_of(world.executions.begin(), world.executions.end(),
                     [&](const Execution& run) {
                       return run.body == told.request.body &&
                              run.at < next_attempt;
                     });
}

}  // namespace

std::string OutcomeOf(const std::string& body) {
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
    content.faults.emplace_back("the stream is not readable");
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
        TakeToken(content, text);
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
    content.faults.push_back("a stream said to be whole has " +
                             std::to_string(content.tokens.size()) + " tokens");
  }
  if (log.ended && !log.aborted && !content.done && content.error.empty()) {
    content.faults.emplace_back(
        "a stream ended with neither its end nor an error");
  }
  return content.faults;
}

std::vector<std::string> CheckOrders(const World& world) {
  std::map<std::string, int> runs;
  for (const Execution& execution : world.executions) {
    if (execution.method == "POST") {
      ++runs[execution.body];
    }
  }
  std::vector<std::string> faults;
  for (const auto& [body, count] : runs) {
    if (count > 1) {
      faults.push_back("order " + body + " ran " + std::to_string(count) +
                       " times");
    }
  }
  for (const CallerLog& log : world.callers) {
    if (!IsOrder(log) || !log.ended) {
      continue;
    }
    const int count =
        runs.count(log.request.body) == 0 ? 0 : runs.at(log.request.body);
    const std::string outcome = OutcomeOf(log.body);
    if (log.status == 200 && count != 1) {
      faults.push_back("order " + log.request.body + " was answered and ran " +
                       std::to_string(count) + " times");
    }
    if (outcome == "not_run" && RanUntilNextAttempt(world, log)) {
      faults.push_back("order " + log.request.body +
                       " was told not_run and ran");
    }
  }
  return faults;
}

std::vector<std::string> CheckDeadlines(const World& world, Duration slack) {
  std::vector<std::string> faults;
  for (std::size_t i = 0; i < world.callers.size(); ++i) {
    const CallerLog& log = world.callers[i];
    if (!world.Over(i)) {
      faults.push_back("caller " + std::to_string(i) +
                       " was left without an answer");
    } else if (log.ended_at > log.deadline + slack) {
      faults.push_back("caller " + std::to_string(i) +
                       " was answered after its deadline");
    }
  }
  return faults;
}

}  // namespace limpetlink::testing
