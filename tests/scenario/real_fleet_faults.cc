#include <algorithm>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "tests/scenario/real_fleet.h"

namespace limpetlink::scenario {
namespace {

using Json = nlohmann::json;

absl::Status UnsupportedFault(const FaultStep& step, const std::string& name) {
  const std::string_view verb = ToText(step.verb);
  return absl::InvalidArgumentError(
      absl::StrCat(name, " does not support fault ",
                   absl::string_view(verb.data(), verb.size())));
}

/// Returns the body for /control/faults of the platform, or null if the fault
/// is not supported.
Json PlatformFault(const FaultStep& step) {
  switch (step.verb) {
    case FaultVerb::kStall:
      return {{"outage", "hang"}};
    case FaultVerb::kRefuse:
    case FaultVerb::kOutage:
      return {{"outage", "refuse"}};
    case FaultVerb::kSlow:
      return {{"delay_ms", step.delay_ms}};
    case FaultVerb::kLoseResponse:
      return {{"lose_answers", step.count}};
    case FaultVerb::kClearFaults:
      return {{"outage", "none"}, {"delay_ms", 0}, {"lose_answers", 0}};
    default:
      return nullptr;
  }
}

Json ServiceFault(const FaultStep& step) {
  switch (step.verb) {
    case FaultVerb::kCut:
      return {{"fault", "cut_before"}, {"times", step.count}};
    case FaultVerb::kLoseResponse:
      return {{"fault", "cut_after"}, {"times", step.count}};
    case FaultVerb::kStall:
      return {{"fault", "hang"}};
    case FaultVerb::kRefuse:
    case FaultVerb::kOutage:
      return {{"fault", "refuse"}};
    case FaultVerb::kSlow:
      return {{"delay_ms", step.delay_ms}};
    case FaultVerb::kReclaim:
      return {{"draining", true}};
    case FaultVerb::kClearFaults:
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
      return {{"step_ms", step.delay_ms}};
    case FaultVerb::kReclaim:
      return {{"draining", true}};
    case FaultVerb::kClearFaults:
      return {{"stall", false},
              {"refuse", false},
              {"draining", false},
              {"cut_after", 0}};
    case FaultVerb::kLoseResponse:
      break;
  }
  return nullptr;
}

Json FaultRequest(const Member& member, const FaultStep& step) {
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

bool IsInGroup(const Member& member, const std::string& group) {
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

absl::Status RealFleet::ApplyFaultStep(const FaultStep& step) {
  const auto found = this->Find(step.subject);
  if (!found.ok()) {
    return found.status();
  }
  for (Member* member : *found) {
    const Json body = FaultRequest(*member, step);
    if (body.is_null()) {
      return UnsupportedFault(step, member->name);
    }
    const bool accepted = this->Post(*member, "/control/faults", body);
    if (!accepted && member->process->Running()) {
      return absl::UnavailableError(member->name + " rejected the fault");
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
    if (member.name == subject || IsInGroup(member, subject)) {
      found.push_back(&member);
    }
  }
  if (found.empty() && !is_group) {
    return absl::NotFoundError("unknown subject: " + subject);
  }
  return found;
}

/// Returns the first engine with a running generation, or else the first
/// engine.
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
  const HttpResponse response = ExchangeOverCurl(call);
  const Json body = Json::parse(response.body, nullptr, false);
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
  const HttpResponse response = ExchangeOverCurl(call);
  return response.end == HttpEnd::kComplete && response.status == 200;
}

}  // namespace limpetlink::scenario
