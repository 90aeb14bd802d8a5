#include <algorithm>

#include "absl/strings/str_cat.h"
#include "gateway/detail/forwarding.h"

namespace limpetlink {
namespace {

// Timeouts of commands to a leaving worker, which has less time than this.
constexpr Duration kCommandTimeout = std::chrono::milliseconds(3000);
constexpr Duration kCommandConnectTimeout = std::chrono::milliseconds(400);
// A report is polled from every engine: an engine that never completes it must
// not occupy a connection or memory for long.
constexpr Duration kReportTimeout = std::chrono::milliseconds(2000);
constexpr std::uint64_t kMaxReport = 256U << 10U;
constexpr std::uint64_t kMaxCommandResponse = 64U << 10U;
// Lag of an engine's report, as the engine documents it.
constexpr Duration kReportLag = std::chrono::milliseconds(500);
// A stream without its first token can't migrate yet; the command is retried.
constexpr Duration kNotStartedDelay = std::chrono::milliseconds(40);
constexpr Duration kBusyDelay = std::chrono::milliseconds(20);
constexpr Duration kNoCapacityDelay = std::chrono::milliseconds(60);
// Commands for one stream, including those that were refused.
constexpr std::uint32_t kMaxTransferAttempts = 200;
// The last events of a stopped stream arrive with the response to the command
// or shortly after it.
constexpr Duration kLastEventsTimeout = std::chrono::milliseconds(25);
// Round trip of the report, from the notice to the first slot of the plan.
constexpr Duration kReportRoundTrip = std::chrono::milliseconds(8);

}  // namespace

void Forwarding::OnLeaving(Instant now, const WorkerRegistration& worker,
                           Instant noticed_at) {
  const auto is_affected = [&worker](const auto& entry) {
    const ForwardedRequest& flow = entry.second;
    return flow.Streaming() && !flow.running.empty() &&
           flow.running.front().worker == worker.id &&
           !flow.migration.has_value();
  };
  const auto first =
      std::find_if(this->flows.begin(), this->flows.end(), is_affected);
  if (first == this->flows.end()) {
    return;
  }
  const ForwardingService* service =
      first->second.table->FindService(worker.service);
  if (service == nullptr || !service->engine.has_value() ||
      !service->engine->supports_migration) {
    return;
  }
  this->RequestReport(now, worker, ReportPurpose::kMigrationPlan, noticed_at);
}

void Forwarding::SendCommand(Instant now, const UpstreamId& worker,
                             const std::string& address, HttpCall call) {
  this->allowances.RecordSend(now, worker);
  const WorkerRegistration* known = this->directory->Find(worker);
  const std::string target = call.url;
  if (known != nullptr && known->address == address) {
    const std::optional<WorkerPath> path =
        this->paths->Choose(now, *known, PathRequirements{});
    this->paths->Begin(*known, path.value_or(WorkerPath{}),
                       WorkerCallKind::kCommand, target, &call);
  } else {
    call.url = "http://" + address + target;  // it left, and still responds
  }
  this->actions.emplace_back(std::move(call));
}

HttpCall Forwarding::MakeReportCall() {
  HttpCall call = this->codec.report_call();
  call.id = this->hooks.next_call_id();
  call.connect_timeout = kCommandConnectTimeout;
  call.total_timeout = kReportTimeout;
  call.max_body = kMaxReport;
  return call;
}

void Forwarding::RequestReport(Instant now, const WorkerRegistration& worker,
                               ReportPurpose purpose, Instant noticed_at) {
  if (!this->allowances.MaySendCommand(now, worker.id)) {
    // The streams that this host knows of are planned without a report.
    this->HandleStreamReport(now, {worker, purpose, noticed_at, {}, 0, {}});
    return;
  }
  HttpCall call = this->MakeReportCall();
  this->reports[call.id.value] = {worker, purpose, noticed_at, {}, 0, {}};
  this->SendCommand(now, worker.id, worker.address, std::move(call));
}

std::size_t Forwarding::RequestLoadReports(Instant now) {
  const std::shared_ptr<const RouteTable> table =
      this->hooks.deployment(now).table;
  std::size_t nearby = 0;
  if (table == nullptr) {
    return nearby;
  }
  // A worker isn't polled again while a call to it is unanswered.
  const auto has_pending_report = [this](const UpstreamId& worker) {
    return std::any_of(
        this->reports.begin(), this->reports.end(),
        [&](const auto& each) { return each.second.worker.id == worker; });
  };
  for (const ForwardingService& service : table->Contents().services) {
    if (!service.engine.has_value()) {
      continue;
    }
    for (const WorkerRegistration* worker :
         this->directory->AvailableWorkers(service.name)) {
      if (this->DistanceTo(worker->domain) != Distance::kSameDomain) {
        continue;
      }
      ++nearby;
      // A limited worker's allowance is for callers' requests.
      if (!has_pending_report(worker->id) &&
          this->paths->Reachability().IsReachable(worker->id) &&
          this->allowances.MaySend(now, worker->id) &&
          !this->allowances.FleetRate(now, worker->id).has_value() &&
          !this->hooks.is_evacuated(worker->domain)) {
        this->RequestReport(now, *worker, ReportPurpose::kLoadPoll, now);
      }
    }
  }
  return nearby;
}

void Forwarding::HandleLoadReport(Instant now, const ReportCall& call) {
  constexpr int kOk = 200;
  if (call.status != kOk) {
    this->Log(LogLevel::kInfo, "load unknown",
              {{"worker", call.worker.id.value},
               {"status", std::to_string(call.status)},
               {"after_ms", MillisecondsText(now - call.noticed_at)}});
    return;
  }
  const absl::StatusOr<EngineReport> report = this->codec.report(call.body);
  if (!report.ok()) {
    this->Log(LogLevel::kWarning, "load report unreadable",
              {{"worker", call.worker.id.value},
               {"reason", DetailOf(report.status())}});
    return;
  }
  if (report->draining) {
    this->hooks.worker_leaving(now, call.worker.id);
    return;
  }
  LoadReport load;
  load.running = report->active;
  load.waiting = report->queued;
  load.memory_tokens = report->memory_in_use;
  load.lag = kReportLag;
  this->loads.ApplyReport(now, call.worker.id, load);
}

bool Forwarding::OnMigrationHead(Instant now, const HttpHead& head) {
  if (const auto report = this->reports.find(head.id.value);
      report != this->reports.end()) {
    report->second.status = head.status;
    const UpstreamId worker = report->second.worker.id;
    const WorkerResponse response = this->codec.worker_response(head.headers);
    this->ApplyWorkerState(now, worker, head.status, response);
    this->ReadLimit(now, worker, report->second.noticed_at, response,
                    LimitSource::kReport);
    return true;
  }
  if (const auto found = this->flow_of_migration.find(head.id.value);
      found != this->flow_of_migration.end()) {
    this->flows.at(found->second).migration->status = head.status;
    return true;
  }
  return this->releases.count(head.id.value) > 0;
}

bool Forwarding::OnMigrationChunk(const HttpChunk& chunk) {
  if (const auto report = this->reports.find(chunk.id.value);
      report != this->reports.end()) {
    report->second.body += chunk.bytes;
    return true;
  }
  if (const auto found = this->flow_of_migration.find(chunk.id.value);
      found != this->flow_of_migration.end()) {
    this->flows.at(found->second).migration->body += chunk.bytes;
    return true;
  }
  return this->releases.count(chunk.id.value) > 0;
}

bool Forwarding::OnMigrationDone(Instant now, CallId id,
                                 const WorkerCallEnd& end) {
  if (const auto report = this->reports.find(id.value);
      report != this->reports.end()) {
    ReportCall call = std::move(report->second);
    this->reports.erase(report);
    switch (call.purpose) {
      case ReportPurpose::kLoadPoll:
        this->HandleLoadReport(now, call);
        break;
      case ReportPurpose::kMigrationPlan:
        this->HandleStreamReport(now, call);
        break;
      case ReportPurpose::kCrashCheck:
        this->HandleCrashCheck(now, std::move(call), end);
        break;
    }
    return true;
  }
  if (const auto found = this->flow_of_migration.find(id.value);
      found != this->flow_of_migration.end()) {
    ForwardedRequest& flow = this->flows.at(found->second);
    this->flow_of_migration.erase(found);
    flow.migration->call = CallId{};
    KvTransferResult result;
    if (end.end == HttpEnd::kComplete) {
      result = this->codec.kv_transfer_result(flow.migration->status,
                                              flow.migration->body);
    }
    this->HandleTransferResult(now, &flow, result);
    return true;
  }
  return this->releases.erase(id.value) > 0;
}

// ---- Planning ----

void Forwarding::HandleStreamReport(Instant now, const ReportCall& call) {
  constexpr int kOk = 200;
  EngineReport report;
  if (call.status == kOk) {
    absl::StatusOr<EngineReport> read = this->codec.report(call.body);
    if (read.ok()) {
      report = *std::move(read);
    }
  }
  const auto is_reported = [&report](const std::string& id) {
    return std::any_of(
        report.streams.begin(), report.streams.end(),
        [&id](const RunningStream& run) { return run.request_id == id; });
  };
  std::vector<ForwardedRequest*> local;
  std::vector<RunningStream> late;
  for (auto& [id, flow] : this->flows) {
    const bool affected = flow.Streaming() && !flow.running.empty() &&
                          flow.running.front().worker == call.worker.id &&
                          !flow.migration.has_value();
    if (!affected) {
      continue;
    }
    local.push_back(&flow);
    if (!is_reported(flow.metadata.request_id)) {
      late.push_back({flow.metadata.request_id, flow.size.tokens, 0});
    }
  }
  if (local.empty()) {
    return;
  }
  std::vector<MigrationDestination> destinations;
  for (const WorkerRegistration* worker :
       this->directory->AvailableWorkers(call.worker.service)) {
    destinations.push_back({worker->id, worker->domain != call.worker.domain});
  }
  const ForwardingService* service =
      local.front()->table->FindService(call.worker.service);
  TransferSpeed speed;
  if (service != nullptr && service->engine.has_value()) {
    speed = {service->engine->bytes_per_token, service->engine->link_mbps};
  }
  const std::vector<MigrationSlot> slots =
      PlanMigrations(call.worker.id, report.streams, late, destinations, speed);
  this->Log(LogLevel::kInfo, "moves planned",
            {{"worker", call.worker.id.value},
             {"own_streams", std::to_string(local.size())},
             {"reported_streams", std::to_string(report.streams.size())},
             {"report_status", std::to_string(call.status)},
             {"destinations", std::to_string(destinations.size())},
             {"leaves_ms", report.terminates_in
                               ? MillisecondsText(*report.terminates_in)
                               : "unknown"},
             {"age_ms", MillisecondsText(now - call.noticed_at)}});
  // If a stream has two slots, the later one applies.
  for (auto slot = slots.rbegin(); slot != slots.rend(); ++slot) {
    const auto flow = std::find_if(
        local.begin(), local.end(), [slot](const ForwardedRequest* each) {
          return each->metadata.request_id == slot->request_id &&
                 !each->migration.has_value();
        });
    if (flow != local.end()) {
      this->ScheduleMigration(now, *flow, call,
                              destinations[slot->destination].worker,
                              call.noticed_at + kReportRoundTrip + slot->start);
    }
  }
}

void Forwarding::ScheduleMigration(Instant now, ForwardedRequest* flow,
                                   const ReportCall& call,
                                   const UpstreamId& destination, Instant due) {
  StreamMigration migration;
  migration.source = call.worker.id;
  migration.source_address = call.worker.address;
  migration.source_domain = call.worker.domain;
  migration.destination = destination;
  migration.noticed_at = call.noticed_at;
  flow->migration = std::move(migration);
  this->timers.insert(
      {std::max(now, due), flow->request.id.value, TimerKind::kMigration});
}

// ---- Execution ----

void Forwarding::AdvanceMigration(Instant now, ForwardedRequest* flow) {
  if (!flow->migration.has_value()) {
    return;
  }
  if (flow->migration->phase == MigrationPhase::kScheduled) {
    this->StartKvTransfer(now, flow, false);
  } else if (flow->migration->phase == MigrationPhase::kStopped) {
    this->Resume(now, flow);
  }
}

bool Forwarding::ChooseDestination(Instant now, ForwardedRequest* flow) {
  StreamMigration& migration = *flow->migration;
  std::vector<LoadCandidate> candidates = this->Candidates(now, *flow);
  const auto excluded = [&migration](const LoadCandidate& candidate) {
    return candidate.worker == migration.source ||
           std::find(migration.refused.begin(), migration.refused.end(),
                     candidate.worker) != migration.refused.end();
  };
  candidates.erase(
      std::remove_if(candidates.begin(), candidates.end(), excluded),
      candidates.end());
  for (LoadCandidate& candidate : candidates) {
    // A transfer takes longer with a greater distance from its source.
    candidate.distance =
        this->DistanceBetween(migration.source_domain, candidate.domain);
  }
  // In the plan each transfer has a link to itself, so the planned destination
  // is kept as long as it has capacity.
  const auto planned =
      std::find_if(candidates.begin(), candidates.end(),
                   [&migration](const LoadCandidate& each) {
                     return each.worker == migration.destination;
                   });
  if (planned != candidates.end()) {
    candidates = {*planned};
  }
  const RequestSize reservation{0, flow->size.tokens};
  const std::optional<LoadChoice> choice =
      this->loads.Choose(now, candidates, reservation);
  if (!choice.has_value()) {
    return false;
  }
  migration.destination = choice->worker;
  migration.reserved = true;  // advertised to neighbours
  this->loads.Begin(now, migration.destination, reservation);
  this->hooks.loads_changed(now);
  return true;
}

void Forwarding::ReleaseReservation(Instant now, ForwardedRequest* flow) {
  StreamMigration& migration = *flow->migration;
  if (!std::exchange(migration.reserved, false)) {
    return;
  }
  this->loads.End(now, migration.destination, {0, flow->size.tokens}, false);
  this->hooks.loads_changed(now);
}

void Forwarding::StartKvTransfer(Instant now, ForwardedRequest* flow,
                                 bool final_part) {
  StreamMigration& migration = *flow->migration;
  if (!this->allowances.MaySendCommand(now, migration.source)) {
    this->RetryMigration(now, flow,
                         this->allowances.HeldUntil(migration.source) - now);
    return;
  }
  if (!final_part && !this->ChooseDestination(now, flow)) {
    migration.refused.clear();
    this->RetryMigration(now, flow, kNoCapacityDelay);
    return;
  }
  const WorkerRegistration* destination =
      this->directory->Find(migration.destination);
  if (destination == nullptr) {
    this->RetryMigration(now, flow, kNoCapacityDelay);
    return;
  }
  HttpCall call = this->codec.kv_transfer_call(
      {flow->metadata.request_id, destination->address, final_part});
  call.id = this->hooks.next_call_id();
  call.connect_timeout = kCommandConnectTimeout;
  call.total_timeout = kCommandTimeout;
  call.max_body = kMaxCommandResponse;
  migration.phase =
      final_part ? MigrationPhase::kStopping : MigrationPhase::kCopying;
  migration.call = call.id;
  migration.status = 0;
  migration.body.clear();
  migration.command_sent_at = now;
  ++migration.transfer_attempts;
  this->flow_of_migration[call.id.value] = flow->request.id.value;
  this->SendCommand(now, migration.source, migration.source_address,
                    std::move(call));
  // A leaving worker closes its connection after each response. Opening the
  // next connection early avoids adding the connection setup time to the
  // handover pause.
  this->actions.emplace_back(HttpPreconnect{
      final_part ? destination->address : migration.source_address});
}

void Forwarding::RetryMigration(Instant now, ForwardedRequest* flow,
                                Duration pause) {
  this->ReleaseReservation(now, flow);
  StreamMigration& migration = *flow->migration;
  migration.phase = MigrationPhase::kScheduled;
  if (++migration.transfer_attempts <= kMaxTransferAttempts) {
    this->timers.insert(
        {now + pause, flow->request.id.value, TimerKind::kMigration});
  }
}

void Forwarding::HandleTransferResult(Instant now, ForwardedRequest* flow,
                                      const KvTransferResult& result) {
  StreamMigration& migration = *flow->migration;
  const bool stopping = migration.phase == MigrationPhase::kStopping;
  migration.events_generated =
      std::max(migration.events_generated, result.events);
  this->Log(
      LogLevel::kInfo, "stream copy",
      {{"request", flow->metadata.request_id},
       {"source", migration.source.value},
       {"destination", migration.destination.value},
       {"last_part", stopping ? "true" : "false"},
       {"end", std::string(ToText(result.outcome))},
       {"status", std::to_string(migration.status)},
       {"took_ms", MillisecondsText(now - migration.command_sent_at)},
       {"since_notice_ms", MillisecondsText(now - migration.noticed_at)}});
  if (result.outcome == KvTransferOutcome::kCopied) {
    this->HandleTransferred(now, flow, result.handle);
    return;
  }
  if (stopping) {
    if (!result.handle.empty()) {
      migration.handle = result.handle;
      migration.at_source = true;
    }
    // The stream has stopped or ended; continue from the latest transfer.
    migration.run_gone = result.outcome == KvTransferOutcome::kNoSuchRun;
    this->HandleStopped(now, flow);
    return;
  }
  switch (result.outcome) {
    case KvTransferOutcome::kNoSuchRun:
      this->RetryMigration(now, flow, kNotStartedDelay);
      return;
    case KvTransferOutcome::kBusy:
      this->RetryMigration(now, flow, kBusyDelay);
      return;
    default:
      // An immediate second refusal is due to the source rather than the
      // destinations: it accepts no command while others are queued there.
      migration.refused.push_back(migration.destination);
      this->RetryMigration(
          now, flow, migration.refused.size() > 1 ? kBusyDelay : Duration{0});
      return;
  }
}

void Forwarding::HandleTransferred(Instant now, ForwardedRequest* flow,
                                   const std::string& handle) {
  StreamMigration& migration = *flow->migration;
  migration.handle = handle;
  if (migration.phase == MigrationPhase::kCopying) {
    this->StartKvTransfer(now, flow, true);
    return;
  }
  this->HandleStopped(now, flow);
}

void Forwarding::HandleStopped(Instant now, ForwardedRequest* flow) {
  StreamMigration& migration = *flow->migration;
  migration.phase = MigrationPhase::kStopped;
  if (!migration.source_attempt.has_value()) {
    this->timers.insert({now + kLastEventsTimeout, flow->request.id.value,
                         TimerKind::kMigration});
  } else if (this->IsWhole(*flow)) {
    const Attempt attempt = *std::move(migration.source_attempt);
    this->Deliver(now, flow->request.id.value, attempt);
  } else {
    this->Resume(now, flow);
  }
}

bool Forwarding::IsWhole(const ForwardedRequest& flow) {
  const StreamMigration& migration = *flow.migration;
  if (!migration.source_closed_in_order ||
      migration.events_generated > flow.events_relayed) {
    return false;
  }
  // A source that is told to stop closes the connection, too.
  switch (migration.phase) {
    case MigrationPhase::kScheduled:
    case MigrationPhase::kCopying:
      return true;
    case MigrationPhase::kStopping:
    case MigrationPhase::kStopped:
      return migration.run_gone;
  }
  return false;
}

bool Forwarding::DeferToMigration(Instant now, ForwardedRequest* flow,
                                  const Attempt& attempt, AttemptEnd end) {
  const bool is_delimited =
      end == AttemptEnd::kAnswered && !attempt.until_close;
  if (!flow->migration.has_value() ||
      flow->migration->source != attempt.worker || is_delimited) {
    return false;
  }
  StreamMigration& migration = *flow->migration;
  migration.source_attempt = attempt;
  migration.source_closed_in_order = end == AttemptEnd::kAnswered;
  if (migration.phase == MigrationPhase::kStopping) {
    return true;  // the command's response tells which end it was
  }
  if (this->IsWhole(*flow)) {
    return false;
  }
  if (migration.handle.empty()) {
    if (end == AttemptEnd::kAnswered) {
      this->AbortStream(now, flow->request.id.value,
                        "the worker closed the stream before its last event");
      return true;
    }
    return false;
  }
  this->Resume(now, flow);
  return true;
}

void Forwarding::Resume(Instant now, ForwardedRequest* flow) {
  this->ReleaseReservation(now, flow);
  const StreamMigration migration = *std::move(flow->migration);
  flow->migration.reset();
  this->CancelAttempts(now, flow, false);
  const UpstreamId& target =
      migration.at_source ? migration.source : migration.destination;
  const WorkerRegistration* worker = this->directory->Find(target);
  const std::optional<std::uint64_t> last = flow->events.LastId();
  if (!this->allowances.MaySendCommand(now, target)) {
    this->AbortStream(now, flow->request.id.value,
                      "the stream's next worker requested a pause");
    return;
  }
  if (worker == nullptr || migration.handle.empty() || !last.has_value()) {
    this->AbortStream(
        now, flow->request.id.value,
        "the stream's worker terminated and no KV transfer can be resumed");
    return;
  }
  if (this->CheckQuarantine(now, *flow).has_value()) {
    this->AbortStream(now, flow->request.id.value,
                      "a part of the prompt is quarantined");
    return;
  }
  flow->events.DropPartial();
  Attempt attempt;
  attempt.resumed = true;
  attempt.worker = target;
  attempt.sent = now;
  if (!this->SendAttempt(
          now, *flow, &attempt,
          ResumePoint{migration.source_address, migration.handle, *last})) {
    this->AbortStream(now, flow->request.id.value,
                      "no host reaches the stream's next worker");
    return;
  }
  this->BudgetOf(flow->service).Spend(now);  // counts as a repeated request
  flow->size.prompt_tokens = 0;              // prefill is done
  this->allowances.RecordSend(now, target);
  this->loads.Begin(now, target, flow->size);
  this->hooks.loads_changed(now);
  this->flow_of_call[attempt.call.value] = flow->request.id.value;
  this->Log(
      LogLevel::kInfo, "stream resumed",
      {{"request", flow->metadata.request_id},
       {"source", migration.source.value},
       {"worker", target.value},
       {"last_event", std::to_string(*last)},
       {"stopped_ms", MillisecondsText(now - migration.command_sent_at)},
       {"silent_ms", MillisecondsText(now - flow->last_event)},
       {"since_notice_ms", MillisecondsText(now - migration.noticed_at)}});
  ++flow->migrations;
  this->metrics->Add(Counter::kStreamsResumed);
  flow->running.push_back(std::move(attempt));
  if (migration.at_source) {
    this->RescheduleMigration(now, flow, migration);
  }
}

void Forwarding::RescheduleMigration(Instant now, ForwardedRequest* flow,
                                     const StreamMigration& previous) {
  StreamMigration migration;
  migration.source = previous.source;
  migration.source_address = previous.source_address;
  migration.source_domain = previous.source_domain;
  migration.refused = previous.refused;
  migration.refused.push_back(previous.destination);
  migration.noticed_at = previous.noticed_at;
  flow->migration = std::move(migration);
  this->timers.insert(
      {now + kNotStartedDelay, flow->request.id.value, TimerKind::kMigration});
}

void Forwarding::AbandonMigration(Instant now, ForwardedRequest* flow) {
  if (!flow->migration.has_value()) {
    return;
  }
  this->ReleaseReservation(now, flow);
  const StreamMigration migration = *std::move(flow->migration);
  flow->migration.reset();
  this->timers.erase({now, flow->request.id.value, TimerKind::kMigration});
  if (migration.call.value != 0) {
    this->flow_of_migration.erase(migration.call.value);
    this->CancelCall(migration.call);
  }
  // Without the command the worker frees the copy by itself after a while.
  if (migration.handle.empty() ||
      !this->allowances.MaySendCommand(now, migration.source)) {
    return;
  }
  HttpCall call = this->codec.kv_release_call(migration.handle);
  call.id = this->hooks.next_call_id();
  call.connect_timeout = kCommandConnectTimeout;
  call.total_timeout = kCommandTimeout;
  call.max_body = kMaxCommandResponse;
  this->releases.insert(call.id.value);
  this->SendCommand(now, migration.source, migration.source_address,
                    std::move(call));
}

}  // namespace limpetlink
