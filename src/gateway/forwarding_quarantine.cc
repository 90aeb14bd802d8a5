#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "gateway/detail/forwarding.h"

namespace limpetlink {
namespace {

// An engine that ends within this time of a response head, or before the first
// event, may have ended because of that request.
constexpr Duration kFirstOutput = std::chrono::milliseconds(500);
constexpr Duration kCrashCheckTimeout = std::chrono::milliseconds(1000);
// The first call may use a connection that the crash has cut as well.
constexpr std::uint32_t kMaxCrashChecks = 3;

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
    const std::string text = absl::StrJoin(
        {flow.request.method, flow.request.target, caller, flow.request.body},
        "\n");
    flow.identity =
        kIdentityPrefix + Sha256Hex(text).substr(0, kIdentityDigits);
  }
  return flow.identity;
}

std::optional<Problem> Forwarding::CheckQuarantine(
    Instant now, const ForwardedRequest& flow) const {
  const std::optional<std::string> part =
      this->quarantine->Find(now, flow.metadata.shared_parts);
  if (!part.has_value()) {
    return std::nullopt;
  }
  // Without Retry-After: the same request would be refused again.
  return Problem{
      ErrorCode::kRequestQuarantined, Outcome::kNotRun,
      absl::StrCat("engines ended while they answered prompt part ", *part),
      std::nullopt};
}

void Forwarding::NoteSoundRun(Instant now, const ForwardedRequest& flow,
                              const Attempt& attempt, bool completed) {
  if (!this->quarantine->HasSuspects() || !flow.on_engine ||
      !attempt.head_at.has_value() || !IsSuccess(attempt.status)) {
    return;
  }
  const bool went_on = completed || (attempt.has_events &&
                                     now - *attempt.head_at >= kFirstOutput);
  if (!went_on) {
    return;
  }
  bool changed = false;
  for (const std::string& part : flow.metadata.shared_parts) {
    if (this->quarantine->RecordSound(now, part)) {
      changed = true;
      this->Log(LogLevel::kInfo, "prompt part sound",
                {{"request", flow.metadata.request_id},
                 {"worker", attempt.worker.value},
                 {"part", part}});
    }
  }
  if (changed) {
    this->hooks.evidence_changed(now);
  }
}

void Forwarding::CheckForCrash(Instant now, const ForwardedRequest& flow,
                               const Attempt& attempt, AttemptEnd end) {
  const bool suspect =
      end == AttemptEnd::kCut && flow.on_engine && !attempt.resumed &&
      attempt.head_at.has_value() && IsSuccess(attempt.status) &&
      (!attempt.has_events || now - *attempt.head_at < kFirstOutput);
  if (!suspect || flow.metadata.shared_parts.empty()) {
    return;
  }
  const WorkerRegistration* worker = this->directory->Find(attempt.worker);
  if (worker == nullptr || worker->leaving) {
    return;  // its end was announced
  }
  SuspectRequest request{flow.metadata.request_id, {}, 0};
  for (const std::string& part : flow.metadata.shared_parts) {
    request.parts.push_back(
        {part, static_cast<std::uint32_t>(request.parts.size())});
  }
  HttpCall call = this->MakeReportCall(*worker);
  call.total_timeout = kCrashCheckTimeout;
  this->reports[call.id.value] = {
      *worker, ReportPurpose::kCrashCheck, now, std::move(request), 0, {}};
  this->allowances.RecordSend(now, worker->id);
  this->actions.emplace_back(std::move(call));
}

void Forwarding::HandleCrashCheck(Instant now, ReportCall call, HttpEnd end) {
  if (end == HttpEnd::kCut && call.status == 0 &&
      ++call.suspect.checks < kMaxCrashChecks) {
    HttpCall again = this->MakeReportCall(call.worker);
    again.total_timeout = kCrashCheckTimeout;
    this->allowances.RecordSend(now, call.worker.id);
    this->reports[again.id.value] = std::move(call);
    this->actions.emplace_back(std::move(again));
    return;
  }
  bool ended = end == HttpEnd::kNotConnected;
  if (end == HttpEnd::kComplete) {
    const absl::StatusOr<EngineReport> report = this->codec.report(call.body);
    ended = report.ok() && report->started_at.has_value() &&
            *report->started_at != call.worker.started_at;
  }
  std::vector<std::string> parts;
  for (const SuspectInput& part : call.suspect.parts) {
    parts.push_back(part.id);
  }
  this->Log(LogLevel::kWarning,
            ended ? "engine ended in the first output of a request"
                  : "stream cut by a live engine",
            {{"worker", call.worker.id.value},
             {"request", call.suspect.request_id},
             {"shared_parts", absl::StrJoin(parts, ",")},
             {"check", std::string(ToText(end))},
             {"check_status", std::to_string(call.status)},
             {"noticed_ms_ago", MillisecondsText(now - call.noticed_at)}});
  if (!ended) {
    return;
  }
  this->metrics->Add(Counter::kEngineCrashes);
  const bool is_new = this->quarantine->RecordCrash(
      now, {call.worker.id, call.worker.started_at, now - call.noticed_at,
            std::move(call.suspect.parts)});
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
                  "withdrawn from its engine: a part of the prompt is "
                  "quarantined",
                  std::nullopt});
  }
}

}  // namespace limpetlink
