#include <algorithm>
#include <set>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "tests/scenario/promises.h"
#include "tests/scenario/real_fleet.h"

namespace limpetlink::scenario {
namespace {

using Json = nlohmann::json;

constexpr char kLiveHostsPrefix[] = "live-hosts-of-";

}  // namespace

Json RealFleet::ObserveSubject(const std::string& subject) {
  const auto caller = this->callers.find(subject);
  if (caller != this->callers.end()) {
    return scenario::Observe(caller->second->View());
  }
  const auto applier = this->appliers.find(subject);
  if (applier != this->appliers.end()) {
    return applier->second->Observe();
  }
  if (subject == "promises") {
    return this->ObserveGuarantees();
  }
  if (subject == "applied-changes") {
    return this->ObserveApplied();
  }
  if (subject == "entries" || subject == "newest-version") {
    return this->ObserveEntries();
  }
  if (absl::StartsWith(subject, kLiveHostsPrefix)) {
    const auto found =
        this->Find(subject.substr(std::string(kLiveHostsPrefix).size()));
    return found.ok() ? this->ObserveEntry(found->front())["live"] : Json();
  }
  const auto found = this->Find(subject);
  if (!found.ok() || found->empty()) {
    return nullptr;
  }
  return found->front()->role == Role::kEntry
             ? this->ObserveEntry(found->front())
             : this->ObserveUpstreams(*found);
}

Json RealFleet::ObserveEntry(Member* member) {
  Json observed = {{"running", member->process->Running()}};
  if (member->process->ExitCode()) {
    observed["exit_code"] = *member->process->ExitCode();
  }
  const Json status = this->Get(*member, "/v1/status");
  observed["answers"] = status.is_object();
  observed["ready"] = status.is_object() && status.value("ready", false);
  Json live = Json::object();
  for (const Member& other : this->members) {
    if (other.role == Role::kEntry) {
      live[other.name] = false;
    }
  }
  if (status.is_object()) {
    const auto version = status.value("fleet_version", std::uint64_t{0});
    observed["version"] = version;
    observed["draining"] = status.value("draining", false);
    for (const Json& host : status.value("live_hosts", Json::array())) {
      live[host.get<std::string>()] = true;
    }
    std::uint64_t& newest = this->newest_versions[member->name];
    if (observed["ready"] == true && version < newest) {
      this->reverted_hosts.push_back(member->name);
    }
    newest = std::max(newest, version);
  }
  observed["live"] = live;
  return observed;
}

Json RealFleet::ObserveEntries() {
  std::set<std::uint64_t> versions;
  bool all_ready = true;
  for (Member& member : this->members) {
    if (member.role == Role::kEntry) {
      const Json observed = this->ObserveEntry(&member);
      all_ready = all_ready && observed["ready"] == true;
      versions.insert(observed.value("version", std::uint64_t{0}));
    }
  }
  return {{"all_ready", all_ready},
          {"uniform", all_ready && versions.size() == 1},
          {"version", versions.empty() ? 0 : *versions.rbegin()}};
}

/// Stores the records of an upstream, which are lost when the process ends.
void RealFleet::StoreRecord(const Member& member) {
  const bool service = member.role == Role::kService;
  if (!service && member.role != Role::kEngine) {
    return;
  }
  const Json record =
      this->Get(member, service ? "/control/executions" : "/control/record");
  const char* list = service ? "executions" : "started";
  if (!record.is_object()) {
    return;
  }
  Json& all = this->stored_records[member.name];
  for (const Json& row : record.value(list, Json::array())) {
    all.push_back(row);
  }
}

Json RealFleet::ObserveUpstreams(const std::vector<Member*>& members) {
  std::uint64_t received = 0;
  std::uint64_t at_version_2 = 0;
  std::uint64_t running = 0;
  for (Member* member : members) {
    const bool service = member->role == Role::kService;
    const Json record =
        this->Get(*member, service ? "/control/executions" : "/control/record");
    if (record.is_object()) {
      const Json list =
          record.value(service ? "executions" : "started", Json::array());
      received += list.size();
    }
    received += this->stored_records[member->name].size();
    const Json load = this->Get(*member, "/v1/load");
    if (load.is_object()) {
      at_version_2 += load.value("version", "") == "2" ? 1 : 0;
      running += load.value("running", std::uint64_t{0});
    }
  }
  return {{"received", received},
          {"running", running},
          {"at_version_2", at_version_2}};
}

Json RealFleet::ObserveApplied() const {
  Json observed = Json::object();
  for (const auto& [name, applier] : this->appliers) {
    const auto result = applier->Result();
    const std::string key = absl::StrCat("at-base-", applier->BaseVersion());
    const bool applied = result && result->outcome == ApplyOutcome::kApplied;
    observed[key] = observed.value(key, 0) + (applied ? 1 : 0);
  }
  return observed;
}

Json RealFleet::ObserveGuarantees() {
  GuaranteeEvidence evidence;
  for (const Member& member : this->members) {
    const bool service = member.role == Role::kService;
    if (!service && member.role != Role::kEngine) {
      continue;
    }
    Json rows = this->stored_records[member.name];
    const Json record =
        this->Get(member, service ? "/control/executions" : "/control/record");
    if (record.is_object()) {
      const char* list = service ? "executions" : "started";
      for (const Json& row : record.value(list, Json::array())) {
        rows.push_back(row);
      }
    }
    Json& target = service ? evidence.executions : evidence.generations;
    for (const Json& row : rows) {
      target.push_back(row);
    }
  }
  for (const auto& [name, caller] : this->callers) {
    evidence.calls.push_back({this->calls.at(name), caller->View()});
  }
  for (const auto& [name, applier] : this->appliers) {
    const auto result = applier->Result();
    if (result && result->outcome == ApplyOutcome::kApplied) {
      evidence.applied_bases.push_back(applier->BaseVersion());
    }
  }
  evidence.reverted_hosts = this->reverted_hosts;
  const std::vector<std::string> violations = FindViolations(evidence);
  return {{"broken", violations.size()}, {"which", violations}};
}

}  // namespace limpetlink::scenario
