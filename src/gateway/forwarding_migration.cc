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
// Time after which a stream that resumed at its leaving worker moves again.
constexpr Duration kRestartDelay = std::chrono::milliseconds(40);
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
  if (const auto found = this->transfers.find(head.id.value);
      found != this->transfers.end()) {
    found->second.status = head.status;
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
  if (const auto found = this->transfers.find(chunk.id.value);
      found != this->transfers.end()) {
    found->second.body += chunk.bytes;
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
  if (const auto found = this->transfers.find(id.value);
      found != this->transfers.end()) {
    const TransferCall call = std::move(found->second);
    this->transfers.erase(found);
    this->HandleTransfer(now, id, call, end);
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
  StreamMigration origin;
  origin.source_address = call.worker.address;
  origin.source_domain = call.worker.domain;
  origin.noticed_at = call.noticed_at;
  this->StartMigration(now, flow, StreamMove(call.worker.id, destination),
                       origin, due);
}

void Forwarding::StartMigration(Instant now, ForwardedRequest* flow,
                                StreamMove move, const StreamMigration& origin,
                                Instant due) {
  StreamMigration migration;
  migration.move = std::move(move);
  migration.source_address = origin.source_address;
  migration.source_domain = origin.source_domain;
  migration.noticed_at = origin.noticed_at;
  migration.timer = std::max(now, due);
  this->timers.insert(
      {*migration.timer, flow->request.id.value, TimerKind::kMigration});
  flow->migration = std::move(migration);
}

// ---- Execution ----

void Forwarding::Advance(Instant now, ForwardedRequest* flow,
                         MoveAction action) {
  const std::uint64_t id = flow->request.id.value;
  while (true) {
    StreamMigration& migration = *flow->migration;
    if (!action.unused.empty()) {
      this->ReleaseCopy(now, migration, action.unused);
    }
    if (migration.move.Phase() == MovePhase::kScheduled) {
      this->ReleaseReservation(now, flow);  // until the next choice
    }
    switch (action.step) {
      case MoveStep::kNone:
      case MoveStep::kLeave:
        return;
      case MoveStep::kWait:
        migration.timer = now + action.delay;
        this->timers.insert({*migration.timer, id, TimerKind::kMigration});
        return;
      case MoveStep::kCopy:
      case MoveStep::kStop:
        action = this->StartTransfer(now, flow, action.step == MoveStep::kStop);
        break;
      case MoveStep::kResume:
        this->Resume(now, flow);
        return;
      case MoveStep::kDeliver: {
        const Attempt attempt = *std::move(migration.source_attempt);
        this->Deliver(now, id, attempt);
        return;
      }
      case MoveStep::kAbort:
        this->AbortStream(now, id,
                          "the worker closed the stream before its last event");
        return;
      case MoveStep::kGiveUp:
        this->Log(LogLevel::kWarning, "move given up",
                  {{"request", flow->metadata.request_id},
                   {"source", migration.move.Source().value},
                   {"phase", std::string(ToText(migration.move.Phase()))}});
        return;
    }
  }
}

bool Forwarding::ChooseDestination(Instant now, ForwardedRequest* flow) {
  StreamMigration& migration = *flow->migration;
  const StreamMove& move = migration.move;
  std::vector<LoadCandidate> candidates = this->Candidates(now, *flow);
  const auto excluded = [&move](const LoadCandidate& candidate) {
    return candidate.worker == move.Source() ||
           std::find(move.Refused().begin(), move.Refused().end(),
                     candidate.worker) != move.Refused().end();
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
  const auto planned = std::find_if(candidates.begin(), candidates.end(),
                                    [&move](const LoadCandidate& each) {
                                      return each.worker == move.Destination();
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
  migration.move.SetDestination(choice->worker);
  migration.reserved = true;  // advertised to neighbours
  this->loads.Begin(now, choice->worker, reservation);
  this->hooks.loads_changed(now);
  return true;
}

void Forwarding::ReleaseReservation(Instant now, ForwardedRequest* flow) {
  StreamMigration& migration = *flow->migration;
  if (!std::exchange(migration.reserved, false)) {
    return;
  }
  this->loads.End(now, migration.move.Destination(), {0, flow->size.tokens},
                  false);
  this->hooks.loads_changed(now);
}

MoveAction Forwarding::StartTransfer(Instant now, ForwardedRequest* flow,
                                     bool last) {
  StreamMigration& migration = *flow->migration;
  StreamMove& move = migration.move;
  if (!this->allowances.MaySendCommand(now, move.Source())) {
    return move.OnHeld(this->allowances.HeldUntil(move.Source()) - now);
  }
  if (!last && !this->ChooseDestination(now, flow)) {
    return move.OnNoDestination();
  }
  const WorkerRegistration* destination =
      this->directory->Find(move.Destination());
  if (destination == nullptr) {
    return move.OnDestinationLost();
  }
  HttpCall call = this->codec.kv_transfer_call(
      {flow->metadata.request_id, destination->address, last});
  call.id = this->hooks.next_call_id();
  call.connect_timeout = kCommandConnectTimeout;
  call.total_timeout = kCommandTimeout;
  call.max_body = kMaxCommandResponse;
  move.OnCommandSent(call.id);
  migration.command_sent_at = now;
  this->transfers[call.id.value] = {flow->request.id.value, 0, {}};
  this->SendCommand(now, move.Source(), migration.source_address,
                    std::move(call));
  // A leaving worker closes its connection after each response. Opening the
  // next connection early avoids adding the connection setup time to the
  // handover pause.
  this->actions.emplace_back(
      HttpPreconnect{last ? destination->address : migration.source_address});
  return {};
}

void Forwarding::HandleTransfer(Instant now, CallId id,
                                const TransferCall& call,
                                const WorkerCallEnd& end) {
  const auto found = this->flows.find(call.flow);
  if (found == this->flows.end() || !found->second.migration.has_value()) {
    this->Log(LogLevel::kWarning, "response to a command without an owner",
              {{"call", std::to_string(id.value)}});
    return;
  }
  ForwardedRequest& flow = found->second;
  StreamMigration& migration = *flow.migration;
  KvTransferResult result;
  if (end.end == HttpEnd::kComplete) {
    result = this->codec.kv_transfer_result(call.status, call.body);
  }
  this->Log(
      LogLevel::kInfo, "stream copy",
      {{"request", flow.metadata.request_id},
       {"source", migration.move.Source().value},
       {"destination", migration.move.Destination().value},
       {"phase", std::string(ToText(migration.move.Phase()))},
       {"end", std::string(ToText(result.outcome))},
       {"status", std::to_string(call.status)},
       {"events", std::to_string(result.events)},
       {"events_relayed", std::to_string(flow.events_relayed)},
       {"took_ms", MillisecondsText(now - migration.command_sent_at)},
       {"since_notice_ms", MillisecondsText(now - migration.noticed_at)}});
  this->Advance(now, &flow, migration.move.OnCommandEnd(id, result));
}

bool Forwarding::DeferToMigration(Instant now, ForwardedRequest* flow,
                                  const Attempt& attempt, AttemptEnd end) {
  if (!flow->migration.has_value() ||
      flow->migration->move.Source() != attempt.worker) {
    return false;
  }
  SourceEnd source_end = SourceEnd::kBroken;
  if (end == AttemptEnd::kAnswered) {
    source_end = attempt.until_close ? SourceEnd::kClosed : SourceEnd::kWhole;
  }
  StreamMigration& migration = *flow->migration;
  migration.source_attempt = attempt;
  MoveAction action =
      migration.move.OnSourceEnd(source_end, flow->events_relayed);
  if (action.step == MoveStep::kLeave) {
    this->AbandonMigration(now, flow);  // the request may go elsewhere
    return false;
  }
  this->Advance(now, flow, std::move(action));
  return true;
}

void Forwarding::Resume(Instant now, ForwardedRequest* flow) {
  const auto [migration, handle] = this->EndMigration(now, flow);
  const StreamMove& move = migration.move;
  this->CancelAttempts(now, flow, false);
  const UpstreamId& target =
      move.AtSource() ? move.Source() : move.Destination();
  const WorkerRegistration* worker = this->directory->Find(target);
  const std::optional<std::uint64_t> last = flow->events.LastId();
  const char* obstacle = nullptr;
  if (worker == nullptr || handle.empty() || !last.has_value()) {
    obstacle =
        "the stream's worker terminated and no KV transfer can be resumed";
  } else if (!this->allowances.MaySendCommand(now, target)) {
    obstacle = "the stream's next worker requested a pause";
  } else if (this->CheckQuarantine(now, *flow).has_value()) {
    obstacle = "a part of the prompt is quarantined";
  }
  Attempt attempt;
  attempt.resumed = true;
  attempt.worker = target;
  attempt.sent = now;
  if (obstacle == nullptr) {
    flow->events.DropPartial();
    if (!this->SendAttempt(
            now, *flow, &attempt,
            ResumePoint{migration.source_address, handle, *last})) {
      obstacle = "no host reaches the stream's next worker";
    }
  }
  if (obstacle != nullptr) {
    this->ReleaseCopy(now, migration, handle);
    this->AbortStream(now, flow->request.id.value, obstacle);
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
       {"source", move.Source().value},
       {"worker", target.value},
       {"last_event", std::to_string(*last)},
       {"stopped_ms", MillisecondsText(now - migration.command_sent_at)},
       {"silent_ms", MillisecondsText(now - flow->last_event)},
       {"since_notice_ms", MillisecondsText(now - migration.noticed_at)}});
  ++flow->migrations;
  this->metrics->Add(Counter::kStreamsResumed);
  flow->running.push_back(std::move(attempt));
  if (move.AtSource()) {
    // It resumed at its leaving worker and moves to another one.
    std::vector<UpstreamId> refused = move.Refused();
    refused.push_back(move.Destination());
    this->StartMigration(now, flow,
                         StreamMove(move.Source(), {}, std::move(refused)),
                         migration, now + kRestartDelay);
  }
}

std::pair<StreamMigration, std::string> Forwarding::EndMigration(
    Instant now, ForwardedRequest* flow) {
  this->ReleaseReservation(now, flow);
  StreamMigration migration = *std::move(flow->migration);
  flow->migration.reset();
  if (migration.timer.has_value()) {
    this->timers.erase(
        {*migration.timer, flow->request.id.value, TimerKind::kMigration});
  }
  MoveRemains remains = migration.move.End();
  if (remains.command.value != 0) {
    this->transfers.erase(remains.command.value);
    this->CancelCall(remains.command);
  }
  return {std::move(migration), std::move(remains.handle)};
}

void Forwarding::AbandonMigration(Instant now, ForwardedRequest* flow) {
  if (flow->migration.has_value()) {
    const auto [migration, handle] = this->EndMigration(now, flow);
    this->ReleaseCopy(now, migration, handle);
  }
}

void Forwarding::ReleaseCopy(Instant now, const StreamMigration& migration,
                             const std::string& handle) {
  // Without the command the worker frees the copy by itself after a while.
  const UpstreamId& source = migration.move.Source();
  if (handle.empty() || !this->allowances.MaySendCommand(now, source)) {
    return;
  }
  HttpCall call = this->codec.kv_release_call(handle);
  call.id = this->hooks.next_call_id();
  call.connect_timeout = kCommandConnectTimeout;
  call.total_timeout = kCommandTimeout;
  call.max_body = kMaxCommandResponse;
  this->releases.insert(call.id.value);
  this->SendCommand(now, source, migration.source_address, std::move(call));
}

}  // namespace limpetlink
