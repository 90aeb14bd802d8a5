#include "idempotency/tests/log_world.h"

#include <utility>

namespace limpetlink {
namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(2);
constexpr Duration kTickInterval = std::chrono::milliseconds(50);
constexpr Duration kFaultPeriod = std::chrono::seconds(20);
constexpr Duration kSettlePeriod = std::chrono::seconds(60);
constexpr std::int64_t kStartUnixMs = 1800000000000;
constexpr double kUpstreamRefusalRate = 0.15;
constexpr double kUpstreamCutRate = 0.2;

}  // namespace

LogSimulation::LogSimulation(SimulationOptions options)
    : options(options), random(options.seed) {
  this->hosts.resize(static_cast<std::size_t>(options.hosts));
}

bool LogSimulation::Chance(double chance) {
  return this->random.Fraction() < chance;
}

Duration LogSimulation::RandomMillis(std::uint64_t low, std::uint64_t high) {
  return std::chrono::milliseconds(low + this->random.Below(high - low + 1));
}

void LogSimulation::Schedule(Instant when, Task task) {
  this->tasks.emplace(std::pair(when, this->next_task++), std::move(task));
}

void LogSimulation::RunOnHost(std::size_t host, Task task) {
  Host& state = this->hosts[host];
  if (this->now < state.frozen_until) {
    const int incarnation = state.incarnation;
    this->Schedule(state.frozen_until,
                   [this, host, incarnation, task = std::move(task)] {
                     if (this->hosts[host].incarnation == incarnation) {
                       this->RunOnHost(host, task);
                     }
                   });
    return;
  }
  task();
}

void LogSimulation::Run() {
  for (std::size_t host = 0; host < this->hosts.size(); ++host) {
    this->Restart(host);
  }
  for (int i = 0; i < this->options.attempts; ++i) {
    this->Schedule(this->now + this->RandomMillis(0, 20000), [this] {
      this->SendAttempt(this->random.Below(this->hosts.size()));
      this->InjectRandomFaults();
    });
  }
  const Instant faults_end = this->now + kFaultPeriod;
  const Instant end = faults_end + kSettlePeriod;
  this->Schedule(faults_end + kSettlePeriod / 2,
                 [this] { this->SendFinalAttempts(); });
  while (!this->tasks.empty() && this->tasks.begin()->first.first < end) {
    auto node = this->tasks.extract(this->tasks.begin());
    this->now = node.key().first;
    this->faults_over = this->now >= faults_end;
    node.mapped()();
  }
  for (Host& host : this->hosts) {
    this->counts.checkpoints += host.log->Counts().checkpoints;
    this->counts.collisions += host.log->Counts().collisions;
    this->counts.stale_views += host.log->Counts().stale_views;
    this->counts.dispatched += host.log->Counts().dispatched;
    this->counts.replayed += host.log->Counts().replayed;
  }
}

void LogSimulation::Restart(std::size_t host) {
  Host& state = this->hosts[host];
  for (const auto& [request, attempt] : state.attempts) {
    this->history.attempts[attempt].host_crashed = true;
  }
  state.attempts.clear();
  ++state.incarnation;
  state.frozen_until = this->now;
  LogOptions log;
  log.writer =
      "h" + std::to_string(host) + "." + std::to_string(state.incarnation);
  log.shards = 1;
  log.segments_per_checkpoint = 3;
  log.sealed_part_bytes = 600;
  state.log = std::make_unique<IdempotencyLog>(log);
  const std::int64_t unix_ms =
      kStartUnixMs + this->now.time_since_epoch().count() / 1000;
  this->Step(host, SetLogClock{unix_ms});
  this->Step(host, LoadShards{});
  this->TickLoop(host, state.incarnation);
}

void LogSimulation::TickLoop(std::size_t host, int incarnation) {
  if (this->hosts[host].incarnation != incarnation) {
    return;
  }
  this->RunOnHost(host, [this, host] {
    if (this->hosts[host].log->NextWakeup() <= this->now) {
      this->Step(host, LogTick{});
    }
  });
  this->Schedule(this->now + kTickInterval, [this, host, incarnation] {
    this->TickLoop(host, incarnation);
  });
}

void LogSimulation::InjectRandomFaults() {
  const std::size_t host = this->random.Below(this->hosts.size());
  if (this->Chance(this->options.crash)) {
    this->Schedule(this->now + this->RandomMillis(0, 60),
                   [this, host] { this->Restart(host); });
  }
  if (this->Chance(this->options.freeze)) {
    const Duration length = this->RandomMillis(10, 9000);
    this->Schedule(this->now + this->RandomMillis(0, 60), [this, host, length] {
      this->hosts[host].frozen_until = this->now + length;
    });
  }
  if (this->Chance(this->options.outage)) {
    this->outage_until = this->now + this->RandomMillis(100, 6000);
  }
}

void LogSimulation::InjectFault() {
  switch (this->options.fault) {
    case InjectedFault::kNone:
      break;
    case InjectedFault::kCrash:
      this->Restart(0);
      break;
    case InjectedFault::kFreeze:
      this->hosts[0].frozen_until = this->now + std::chrono::seconds(5);
      break;
    case InjectedFault::kOutage:
      this->outage_until = this->now + std::chrono::seconds(5);
      break;
    case InjectedFault::kLostAfter:
    case InjectedFault::kLostBefore:
      this->next_operation = this->options.fault;
      break;
  }
}

void LogSimulation::SendAttempt(std::size_t host) {
  OrderAttempt attempt;
  attempt.key = "k" + std::to_string(this->random.Below(
                          static_cast<std::uint64_t>(this->options.keys)));
  attempt.body = this->Chance(0.08) ? "other" : "body";
  this->Send(host, std::move(attempt));
}

void LogSimulation::SendFinalAttempts() {
  this->Restart(0);
  for (std::size_t host = 0; host < this->hosts.size(); ++host) {
    OrderAttempt attempt;
    attempt.after_faults = true;
    attempt.body = "body";
    attempt.key = "fresh" + std::to_string(host);
    this->Send(host, attempt);
    for (int key = 0; key < this->options.keys; ++key) {
      attempt.key = "k" + std::to_string(key);
      this->Send(host, attempt);
    }
  }
}

void LogSimulation::Send(std::size_t host, OrderAttempt attempt) {
  attempt.sent = this->now;
  bool first = true;
  for (const OrderAttempt& earlier : this->history.attempts) {
    first = first && earlier.key != attempt.key;
  }
  if (this->options.defect == DeliberateDefect::kAlwaysFirstAttempt) {
    first = true;
  }
  const std::size_t index = this->history.attempts.size();
  this->history.attempts.push_back(attempt);
  const RequestId request{++this->next_request};
  this->hosts[host].attempts[request] = index;
  ClaimKey claim;
  claim.request = request;
  claim.organisation = {"swan"};
  claim.key = attempt.key;
  claim.body_digest = attempt.body;
  claim.deadline = this->now + this->RandomMillis(500, 10000);
  claim.attempt = first ? ClaimAttempt::kFirst : ClaimAttempt::kMaybeRepeated;
  const Instant abandon_at = this->now + this->RandomMillis(1, 300);
  this->RunOnHost(host, [this, host, claim] {
    this->Step(host, claim);
    if (this->options.defect == DeliberateDefect::kDispatchBeforePersisted) {
      this->Dispatch(host, claim.request);
    }
  });
  if (this->options.defect == DeliberateDefect::kEarlyNotRun) {
    this->Schedule(this->now + this->RandomMillis(1, 30), [this, index] {
      if (this->history.attempts[index].responses == 0) {
        this->Respond(index, ResponseKind::kProblem, "",
                      Problem{ErrorCode::kIdempotencyLogUnavailable,
                              Outcome::kNotRun,
                              "",
                              {}});
      }
    });
  } else if (!attempt.after_faults && this->Chance(0.1)) {
    this->Schedule(abandon_at, [this, host, request, index] {
      this->RunOnHost(host, [this, host, request, index] {
        Host& state = this->hosts[host];
        const bool open =
            state.attempts.count(request) > 0 &&
            this->history.attempts[index].upstream_arrivals.empty();
        if (open && this->history.attempts[index].responses == 0) {
          // The caller has left.
          this->history.attempts[index].host_crashed = true;
          this->Step(host, AbandonClaim{request});
        }
      });
    });
  }
}

void LogSimulation::Step(std::size_t host, const LogMessage& message) {
  const bool tick = std::holds_alternative<LogTick>(message);
  if (!tick && !this->faults_over &&
      ++this->events == this->options.fault_at_event) {
    this->Schedule(this->now, [this] { this->InjectFault(); });
  }
  const LogActions actions = this->hosts[host].log->Step(this->now, message);
  for (const LogAction& action : actions) {
    this->ExecuteAction(host, action);
  }
}

void LogSimulation::Reply(std::size_t host, LogOperationResult result,
                          Duration after) {
  const int incarnation = this->hosts[host].incarnation;
  this->Schedule(this->now + after, [this, host, incarnation, result] {
    if (this->hosts[host].incarnation != incarnation) {
      return;
    }
    this->RunOnHost(host, [this, host, result] { this->Step(host, result); });
  });
}

void LogSimulation::RunOperation(std::size_t host, LogOperationId operation,
                                 std::function<LogOperationResult()> effect,
                                 bool writes) {
  const bool unavailable = this->now < this->outage_until && !this->faults_over;
  const bool refused =
      !this->faults_over && this->Chance(this->options.unavailable);
  if (unavailable || refused) {
    this->Reply(host, {operation, LogOperationStatus::kUnavailable, "", {}},
                this->RandomMillis(1, 20));
    return;
  }
  const InjectedFault pending =
      std::exchange(this->next_operation, InjectedFault::kNone);
  const InjectedFault fault =
      this->faults_over ? InjectedFault::kNone : pending;
  const bool lost = fault != InjectedFault::kNone ||
                    (!this->faults_over && this->Chance(this->options.lost));
  const bool late = !this->faults_over && this->Chance(this->options.late);
  const bool no_effect =
      fault == InjectedFault::kLostBefore ||
      (fault == InjectedFault::kNone && lost && this->Chance(0.5));
  Duration delay = this->RandomMillis(1, 15);
  if (late) {
    delay = this->RandomMillis(1000, 15000);
  }
  const bool timed_out = delay > kCallTimeout;
  const int incarnation = this->hosts[host].incarnation;
  if (!no_effect && (writes || !timed_out)) {
    this->Schedule(this->now + delay, [=, started_incarnation = incarnation] {
      LogOperationResult result = effect();
      result.operation = operation;
      const bool report_created =
          (this->options.defect == DeliberateDefect::kExistsAsCreated &&
           result.status == LogOperationStatus::kExists);
      if (report_created) {
        result.status = LogOperationStatus::kCreated;
      }
      if (!lost && !timed_out &&
          this->hosts[host].incarnation == started_incarnation) {
        this->Reply(host, result, this->RandomMillis(1, 15));
      }
    });
  }
  if (lost || timed_out) {
    const bool report_created =
        writes && this->options.defect == DeliberateDefect::kLostAsCreated;
    this->Reply(host,
                {operation,
                 report_created ? LogOperationStatus::kCreated
                                : LogOperationStatus::kLost,
                 "",
                 {}},
                kCallTimeout);
  }
}

void LogSimulation::ExecuteAction(std::size_t host, const LogAction& action) {
  if (const auto* create = std::get_if<LogCreate>(&action)) {
    this->RunOperation(
        host, create->operation,
        [this, name = create->name, bytes = create->bytes] {
          LogOperationResult result;
          const bool made = this->objects.emplace(name, bytes).second;
          result.status =
              made ? LogOperationStatus::kCreated : LogOperationStatus::kExists;
          return result;
        },
        true);
  } else if (const auto* read = std::get_if<LogRead>(&action)) {
    this->RunOperation(
        host, read->operation,
        [this, name = read->name] {
          LogOperationResult result;
          const auto found = this->objects.find(name);
          const bool there = found != this->objects.end();
          result.status =
              there ? LogOperationStatus::kFound : LogOperationStatus::kAbsent;
          result.bytes = there ? found->second : "";
          return result;
        },
        false);
  } else if (const auto* list = std::get_if<LogList>(&action)) {
    const bool hide_floors =
        this->options.defect == DeliberateDefect::kNoFloorCheck &&
        list->prefix.rfind("log-floor/", 0) == 0;
    this->RunOperation(
        host, list->operation,
        [this, prefix = list->prefix, hide_floors] {
          LogOperationResult result;
          result.status = LogOperationStatus::kListed;
          for (auto it = this->objects.lower_bound(prefix);
               !hide_floors && it != this->objects.end() &&
               it->first.rfind(prefix, 0) == 0;
               ++it) {
            result.names.push_back(it->first);
          }
          return result;
        },
        false);
  } else if (const auto* erase = std::get_if<LogDelete>(&action)) {
    this->RunOperation(
        host, erase->operation,
        [this, name = erase->name] {
          this->objects.erase(name);
          return LogOperationResult{{}, LogOperationStatus::kDeleted, "", {}};
        },
        true);
  } else if (const auto* dispatch = std::get_if<DispatchClaim>(&action)) {
    this->Dispatch(host, dispatch->request);
  } else if (const auto* replay = std::get_if<ReplayOutcome>(&action)) {
    this->Respond(this->hosts[host].attempts.at(replay->request),
                  ResponseKind::kReplay, replay->outcome.body, std::nullopt);
  } else if (const auto* kept = std::get_if<OutcomeRecorded>(&action)) {
    OrderAttempt& attempt_record =
        this->history.attempts[this->hosts[host].attempts.at(kept->request)];
    attempt_record.recorded =
        attempt_record.response == ResponseKind::kOutcome &&
        attempt_record.responses > 0;
  } else if (const auto* refusal = std::get_if<RefuseClaim>(&action)) {
    this->Respond(this->hosts[host].attempts.at(refusal->request),
                  ResponseKind::kProblem, "", refusal->problem);
  }
}

void LogSimulation::Respond(std::size_t attempt, ResponseKind kind,
                            const std::string& outcome,
                            const std::optional<Problem>& problem) {
  OrderAttempt& record = this->history.attempts[attempt];
  ++record.responses;
  record.response = kind;
  record.outcome_body = outcome;
  record.problem = problem;
  record.responded_at = this->now;
}

void LogSimulation::Dispatch(std::size_t host, RequestId request) {
  const auto found = this->hosts[host].attempts.find(request);
  if (found == this->hosts[host].attempts.end()) {
    return;
  }
  const std::size_t attempt = found->second;
  if (this->Chance(kUpstreamRefusalRate)) {
    if (this->history.attempts[attempt].responses == 0) {
      this->Respond(
          attempt, ResponseKind::kProblem, "",
          Problem{ErrorCode::kUpstreamUnreachable, Outcome::kNotRun, "", {}});
    }
    this->Step(host, RecordNotRun{request});
    return;
  }
  this->SendUpstream(host, request, attempt);
}

void LogSimulation::SendUpstream(std::size_t host, RequestId request,
                                 std::size_t attempt) {
  const int incarnation = this->hosts[host].incarnation;
  this->Schedule(this->now + this->RandomMillis(0, 20), [this, attempt] {
    this->history.attempts[attempt].upstream_arrivals.push_back(this->now);
  });
  const bool cut = this->Chance(kUpstreamCutRate);
  this->Schedule(
      this->now + this->RandomMillis(21, 800),
      [this, host, request, attempt, incarnation, cut] {
        if (this->hosts[host].incarnation != incarnation) {
          return;
        }
        this->RunOnHost(host, [this, host, request, attempt, cut] {
          const OrderAttempt& attempt_record = this->history.attempts[attempt];
          if (cut) {
            if (this->options.defect == DeliberateDefect::kRetryAfterSend) {
              this->SendUpstream(host, request, attempt);
              return;
            }
            this->Respond(
                attempt, ResponseKind::kProblem, "",
                Problem{ErrorCode::kUpstreamCut, Outcome::kUnknown, "", {}});
            this->Step(host, RecordUnknown{request});
            return;
          }
          StoredOutcome outcome;
          outcome.status = 200;
          outcome.body = attempt_record.key + "/" + attempt_record.body + "/" +
                         std::to_string(attempt);
          this->Respond(attempt, ResponseKind::kOutcome, outcome.body,
                        std::nullopt);
          this->Step(host, RecordOutcome{request, outcome});
        });
      });
}

}  // namespace limpetlink
