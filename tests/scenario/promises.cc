#include "tests/scenario/promises.h"

#include <algorithm>
#include <map>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace limpetlink::scenario {
namespace {

using Json = nlohmann::json;
using Broken = std::vector<std::string>;

constexpr int kOk = 200;
constexpr char kKeyHeader[] = "Idempotency-Key";

bool IsService(const CallStep& call) {
  return absl::StartsWith(call.path, "/v1/services/");
}

std::size_t ExecutionsOf(const Json& executions, const std::string& id) {
  const auto is_own = [&id](const Json& row) {
    return row.value("id", "") == id;
  };
  return static_cast<std::size_t>(
      std::count_if(executions.begin(), executions.end(), is_own));
}

void CheckStream(const CallEvidence& evidence, const Json& generations,
                 Broken* broken) {
  const CallerView& view = evidence.view;
  const std::string& name = evidence.call.name;
  if (!TokensInOrder(view)) {
    broken->push_back(name + ": tokens are not of one generation in order");
  }
  if (!view.done || view.last_event_id.empty()) {
    return;
  }
  const std::string generation = GenerationOf(view);
  for (const Json& row : generations) {
    const bool own = row.value("generation", "") == generation;
    const auto wanted = row.value("tokens", std::size_t{0});
    if (own && wanted != view.tokens.size()) {
      broken->push_back(absl::StrCat(name, ": ended as whole with ",
                                     view.tokens.size(), " of ", wanted,
                                     " tokens"));
    }
  }
}

/// The id by which the service records a call; empty when it cannot be told.
std::string IdOf(const CallStep& call) {
  return call.body.is_object() ? call.body.value("id", call.name)
                               : std::string();
}

bool ToldNotRun(const CallerView& view) {
  return view.problem.is_object() &&
         view.problem.value("outcome", "") == "not_run";
}

/// A call without a key: what it was told is about this one request.
void CheckUnkeyed(const CallEvidence& evidence, std::size_t runs,
                  Broken* broken) {
  const CallerView& view = evidence.view;
  const std::string& name = evidence.call.name;
  if (ToldNotRun(view) && runs > 0) {
    broken->push_back(name + ": was told not_run and ran");
  }
  if (runs > 1) {
    broken->push_back(name + ": ran twice without a key");
  }
  if (view.ended && view.status == kOk && runs == 0) {
    broken->push_back(name + ": was answered and never ran");
  }
}

/// Calls with the same key stand for one action: when all were told that it
/// did not run, it did not.
void CheckKeyed(const std::vector<CallEvidence>& calls, const Json& executions,
                Broken* broken) {
  std::map<std::string, bool> all_not_run;
  for (const CallEvidence& evidence : calls) {
    const std::string key = evidence.call.headers.value(kKeyHeader, "");
    if (!key.empty()) {
      const auto known = all_not_run.emplace(key, true).first;
      known->second = known->second && ToldNotRun(evidence.view);
    }
  }
  for (const Json& row : executions) {
    const auto told = all_not_run.find(row.value("idempotency_key", ""));
    if (told != all_not_run.end() && told->second) {
      broken->push_back("order " + told->first + ": was told not_run and ran");
    }
  }
}

void CheckService(const CallEvidence& evidence, const Json& executions,
                  Broken* broken) {
  const std::string id = IdOf(evidence.call);
  if (!id.empty() && !evidence.call.headers.contains(kKeyHeader)) {
    CheckUnkeyed(evidence, ExecutionsOf(executions, id), broken);
  }
}

/// A keyed order runs at most once, whoever sends it again.
void CheckKeys(const Json& executions, Broken* broken) {
  std::map<std::string, int> runs;
  for (const Json& row : executions) {
    const std::string key = row.value("idempotency_key", "");
    const bool twice = !key.empty() && ++runs[key] == 2;
    if (twice) {
      broken->push_back("order " + key + ": ran twice");
    }
  }
}

void CheckChanges(const std::vector<std::uint64_t>& bases, Broken* broken) {
  std::map<std::uint64_t, int> applied;
  for (const std::uint64_t base : bases) {
    if (++applied[base] == 2) {
      broken->push_back(
          absl::StrCat("two changes were applied from version ", base));
    }
  }
}

}  // namespace

std::vector<std::string> BrokenPromises(const PromiseEvidence& evidence) {
  Broken broken;
  for (const CallEvidence& call : evidence.calls) {
    if (IsService(call.call)) {
      CheckService(call, evidence.executions, &broken);
    } else {
      CheckStream(call, evidence.generations, &broken);
    }
  }
  CheckKeys(evidence.executions, &broken);
  CheckKeyed(evidence.calls, evidence.executions, &broken);
  CheckChanges(evidence.applied_bases, &broken);
  for (const std::string& host : evidence.reverted_hosts) {
    broken.push_back(host + ": its document reverted");
  }
  return broken;
}

}  // namespace limpetlink::scenario
