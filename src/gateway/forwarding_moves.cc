#include <algorithm>

#include "absl/strings/str_cat.h"
#include "gateway/detail/forwarding.h"

namespace limpetlink {
namespace {

// Report and orders; a leaving worker has less time than this.
constexpr Duration kOrderTimeout = std::chrono::milliseconds(3000);
constexpr Duration kOrderConnect = std::chrono::milliseconds(400);
// Of an engine's report, by its own account.
constexpr Duration kReportLag = std::chrono::milliseconds(500);
// A stream without its first token cannot move yet; it is asked again.
constexpr Duration kNotBegunPause = std::chrono::milliseconds(40);
constexpr Duration kBusyPause = std::chrono::milliseconds(20);
constexpr Duration kNoRoomPause = std::chrono::milliseconds(60);
// Orders for one stream, those that were refused included.
constexpr std::uint32_t kMostTries = 200;
// A stopped worker's last events arrive with its answer or just behind it.
constexpr Duration kLastEvents = std::chrono::milliseconds(25);
// From the notice to the first slot: the report's round trip.
constexpr Duration kReportTime = std::chrono::milliseconds(8);

}  // namespace

void Forwarding::OnLeaving(Instant /*now*/, const WorkerRegistration& worker,
                           Instant noticed) {
  const auto runs_there = [&worker](const auto& entry) {
    const Forwarded& flow = entry.second;
    return flow.Streaming() && !flow.running.empty() &&
           flow.running.front().worker == worker.id && !flow.move.has_value();
  };
  const auto first =
      std::find_if(this->flows.begin(), this->flows.end(), runs_there);
  if (first == this->flows.end()) {
    return;
  }
  const ForwardingService* service =
      first->second.table->Service(worker.service);
  if (service == nullptr || !service->engine.has_value() ||
      !service->engine->can_move) {
    return;
  }
  this->AskReport(worker, true, noticed);
}

void Forwarding::AskReport(const WorkerRegistration& worker, bool leaving,
                           Instant noticed) {
  HttpCall call = this->codec.report_call();
  call.id = this->hooks.next_call_id();
  call.url = "http://" + worker.address + call.url;
  call.connect_timeout = kOrderConnect;
  this->reports[call.id.value] = {worker, leaving, noticed, 0, {}};
  this->actions.emplace_back(std::move(call));
}

std::size_t Forwarding::AskLoads(Instant now) {
  const std::shared_ptr<const RouteTable> table =
      this->hooks.deployment(now).table;
  std::size_t near = 0;
  if (table == nullptr) {
    return near;
  }
  // A worker that does not answer keeps its call; it is not asked again.
  const auto asked = [this](const UpstreamId& worker) {
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
      ++near;
      if (!asked(worker->id)) {
        this->AskReport(*worker, false, now);
      }
    }
  }
  return near;
}

void Forwarding::TakeLoad(Instant now, const ReportCall& call) {
  constexpr int kOk = 200;
  if (call.status != kOk) {
    this->Log(LogLevel::kInfo, "load unknown",
              {{"worker", call.worker.id.value},
               {"status", std::to_string(call.status)},
               {"after_ms", MillisecondsText(now - call.noticed)}});
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
    this->hooks.worker_leaves(now, call.worker.id);
    return;
  }
  LoadReport load;
  load.running = report->active;
  load.waiting = report->queued;
  load.memory_tokens = report->memory_in_use;
  load.lag = kReportLag;
  this->loads.Report(now, call.worker.id, load);
}

bool Forwarding::TakeMoveHead(const HttpHead& head) {
  if (const auto report = this->reports.find(head.id.value);
      report != this->reports.end()) {
    report->second.status = head.status;
    return true;
  }
  if (const auto found = this->flow_of_move.find(head.id.value);
      found != this->flow_of_move.end()) {
    this->flows.at(found->second).move->status = head.status;
    return true;
  }
  return this->releases.count(head.id.value) > 0;
}

bool Forwarding::TakeMoveChunk(const HttpChunk& chunk) {
  if (const auto report = this->reports.find(chunk.id.value);
      report != this->reports.end()) {
    report->second.body += chunk.bytes;
    return true;
  }
  if (const auto found = this->flow_of_move.find(chunk.id.value);
      found != this->flow_of_move.end()) {
    this->flows.at(found->second).move->body += chunk.bytes;
    return true;
  }
  return this->releases.count(chunk.id.value) > 0;
}

bool Forwarding::OnMoveCall(Instant now, const HttpDone& done) {
  if (const auto report = this->reports.find(done.id.value);
      report != this->reports.end()) {
    const ReportCall call = std::move(report->second);
    this->reports.erase(report);
    if (call.leaving) {
      this->TakeReport(now, call);
    } else {
      this->TakeLoad(now, call);
    }
    return true;
  }
  if (const auto found = this->flow_of_move.find(done.id.value);
      found != this->flow_of_move.end()) {
    Forwarded& flow = this->flows.at(found->second);
    this->flow_of_move.erase(found);
    flow.move->call = CallId{};
    MoveAnswer answer;
    if (done.end == HttpEnd::kComplete) {
      answer = this->codec.move_answer(flow.move->status, flow.move->body);
    }
    this->TakeMoveAnswer(now, &flow, answer);
    return true;
  }
  return this->releases.erase(done.id.value) > 0;
}

// ---- Planning ----

void Forwarding::TakeReport(Instant now, const ReportCall& call) {
  constexpr int kOk = 200;
  EngineReport report;
  if (call.status == kOk) {
    absl::StatusOr<EngineReport> read = this->codec.report(call.body);
    if (read.ok()) {
      report = *std::move(read);
    }
  }
  const auto listed = [&report](const std::string& id) {
    return std::any_of(
        report.runs.begin(), report.runs.end(),
        [&id](const RunningStream& run) { return run.request_id == id; });
  };
  std::vector<Forwarded*> own;
  std::vector<RunningStream> late;
  for (auto& [id, flow] : this->flows) {
    const bool there = flow.Streaming() && !flow.running.empty() &&
                       flow.running.front().worker == call.worker.id &&
                       !flow.move.has_value();
    if (!there) {
      continue;
    }
    own.push_back(&flow);
    if (!listed(flow.terms.request_id)) {
      late.push_back({flow.terms.request_id, flow.size.tokens, 0});
    }
  }
  if (own.empty()) {
    return;
  }
  std::vector<MoveDestination> destinations;
  for (const WorkerRegistration* worker :
       this->directory->AvailableWorkers(call.worker.service)) {
    destinations.push_back({worker->id, worker->domain != call.worker.domain});
  }
  const ForwardingService* service =
      own.front()->table->Service(call.worker.service);
  MoveSpeed speed;
  if (service != nullptr && service->engine.has_value()) {
    speed = {service->engine->bytes_per_token, service->engine->link_mbps};
  }
  const std::vector<MoveSlot> slots =
      PlanMoves(call.worker.id, report.runs, late, destinations, speed);
  this->Log(
      LogLevel::kInfo, "moves planned",
      {{"worker", call.worker.id.value},
       {"own_streams", std::to_string(own.size())},
       {"reported_streams", std::to_string(report.runs.size())},
       {"report_status", std::to_string(call.status)},
       {"destinations", std::to_string(destinations.size())},
       {"leaves_ms",
        report.leaves_in ? MillisecondsText(*report.leaves_in) : "unknown"},
       {"age_ms", MillisecondsText(now - call.noticed)}});
  // The later slot counts where a stream has two.
  for (auto slot = slots.rbegin(); slot != slots.rend(); ++slot) {
    const auto flow =
        std::find_if(own.begin(), own.end(), [slot](const Forwarded* each) {
          return each->terms.request_id == slot->request_id &&
                 !each->move.has_value();
        });
    if (flow != own.end()) {
      this->ScheduleMove(now, *flow, call,
                         destinations[slot->destination].worker,
                         call.noticed + kReportTime + slot->start);
    }
  }
}

void Forwarding::ScheduleMove(Instant now, Forwarded* flow,
                              const ReportCall& call,
                              const UpstreamId& destination, Instant due) {
  StreamMove move;
  move.source = call.worker.id;
  move.source_address = call.worker.address;
  move.source_domain = call.worker.domain;
  move.destination = destination;
  move.noticed = call.noticed;
  flow->move = std::move(move);
  this->timers.insert(
      {std::max(now, due), flow->request.id.value, TimerKind::kMove});
}

// ---- Carrying out ----

void Forwarding::StepMove(Instant now, Forwarded* flow) {
  if (!flow->move.has_value()) {
    return;
  }
  if (flow->move->phase == MovePhase::kScheduled) {
    this->OrderCopy(now, flow, false);
  } else if (flow->move->phase == MovePhase::kStopped) {
    this->Resume(now, flow);
  }
}

bool Forwarding::ChooseDestination(Instant now, Forwarded* flow) {
  StreamMove& move = *flow->move;
  std::vector<LoadCandidate> candidates = this->Candidates(*flow);
  const auto unusable = [&move](const LoadCandidate& candidate) {
    return candidate.worker == move.source ||
           std::find(move.refused.begin(), move.refused.end(),
                     candidate.worker) != move.refused.end();
  };
  candidates.erase(
      std::remove_if(candidates.begin(), candidates.end(), unusable),
      candidates.end());
  for (LoadCandidate& candidate : candidates) {
    // A copy takes longer the farther it goes from its source.
    candidate.distance =
        this->DistanceBetween(move.source_domain, candidate.domain);
  }
  // The plan gives each copy a link of its own; it holds while there is room.
  const auto planned = std::find_if(candidates.begin(), candidates.end(),
                                    [&move](const LoadCandidate& each) {
                                      return each.worker == move.destination;
                                    });
  if (planned != candidates.end()) {
    candidates = {*planned};
  }
  const RequestSize copy{0, flow->size.tokens};
  const std::optional<LoadChoice> choice =
      this->loads.Choose(now, candidates, copy);
  if (!choice.has_value()) {
    return false;
  }
  move.destination = choice->worker;
  move.reserved = true;  // neighbours see the room as taken
  this->loads.Begin(now, move.destination, copy);
  this->hooks.loads_changed(now);
  return true;
}

void Forwarding::ReleaseRoom(Instant now, Forwarded* flow) {
  StreamMove& move = *flow->move;
  if (!std::exchange(move.reserved, false)) {
    return;
  }
  this->loads.End(now, move.destination, {0, flow->size.tokens}, false);
  this->hooks.loads_changed(now);
}

void Forwarding::OrderCopy(Instant now, Forwarded* flow, bool last) {
  StreamMove& move = *flow->move;
  if (!last && !this->ChooseDestination(now, flow)) {
    move.refused.clear();
    this->RetryMove(now, flow, kNoRoomPause);
    return;
  }
  const WorkerRegistration* destination =
      this->directory->Find(move.destination);
  if (destination == nullptr) {
    this->RetryMove(now, flow, kNoRoomPause);
    return;
  }
  HttpCall call = this->codec.move_call(
      {flow->terms.request_id, destination->address, last});
  call.id = this->hooks.next_call_id();
  call.url = "http://" + move.source_address + call.url;
  call.connect_timeout = kOrderConnect;
  call.total_timeout = kOrderTimeout;
  move.phase = last ? MovePhase::kFinishing : MovePhase::kCopying;
  move.call = call.id;
  move.status = 0;
  move.body.clear();
  move.stopped = now;
  ++move.tries;
  this->flow_of_move[call.id.value] = flow->request.id.value;
  this->actions.emplace_back(std::move(call));
  // A leaving worker closes connections with each answer, and the pause of the
  // hand-over would hold the opening of the next ones.
  this->actions.emplace_back(
      HttpOpen{last ? destination->address : move.source_address});
}

void Forwarding::RetryMove(Instant now, Forwarded* flow, Duration pause) {
  this->ReleaseRoom(now, flow);
  StreamMove& move = *flow->move;
  move.phase = MovePhase::kScheduled;
  if (++move.tries <= kMostTries) {
    this->timers.insert(
        {now + pause, flow->request.id.value, TimerKind::kMove});
  }
}

void Forwarding::TakeMoveAnswer(Instant now, Forwarded* flow,
                                const MoveAnswer& answer) {
  StreamMove& move = *flow->move;
  const bool finishing = move.phase == MovePhase::kFinishing;
  this->Log(LogLevel::kInfo, "stream copy",
            {{"request", flow->terms.request_id},
             {"source", move.source.value},
             {"destination", move.destination.value},
             {"last_part", finishing ? "true" : "false"},
             {"end", std::string(ToText(answer.end))},
             {"status", std::to_string(move.status)},
             {"took_ms", MillisecondsText(now - move.stopped)},
             {"since_notice_ms", MillisecondsText(now - move.noticed)}});
  if (answer.end == MoveEnd::kCopied) {
    this->TakeCopied(now, flow, answer.handle);
    return;
  }
  if (finishing) {
    if (!answer.handle.empty()) {
      move.handle = answer.handle;
      move.at_source = true;
    }
    // The run has stopped or ended; the newest copy is what there is.
    move.phase = MovePhase::kStopped;
    if (move.source_ended) {
      this->Resume(now, flow);
    } else {
      this->timers.insert(
          {now + kLastEvents, flow->request.id.value, TimerKind::kMove});
    }
    return;
  }
  switch (answer.end) {
    case MoveEnd::kNoSuchRun:
      this->RetryMove(now, flow, kNotBegunPause);
      return;
    case MoveEnd::kBusy:
      this->RetryMove(now, flow, kBusyPause);
      return;
    default:
      // A second refusal at once tells of the source rather than of the
      // destinations: it takes no order while others wait there.
      move.refused.push_back(move.destination);
      this->RetryMove(now, flow,
                      move.refused.size() > 1 ? kBusyPause : Duration{0});
      return;
  }
}

void Forwarding::TakeCopied(Instant now, Forwarded* flow,
                            const std::string& handle) {
  StreamMove& move = *flow->move;
  move.handle = handle;
  if (move.phase == MovePhase::kCopying) {
    this->OrderCopy(now, flow, true);
    return;
  }
  move.phase = MovePhase::kStopped;
  if (move.source_ended) {
    this->Resume(now, flow);
    return;
  }
  this->timers.insert(
      {now + kLastEvents, flow->request.id.value, TimerKind::kMove});
}

bool Forwarding::HoldsForMove(Instant now, Forwarded* flow,
                              const Attempt& attempt, AttemptEnd end) {
  if (!flow->move.has_value() || flow->move->source != attempt.worker ||
      end == AttemptEnd::kAnswered) {
    return false;
  }
  StreamMove& move = *flow->move;
  move.source_ended = true;
  if (move.phase == MovePhase::kFinishing) {
    return true;  // the order's answer brings the handle
  }
  if (move.handle.empty()) {
    return false;
  }
  this->Resume(now, flow);
  return true;
}

void Forwarding::Resume(Instant now, Forwarded* flow) {
  this->ReleaseRoom(now, flow);
  const StreamMove move = *std::move(flow->move);
  flow->move.reset();
  this->CancelAttempts(now, flow, false);
  const UpstreamId& target = move.at_source ? move.source : move.destination;
  const WorkerRegistration* worker = this->directory->Find(target);
  const std::optional<std::uint64_t> last = flow->events.LastId();
  if (worker == nullptr || move.handle.empty() || !last.has_value()) {
    this->BreakOff(now, flow->request.id.value,
                   "the stream's worker left and no copy can go on");
    return;
  }
  flow->events.DropPartial();
  Attempt attempt;
  attempt.call = this->hooks.next_call_id();
  attempt.worker = target;
  attempt.sent = now;
  this->BudgetOf(flow->service).Spend(now);  // an arrival beyond the first
  flow->size.prompt_tokens = 0;              // read already
  this->loads.Begin(now, target, flow->size);
  this->hooks.loads_changed(now);
  this->flow_of_call[attempt.call.value] = flow->request.id.value;
  this->Log(LogLevel::kInfo, "stream resumed",
            {{"request", flow->terms.request_id},
             {"source", move.source.value},
             {"worker", target.value},
             {"last_event", std::to_string(*last)},
             {"stopped_ms", MillisecondsText(now - move.stopped)},
             {"silent_ms", MillisecondsText(now - flow->last_event)},
             {"since_notice_ms", MillisecondsText(now - move.noticed)}});
  ++flow->moves;
  this->metrics->Add(Counter::kStreamsResumed);
  this->actions.emplace_back(
      this->CallFor(now, *flow, attempt, worker->address,
                    ResumeTerms{move.source_address, move.handle, *last}));
  flow->running.push_back(std::move(attempt));
  if (move.at_source) {
    this->MoveAgain(now, flow, move);
  }
}

void Forwarding::MoveAgain(Instant now, Forwarded* flow,
                           const StreamMove& before) {
  StreamMove move;
  move.source = before.source;
  move.source_address = before.source_address;
  move.source_domain = before.source_domain;
  move.refused = before.refused;
  move.refused.push_back(before.destination);
  move.noticed = before.noticed;
  flow->move = std::move(move);
  this->timers.insert(
      {now + kNotBegunPause, flow->request.id.value, TimerKind::kMove});
}

void Forwarding::AbandonMove(Instant now, Forwarded* flow) {
  if (!flow->move.has_value()) {
    return;
  }
  this->ReleaseRoom(now, flow);
  const StreamMove move = *std::move(flow->move);
  flow->move.reset();
  this->timers.erase({now, flow->request.id.value, TimerKind::kMove});
  if (move.call.value != 0) {
    this->flow_of_move.erase(move.call.value);
    this->actions.emplace_back(HttpCancel{move.call});
  }
  if (move.handle.empty()) {
    return;
  }
  HttpCall call = this->codec.release_call(move.handle);
  call.id = this->hooks.next_call_id();
  call.url = "http://" + move.source_address + call.url;
  call.connect_timeout = kOrderConnect;
  this->releases.insert(call.id.value);
  this->actions.emplace_back(std::move(call));
}

}  // namespace limpetlink
