#include "tests/scenario/promises.h"

#include <algorithm>
#include <map>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace limpetlink::scenario {
namespace {

using Json = nlohmann::json;
using Violations = std::vector<std::string>;

constexpr int kOk = 200;
constexpr char kKeyHeader[] = "Idempotency-Key";

bool IsService(const CallStep& call) {
  return absl::StartsWith(call.path, "/v1/services/");
}

std::size_t CountExecutions(const Json& executions, const std::string& id) {
  const auto is_own = [&id](const Json& row) {
    return row.value("id", "") == id;
  };
  return static_cast<std::size_t>(
      std::count_if(executions.begin(), executions.end(), is_own));
}

void CheckStream(const CallEvidence& evidence, const Json& generations,
                 Violations* violations) {
  const CallerView& view = evidence.view;
  const std::string& name = evidence.call.name;
  if (!TokensInOrder(view)) {
    violations->push_back(name + ": tokens are not of one generation in order");
  }
  if (!view.done || view.last_event_id.empty()) {
    return;
  }
  const std::string generation = GenerationOf(view);
  for (const Json& row : generations) {
    const bool own = row.value("generation", "") == generation;
    const auto expected_tokens = row.value("tokens", std::size_t{0});
    if (own && expected_tokens != view.tokens.size()) {
      violations->push_back(absl::StrCat(name, ": ended as complete with ",
                                         view.tokens.size(), " of ",
                                         expected_tokens, " tokens"));
    }
  }
}

/// Returns the id under which the service records a call; empty if unknown.
std::string ServiceRequestId(const CallStep& call) {
  return call.body.is_object() ? call.body.value("id", call.name)
                               : std::string();
}

bool ReportsNotRun(const CallerView& view) {
  return view.problem.is_object() &&
         view.problem.value("outcome", "") == "not_run";
}

/// Checks a call without a key, whose outcome describes only this request.
void CheckUnkeyedCall(const CallEvidence& evidence, std::size_t runs,
                      Violations* violations) {
  const CallerView& view = evidence.view;
  const std::string& name = evidence.call.name;
  if (ReportsNotRun(view) && runs > 0) {
    violations->push_back(name + ": reported not_run, but ran");
  }
  if (runs > 1) {
    violations->push_back(name + ": ran twice without a key");
  }
  if (view.ended && view.status == kOk && runs == 0) {
    violations->push_back(name + ": succeeded, but never ran");
  }
}

/// Checks calls with the same key, which denote one action: if all of them
/// reported not_run, the action must not have run.
void CheckKeyedOutcomes(const std::vector<CallEvidence>& calls,
                        const Json& executions, Violations* violations) {
  std::map<std::string, bool> all_not_run;
  for (const CallEvidence& evidence : calls) {
    const std::string key = evidence.call.headers.value(kKeyHeader, "");
    if (!key.empty()) {
      const auto known = all_not_run.emplace(key, true).first;
      known->second = known->second && ReportsNotRun(evidence.view);
    }
  }
  for (const Json& row : executions) {
    const auto found = all_not_run.find(row.value("idempotency_key", ""));
    if (found != all_not_run.end() && found->second) {
      violations->push_back("order " + found->first +
                            ": reported not_run, but ran");
    }
  }
}

void CheckService(const CallEvidence& evidence, const Json& executions,
                  Violations* violations) {
  const std::string id = ServiceRequestId(evidence.call);
  if (!id.empty() && !evidence.call.headers.contains(kKeyHeader)) {
    CheckUnkeyedCall(evidence, CountExecutions(executions, id), violations);
  }
}

/// Checks that requests with the same key ran at most once, whoever sent them.
void CheckKeyedExecutions(const Json& executions, Violations* violations) {
  std::map<std::string, int> runs;
  for (const Json& row : executions) {
    const std::string key = row.value("idempotency_key", "");
    const bool twice = !key.empty() && ++runs[key] == 2;
    if (twice) {
      violations->push_back("order " + key + ": ran twice");
    }
  }
}

void CheckChanges(const std::vector<std::uint64_t>& bases,
                  Violations* violations) {
  std::map<std::uint64_t, int> applied;
  for (const std::uint64_t base : bases) {
    if (++applied[base] == 2) {
      violations->push_back(
          absl::StrCat("two changes were applied from version ", base));
    }
  }
}

}  // namespace

std::vector<std::string> FindViolations(const GuaranteeEvidence& evidence) {
  Violations violations;
  for (const CallEvidence& call : evidence.calls) {
    if (IsService(call.call)) {
      CheckService(call, evidence.executions, &violations);
    } else {
      CheckStream(call, evidence.generations, &violations);
    }
  }
  CheckKeyedExecutions(evidence.executions, &violations);
  CheckKeyedOutcomes(evidence.calls, evidence.executions, &violations);
  CheckChanges(evidence.applied_bases, &violations);
  for (const std::string& host : evidence.reverted_hosts) {
    violations.push_back(host + ": its document reverted");
  }
  return violations;
}

}  // namespace limpetlink::scenario
