#include "entry/detail/worker_reports.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"

namespace limpetlink {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxReportBytes = 65536;
constexpr std::int64_t kBytesPerReport =
    500;  // request and answer with their headers
constexpr std::int64_t kReportBytesPerSecond =
    600;  // of the host's 2 KB/s for control
constexpr Duration kShortestInterval = std::chrono::milliseconds(500);
constexpr Duration kReportTimeout = std::chrono::seconds(2);

std::uint64_t Whole(const json& report, const char* name) {
  const auto member = report.find(name);
  const bool usable = member != report.end() && member->is_number() &&
                      member->get<double>() >= 0;
  return usable ? member->get<std::uint64_t>() : 0;
}

}  // namespace

absl::StatusOr<WorkerReport> ParseWorkerReport(const UpstreamId& worker,
                                               std::string_view text) {
  const json parsed = json::parse(text, nullptr, false);
  if (!parsed.is_object()) {
    return MakeStatus(ErrorCode::kUpstreamMalformed,
                      "a load report must be a JSON object");
  }
  WorkerReport report;
  report.worker = worker;
  report.memory_tokens = Whole(parsed, "memory_tokens");
  report.memory_tokens_used = Whole(parsed, "memory_tokens_used");
  report.running = static_cast<std::uint32_t>(Whole(parsed, "running"));
  report.waiting = static_cast<std::uint32_t>(Whole(parsed, "waiting"));
  report.preemptions = Whole(parsed, "preemptions");
  const auto step = parsed.find("step_ms");
  if (step != parsed.end() && step->is_number()) {
    report.step_time = FromSeconds(step->get<double>() / 1000.0);
  }
  const auto draining = parsed.find("draining");
  report.draining = draining != parsed.end() && draining->is_boolean() &&
                    draining->get<bool>();
  return report;
}

WorkerReports::WorkerReports(HostContext& shared, DrainHook on_drain,
                             SettledHook settled)
    : shared(shared),
      on_drain(std::move(on_drain)),
      settled(std::move(settled)) {}

void WorkerReports::Refresh() {
  this->refresh_due = !this->settled();
  if (this->refresh_due) {
    return;
  }
  std::map<UpstreamId, Poll> kept;
  for (const UpstreamId& worker : this->shared.dispatcher.OwnedWorkers()) {
    const Upstream* upstream = this->shared.FindUpstream(worker);
    if (upstream == nullptr) {
      continue;
    }
    const auto before = this->polls.find(worker);
    Poll poll;
    poll.due = this->shared.now;
    if (before != this->polls.end()) {
      poll = before->second;
      this->polls.erase(before);
    }
    poll.url = upstream->url;
    kept.emplace(worker, std::move(poll));
  }
  for (const auto& [worker, poll] : this->polls) {
    this->shared.CancelHttp(poll.call);
  }
  this->polls = std::move(kept);
  const Instant latest = this->shared.now + this->Interval();
  for (auto& [worker, poll] : this->polls) {
    const bool asked = poll.call.value != 0;
    poll.due = asked ? kNever : std::min(poll.due, latest);
  }
}

Duration WorkerReports::Interval() const {
  const auto count = static_cast<std::int64_t>(this->polls.size());
  const Duration bounded = std::chrono::seconds(1) * (count * kBytesPerReport) /
                           kReportBytesPerSecond;
  return std::max(kShortestInterval, bounded);
}

void WorkerReports::OnHead(const UpstreamId& worker, const HttpHead& head) {
  const auto poll = this->polls.find(worker);
  if (poll != this->polls.end()) {
    poll->second.status = head.status;
  }
}

void WorkerReports::OnChunk(const UpstreamId& worker, const HttpChunk& chunk) {
  const auto poll = this->polls.find(worker);
  if (poll != this->polls.end() &&
      poll->second.answer.size() + chunk.bytes.size() <= kMaxReportBytes) {
    poll->second.answer += chunk.bytes;
  }
}

void WorkerReports::OnDone(const UpstreamId& worker, const HttpDone& done) {
  this->shared.calls.Close(done.id);
  const auto found = this->polls.find(worker);
  if (found == this->polls.end()) {
    return;
  }
  Poll& poll = found->second;
  poll.call = CallId{};
  poll.due = this->shared.now + this->Interval();
  constexpr int kOk = 200;
  if (done.end == HttpEnd::kComplete && poll.status == kOk) {
    this->Read(worker, poll);
  }
}

void WorkerReports::Read(const UpstreamId& worker, const Poll& poll) {
  const absl::StatusOr<WorkerReport> report =
      ParseWorkerReport(worker, poll.answer);
  if (!report.ok()) {
    this->shared.metrics.Add(Counter::kMalformedInput);
    return;
  }
  this->on_drain(worker, report->draining);
  this->shared.Dispatch(*report);
}

void WorkerReports::Tick() {
  if (this->refresh_due) {
    this->Refresh();
  }
  for (auto& [worker, poll] : this->polls) {
    if (poll.due > this->shared.now || poll.call.value != 0) {
      continue;
    }
    HttpCall call;
    call.method = "GET";
    call.url = absl::StrCat(poll.url, "/v1/load");
    call.total_timeout = kReportTimeout;
    poll.status = 0;
    poll.answer.clear();
    poll.due = kNever;
    poll.call = this->shared.StartHttp({CallPurpose::kWorkerReport, {}, worker},
                                       std::move(call));
  }
}

Instant WorkerReports::NextWakeup() const {
  Instant earliest = kNever;
  for (const auto& [worker, poll] : this->polls) {
    earliest = std::min(earliest, poll.due);
  }
  return earliest;
}

}  // namespace limpetlink
