#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "gateway/detail/forwarding.h"

namespace limpetlink {
namespace {

// An engine that ends within this time of a response head, or before the first
// event, may have ended because of that prompt.
constexpr Duration kFirstOutput = std::chrono::milliseconds(500);
constexpr Duration kCrashCheckTimeout = std::chrono::milliseconds(1000);
// The first call may use a connection that the crash has cut as well.
constexpr std::uint32_t kMaxCrashChecks = 4;

constexpr const char* kIdentityPrefix = "request-";
constexpr std::size_t kIdentityDigits = 16;

bool IsSuccess(int status) { return status >= 200 && status < 300; }

}  // namespace

const std::string& RequestIdentity(const ForwardedRequest& flow) {
  if (flow.identity.empty()) {
    const std::string caller =
        flow.holder != nullptr
            ? "organisation " + flow.holder->organisation.value
            : "key " + flow.metadata.key.value_or("");
    // The body alone need not tell prompts apart.
    const std::string prompt = absl::StrJoin(flow.metadata.shared_parts, ",");
    const CallerRequest& request = flow.request;
    flow.identity =
        absl::StrCat(kIdentityPrefix,
                     Sha256Hex(absl::StrJoin({request.method, request.target,
                                              caller, prompt, request.body},
                                             "\n"))
                         .substr(0, kIdentityDigits));
  }
  return flow.identity;
}

std::optional<Problem> Forwarding::CheckQuarantine(
    Instant now, const ForwardedRequest& flow) const {
  if (!this->quarantine->HasSuspects()) {
    return std::nullopt;
  }
  // Without Retry-After: the same request would be refused again.
  Problem problem{ErrorCode::kRequestQuarantined, Outcome::kNotRun, "",
                  std::nullopt};
  if (const std::optional<std::string> part =
          this->quarantine->Find(now, flow.metadata.shared_parts)) {
    problem.detail =
        absl::StrCat("engines ended while they answered prompt part ", *part);
    return problem;
  }
  if (const std::optional<std::string> request =
          this->quarantine->Find(now, {RequestIdentity(flow)})) {
    problem.detail = absl::StrCat(
        "workers ended while they ran this request before, as ", *request);
    return problem;
  }
  return std::nullopt;
}

void Forwarding::NoteSoundRun(Instant now, const ForwardedRequest& flow,
                              const Attempt& attempt, bool completed) {
  if (!this->quarantine->HasSuspects() || !attempt.head_at.has_value() ||
      PromisesNotRun(attempt.status)) {
    return;
  }
  const bool continued = completed || (flow.on_engine && attempt.has_events &&
                                       now - *attempt.head_at >= kFirstOutput);
  if (!continued) {
    return;
  }
  std::vector<std::string> inputs = {RequestIdentity(flow)};
  if (flow.on_engine && IsSuccess(attempt.status)) {
    inputs.insert(inputs.end(), flow.metadata.shared_parts.begin(),
                  flow.metadata.shared_parts.end());
  }
  bool changed = false;
  for (const std::string& input : inputs) {
    if (this->quarantine->RecordSound(now, input)) {
      changed = true;
      this->Log(LogLevel::kInfo, "input sound",
                {{"request", flow.metadata.request_id},
                 {"worker", attempt.worker.value},
                 {"input", input}});
    }
  }
  if (changed) {
    this->hooks.evidence_changed(now);
  }
}

void Forwarding::CheckForCrash(Instant now, ForwardedRequest* flow,
                               const Attempt& attempt, AttemptEnd end) {
  if (end != AttemptEnd::kCut || attempt.resumed) {
    return;
  }
  const bool in_first_output =
      flow->on_engine && attempt.head_at.has_value() &&
      IsSuccess(attempt.status) &&
      (!attempt.has_events || now - *attempt.head_at < kFirstOutput);
  const bool in_progress = !flow->on_engine || attempt.status == 0;
  const WorkerRegistration* worker = this->directory->Find(attempt.worker);
  const bool announced = worker == nullptr || worker->leaving;
  if (announced || !(in_first_output || in_progress)) {
    return;
  }
  SuspectRequest request{flow->metadata.request_id, {}, flow->cut_by, 0};
  if (in_first_output) {
    for (const std::string& part : flow->metadata.shared_parts) {
      request.inputs.push_back(
          {part, static_cast<std::uint32_t>(request.inputs.size()), 0});
    }
  }
  request.inputs.push_back(
      {RequestIdentity(*flow), kRequestDepth, attempt.prior_crashes});
  flow->cut_by.emplace_back(worker->id, worker->started_at);
  this->SendCrashCheck(
      now,
      {*worker, ReportPurpose::kCrashCheck, now, std::move(request), 0, {}});
}

void Forwarding::SendCrashCheck(Instant now, ReportCall check) {
  if (!this->allowances.MaySendCommand(now, check.worker.id)) {
    this->Log(LogLevel::kInfo, "worker not asked in its pause",
              {{"worker", check.worker.id.value},
               {"request", check.suspect.request_id}});
    return;
  }
  HttpCall call = this->MakeReportCall();
  call.total_timeout = kCrashCheckTimeout;
  const WorkerRegistration worker = check.worker;
  this->reports[call.id.value] = std::move(check);
  this->SendCommand(now, worker.id, worker.address, std::move(call));
}

void Forwarding::HandleCrashCheck(Instant now, ReportCall call,
                                  const WorkerCallEnd& end) {
  const bool not_connected = end.end == HttpEnd::kNotConnected;
  // This host may be the one that is cut off: another one asks the worker.
  const bool may_be_alive =
      not_connected &&
      (end.refused_by_relay ||
       (!end.relay.has_value() &&
        this->paths->HasRelay(now, call.worker, PathRequirements{})));
  const bool undecided =
      may_be_alive || (end.end == HttpEnd::kCut && call.status == 0);
  if (undecided && ++call.suspect.checks < kMaxCrashChecks) {
    this->SendCrashCheck(now, std::move(call));
    return;
  }
  bool ended =
      not_connected && !may_be_alive &&
      (end.relay.has_value() || !this->paths->Reachability().IsCutOff());
  if (end.end == HttpEnd::kComplete) {
    const absl::StatusOr<EngineReport> report = this->codec.report(call.body);
    ended = report.ok() && report->started_at.has_value() &&
            *report->started_at != call.worker.started_at;
  }
  std::vector<std::string> ids;
  for (SuspectInput& input : call.suspect.inputs) {
    ids.push_back(input.id);
    if (input.depth != kRequestDepth) {
      continue;
    }
    const auto crashes_before = std::count_if(
        call.suspect.cut_before.begin(), call.suspect.cut_before.end(),
        [&](const auto& each) {
          return this->quarantine->HasCrash(each.first, each.second, input.id);
        });
    input.prior =
        std::max(input.prior, static_cast<std::uint32_t>(crashes_before));
  }
  this->Log(LogLevel::kWarning,
            ended ? "worker ended during a request"
                  : "connection cut by a live worker",
            {{"worker", call.worker.id.value},
             {"request", call.suspect.request_id},
             {"inputs", absl::StrJoin(ids, ",")},
             {"check", std::string(ToText(end.end))},
             {"relay", end.relay ? end.relay->value : "none"},
             {"check_status", std::to_string(call.status)},
             {"noticed_ms_ago", MillisecondsText(now - call.noticed_at)}});
  if (!ended) {
    return;
  }
  this->metrics->Add(Counter::kWorkerCrashes);
  const bool is_new = this->quarantine->RecordCrash(
      now, {call.worker.id, call.worker.started_at, now - call.noticed_at,
            std::move(call.suspect.inputs)});
  if (is_new) {
    this->hooks.evidence_changed(now);
  }
}

void Forwarding::OnQuarantineChanged(Instant now) {
  std::vector<std::uint64_t> affected;
  for (const auto& [id, flow] : this->flows) {
    const bool waits =
        !flow.running.empty() && !flow.delivering &&
        std::all_of(flow.running.begin(), flow.running.end(),
                    [](const Attempt& attempt) { return attempt.status == 0; });
    if (waits && this->CheckQuarantine(now, flow).has_value()) {
      affected.push_back(id);
    }
  }
  for (const std::uint64_t id : affected) {
    this->Refuse(now, id,
                 {ErrorCode::kUpstreamCut, Outcome::kUnknown,
                  "withdrawn from its worker: the request or a part of its "
                  "prompt is quarantined",
                  std::nullopt});
  }
}

}  // namespace limpetlink
