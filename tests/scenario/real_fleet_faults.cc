#include <algorithm>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "tests/scenario/real_fleet.h"

namespace limpetlink::scenario {
namespace {

using Json = nlohmann::json;

absl::Status Unfit(const FaultStep& step, const std::string& name) {
  const std::string_view verb = ToText(step.verb);
  return absl::InvalidArgumentError(absl::StrCat(
      name, " has no fault ", absl::string_view(verb.data(), verb.size())));
}

/// The body for a stand-in's /control/faults, or null when it has no such
/// fault.
Json PlatformFault(const FaultStep& step) {
  switch (step.verb) {
    case FaultVerb::kStall:
      return {{"outage", "hang"}};
    case FaultVerb::kRefuse:
    case FaultVerb::kOutage:
      return {{"outage", "refuse"}};
    case FaultVerb::kSlow:
      return {{"delay_ms", step.ms}};
    case FaultVerb::kLoseAnswer:
      return {{"lose_answers", step.count}};
    case FaultVerb::kMend:
      return {{"outage", "none"}, {"delay_ms", 0}, {"lose_answers", 0}};
    default:
      return nullptr;
  }
}

Json ServiceFault(const FaultStep& step) {
  switch (step.verb) {
    case FaultVerb::kCut:
      return {{"fault", "cut_before"}, {"times", step.count}};
    case FaultVerb::kLoseAnswer:
      return {{"fault", "cut_after"}, {"times", step.count}};
    case FaultVerb::kStall:
      return {{"fault", "hang"}};
    case FaultVerb::kRefuse:
    case FaultVerb::kOutage:
      return {{"fault", "refuse"}};
    case FaultVerb::kSlow:
      return {{"delay_ms", step.ms}};
    case FaultVerb::kReclaim:
      return {{"draining", true}};
    case FaultVerb::kMend:
      return {{"fault", "none"}, {"delay_ms", 0}, {"draining", false}};
  }
  return nullptr;
}

Json EngineFault(const FaultStep& step) {
  switch (step.verb) {
    case FaultVerb::kCut:
      return {{"cut_after", 1}};
    case FaultVerb::kStall:
      return {{"stall", true}};
    case FaultVerb::kRefuse:
    case FaultVerb::kOutage:
      return {{"refuse", true}};
    case FaultVerb::kSlow:
      return {{"step_ms", step.ms}};
    case FaultVerb::kReclaim:
      return {{"draining", true}};
    case FaultVerb::kMend:
      return {{"stall", false},
              {"refuse", false},
              {"draining", false},
              {"cut_after", 0}};
    case FaultVerb::kLoseAnswer:
      break;
  }
  return nullptr;
}

Json FaultOf(const Member& member, const FaultStep& step) {
  switch (member.role) {
    case Role::kPlatform:
      return PlatformFault(step);
    case Role::kService:
      return ServiceFault(step);
    case Role::kEngine:
      return EngineFault(step);
    case Role::kEntry:
      break;
  }
  return nullptr;
}

bool InGroup(const Member& member, const std::string& group) {
  switch (member.role) {
    case Role::kEngine:
      return group == "engines" || group == "upstreams" || group == "all";
    case Role::kService:
      return group == "services" || group == "upstreams" || group == "all";
    case Role::kEntry:
      return group == "entries" || group == "all";
    case Role::kPlatform:
      break;
  }
  return group == "all";
}

}  // namespace

absl::Status RealFleet::OnFault(const FaultStep& step) {
  const auto found = this->Find(step.subject);
  if (!found.ok()) {
    return found.status();
  }
  for (Member* member : *found) {
    const Json body = FaultOf(*member, step);
    if (body.is_null()) {
      return Unfit(step, member->name);
    }
    const bool told = this->Post(*member, "/control/faults", body);
    if (!told && member->process->Running()) {
      return absl::UnavailableError(member->name + " takes no fault");
    }
  }
  return absl::OkStatus();
}

absl::StatusOr<std::vector<Member*>> RealFleet::Find(
    const std::string& subject) {
  std::vector<Member*> found;
  if (subject == "busy-engine") {
    found.push_back(this->BusyEngine());
    return found;
  }
  bool is_group = false;
  for (const char* group :
       {"all", "engines", "services", "upstreams", "entries"}) {
    is_group = is_group || subject == group;
  }
  for (Member& member : this->members) {
    if (member.name == subject || InGroup(member, subject)) {
      found.push_back(&member);
    }
  }
  if (found.empty() && !is_group) {
    return absl::NotFoundError("there is no " + subject);
  }
  return found;
}

/// The engine with a generation that is not done; else the first one.
Member* RealFleet::BusyEngine() {
  Member* first = nullptr;
  for (Member& member : this->members) {
    if (member.role != Role::kEngine) {
      continue;
    }
    first = first == nullptr ? &member : first;
    const Json load = this->Get(member, "/v1/load");
    if (load.is_object() && load.value("running", 0) > 0) {
      return &member;
    }
  }
  return first;
}

Json RealFleet::Get(const Member& member, const std::string& path) const {
  HttpCall call;
  call.id = CallId{1};
  call.method = "GET";
  call.url = "http://" + member.Address() + path;
  call.total_timeout = std::chrono::seconds(1);
  const HttpResponse answer = ExchangeOverCurl(call);
  const Json body = Json::parse(answer.body, nullptr, false);
  return body.is_discarded() ? Json() : body;
}

bool RealFleet::Post(const Member& member, const std::string& path,
                     const Json& body) const {
  HttpCall call;
  call.id = CallId{1};
  call.method = "POST";
  call.url = "http://" + member.Address() + path;
  call.body = body.dump();
  call.total_timeout = std::chrono::seconds(2);
  const HttpResponse answer = ExchangeOverCurl(call);
  return answer.end == HttpEnd::kComplete && answer.status == 200;
}

}  // namespace limpetlink::scenario
