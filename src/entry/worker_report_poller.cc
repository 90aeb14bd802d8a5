#include "entry/detail/worker_report_poller.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "decoding/decoding.h"

namespace limpetlink {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxReportBytes = 65536;
constexpr std::int64_t kBytesPerPoll =
    500;  // request and response with their headers
constexpr std::int64_t kPollBytesPerSecond =
    600;  // of the 2 KB/s that a host may use for control traffic
constexpr Duration kMinInterval = std::chrono::milliseconds(500);
constexpr Duration kReportTimeout = std::chrono::seconds(2);

std::uint64_t ReadUnsigned(const json& report, const char* name) {
  const auto member = report.find(name);
  const bool usable = member != report.end() && member->is_number() &&
                      member->get<double>() >= 0;
  return usable ? member->get<std::uint64_t>() : 0;
}

}  // namespace

absl::StatusOr<WorkerReport> ParseWorkerReport(const UpstreamId& worker,
                                               std::string_view text) {
  const json parsed = DecodeJsonOrDiscard(text);
  if (!parsed.is_object()) {
    return MakeStatus(ErrorCode::kUpstreamMalformed,
                      "a load report must be a JSON object");
  }
  WorkerReport report;
  report.worker = worker;
  report.memory_tokens = ReadUnsigned(parsed, "memory_tokens");
  report.memory_tokens_used = ReadUnsigned(parsed, "memory_tokens_used");
  report.running = static_cast<std::uint32_t>(ReadUnsigned(parsed, "running"));
  report.waiting = static_cast<std::uint32_t>(ReadUnsigned(parsed, "waiting"));
  report.preemptions = ReadUnsigned(parsed, "preemptions");
  const auto step = parsed.find("step_ms");
  if (step != parsed.end() && step->is_number()) {
    report.step_time = FromSeconds(step->get<double>() / 1000.0);
  }
  const auto draining = parsed.find("draining");
  report.draining = draining != parsed.end() && draining->is_boolean() &&
                    draining->get<bool>();
  return report;
}

WorkerReportPoller::WorkerReportPoller(HostContext& shared,
                                       DrainingHook on_draining,
                                       MembershipCurrentHook membership_current)
    : shared(shared),
      on_draining(std::move(on_draining)),
      membership_current(std::move(membership_current)) {}

void WorkerReportPoller::Refresh() {
  this->refresh_pending = !this->membership_current();
  if (this->refresh_pending) {
    return;
  }
  std::map<UpstreamId, Poll> refreshed;
  for (const UpstreamId& worker : this->shared.dispatcher.OwnedWorkers()) {
    const Upstream* upstream = this->shared.FindUpstream(worker);
    if (upstream == nullptr) {
      continue;
    }
    const auto previous = this->polls.find(worker);
    Poll poll;
    poll.due = this->shared.now;
    if (previous != this->polls.end()) {
      poll = previous->second;
      this->polls.erase(previous);
    }
    poll.url = upstream->url;
    refreshed.emplace(worker, std::move(poll));
  }
  for (const auto& [worker, poll] : this->polls) {
    this->shared.CancelHttp(poll.call);
  }
  this->polls = std::move(refreshed);
  const Instant latest = this->shared.now + this->PollInterval();
  for (auto& [worker, poll] : this->polls) {
    const bool in_flight = poll.call.value != 0;
    poll.due = in_flight ? kNever : std::min(poll.due, latest);
  }
}

Duration WorkerReportPoller::PollInterval() const {
  const auto count = static_cast<std::int64_t>(this->polls.size());
  const Duration rate_limited =
      std::chrono::seconds(1) * (count * kBytesPerPoll) / kPollBytesPerSecond;
  return std::max(kMinInterval, rate_limited);
}

void WorkerReportPoller::OnHead(const UpstreamId& worker,
                                const HttpHead& head) {
  const auto poll = this->polls.find(worker);
  if (poll != this->polls.end()) {
    poll->second.status = head.status;
  }
}

void WorkerReportPoller::OnChunk(const UpstreamId& worker,
                                 const HttpChunk& chunk) {
  const auto poll = this->polls.find(worker);
  if (poll != this->polls.end() &&
      poll->second.response_body.size() + chunk.bytes.size() <=
          kMaxReportBytes) {
    poll->second.response_body += chunk.bytes;
  }
}

void WorkerReportPoller::OnDone(const UpstreamId& worker,
                                const HttpDone& done) {
  this->shared.calls.Close(done.id);
  const auto found = this->polls.find(worker);
  if (found == this->polls.end()) {
    return;
  }
  Poll& poll = found->second;
  poll.call = CallId{};
  poll.due = this->shared.now + this->PollInterval();
  constexpr int kOk = 200;
  if (done.end == HttpEnd::kComplete && poll.status == kOk) {
    this->HandleReport(worker, poll);
  }
}

void WorkerReportPoller::HandleReport(const UpstreamId& worker,
                                      const Poll& poll) {
  const absl::StatusOr<WorkerReport> report =
      ParseWorkerReport(worker, poll.response_body);
  if (!report.ok()) {
    this->shared.metrics.Add(Counter::kMalformedInput);
    return;
  }
  this->on_draining(worker, report->draining);
  this->shared.Dispatch(*report);
}

void WorkerReportPoller::Tick() {
  if (this->refresh_pending) {
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
    poll.response_body.clear();
    poll.due = kNever;
    poll.call = this->shared.StartHttp({CallPurpose::kWorkerReport, {}, worker},
                                       std::move(call));
  }
}

Instant WorkerReportPoller::NextWakeup() const {
  Instant earliest = kNever;
  for (const auto& [worker, poll] : this->polls) {
    earliest = std::min(earliest, poll.due);
  }
  return earliest;
}

}  // namespace limpetlink
