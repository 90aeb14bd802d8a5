#include "idempotency/tests/log_world.h"

#include <utility>

namespace limpetlink {
namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(2);
constexpr Duration kTickEvery = std::chrono::milliseconds(50);
constexpr Duration kRunFor = std::chrono::seconds(20);
constexpr Duration kSettleFor = std::chrono::seconds(60);
constexpr std::int64_t kStartUnixMs = 1800000000000;
constexpr double kUpstreamRefuses = 0.15;
constexpr double kUpstreamCuts = 0.2;

}  // namespace

LogWorld::LogWorld(WorldOptions options)
    : options(options), random(options.seed) {
  this->hosts.resize(static_cast<std::size_t>(options.hosts));
}

bool LogWorld::Chance(double chance) {
  return this->random.Fraction() < chance;
}

Duration LogWorld::Millis(std::uint64_t low, std::uint64_t high) {
  return std::chrono::milliseconds(low + this->random.Below(high - low + 1));
}

void LogWorld::At(Instant when, Task task) {
  this->tasks.emplace(std::pair(when, this->next_task++), std::move(task));
}

void LogWorld::OnHost(std::size_t host, Task task) {
  Host& state = this->hosts[host];
  if (this->now < state.frozen_until) {
    const int start = state.start;
    this->At(state.frozen_until, [this, host, start, task = std::move(task)] {
      if (this->hosts[host].start == start) {
        this->OnHost(host, task);
      }
    });
    return;
  }
  task();
}

void LogWorld::Run() {
  for (std::size_t host = 0; host < this->hosts.size(); ++host) {
    this->Restart(host);
  }
  for (int i = 0; i < this->options.attempts; ++i) {
    this->At(this->now + this->Millis(0, 20000), [this] {
      this->SendAttempt(this->random.Below(this->hosts.size()));
      this->Disturb();
    });
  }
  const Instant heal = this->now + kRunFor;
  const Instant end = heal + kSettleFor;
  this->At(heal + kSettleFor / 2, [this] { this->SendFinal(); });
  while (!this->tasks.empty() && this->tasks.begin()->first.first < end) {
    auto node = this->tasks.extract(this->tasks.begin());
    this->now = node.key().first;
    this->healed = this->now >= heal;
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

void LogWorld::Restart(std::size_t host) {
  Host& state = this->hosts[host];
  for (const auto& [request, attempt] : state.attempts) {
    this->history.attempts[attempt].host_crashed = true;
  }
  state.attempts.clear();
  ++state.start;
  state.frozen_until = this->now;
  LogOptions log;
  log.writer = "h" + std::to_string(host) + "." + std::to_string(state.start);
  log.shards = 1;
  log.segments_per_checkpoint = 3;
  log.sealed_part_bytes = 600;
  state.log = std::make_unique<IdempotencyLog>(log);
  const std::int64_t unix_ms =
      kStartUnixMs + this->now.time_since_epoch().count() / 1000;
  this->Step(host, SetLogClock{unix_ms});
  this->Step(host, LoadShards{});
  this->TickLoop(host, state.start);
}

void LogWorld::TickLoop(std::size_t host, int start) {
  if (this->hosts[host].start != start) {
    return;
  }
  this->OnHost(host, [this, host] {
    if (this->hosts[host].log->NextWakeup() <= this->now) {
      this->Step(host, LogTick{});
    }
  });
  this->At(this->now + kTickEvery,
           [this, host, start] { this->TickLoop(host, start); });
}

void LogWorld::Disturb() {
  const std::size_t host = this->random.Below(this->hosts.size());
  if (this->Chance(this->options.crash)) {
    this->At(this->now + this->Millis(0, 60),
             [this, host] { this->Restart(host); });
  }
  if (this->Chance(this->options.freeze)) {
    const Duration length = this->Millis(10, 9000);
    this->At(this->now + this->Millis(0, 60), [this, host, length] {
      this->hosts[host].frozen_until = this->now + length;
    });
  }
  if (this->Chance(this->options.outage)) {
    this->outage_until = this->now + this->Millis(100, 6000);
  }
}

void LogWorld::PutFault() {
  switch (this->options.fault) {
    case StepFault::kNone:
      break;
    case StepFault::kCrash:
      this->Restart(0);
      break;
    case StepFault::kFreeze:
      this->hosts[0].frozen_until = this->now + std::chrono::seconds(5);
      break;
    case StepFault::kOutage:
      this->outage_until = this->now + std::chrono::seconds(5);
      break;
    case StepFault::kLostAfter:
    case StepFault::kLostBefore:
      this->next_operation = this->options.fault;
      break;
  }
}

void LogWorld::SendAttempt(std::size_t host) {
  OrderAttempt attempt;
  attempt.key = "k" + std::to_string(this->random.Below(
                          static_cast<std::uint64_t>(this->options.keys)));
  attempt.body = this->Chance(0.08) ? "other" : "body";
  this->Send(host, std::move(attempt));
}

void LogWorld::SendFinal() {
  this->Restart(0);
  for (std::size_t host = 0; host < this->hosts.size(); ++host) {
    OrderAttempt attempt;
    attempt.final = true;
    attempt.body = "body";
    attempt.key = "fresh" + std::to_string(host);
    this->Send(host, attempt);
    for (int key = 0; key < this->options.keys; ++key) {
      attempt.key = "k" + std::to_string(key);
      this->Send(host, attempt);
    }
  }
}

void LogWorld::Send(std::size_t host, OrderAttempt attempt) {
  attempt.sent = this->now;
  bool first = true;
  for (const OrderAttempt& earlier : this->history.attempts) {
    first = first && earlier.key != attempt.key;
  }
  if (this->options.broken == BrokenRule::kClaimsFirst) {
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
  claim.deadline = this->now + this->Millis(500, 10000);
  claim.attempt = first ? ClaimAttempt::kFirst : ClaimAttempt::kMaybeRepeated;
  const Instant leaves = this->now + this->Millis(1, 300);
  this->OnHost(host, [this, host, claim] {
    this->Step(host, claim);
    if (this->options.broken == BrokenRule::kDispatchBeforeDurable) {
      this->Dispatch(host, claim.request);
    }
  });
  if (this->options.broken == BrokenRule::kEarlyNotRun) {
    this->At(this->now + this->Millis(1, 30), [this, index] {
      if (this->history.attempts[index].answers == 0) {
        this->Tell(index, ToldKind::kProblem, "",
                   Problem{ErrorCode::kIdempotencyLogUnavailable,
                           Outcome::kNotRun,
                           "",
                           {}});
      }
    });
  } else if (!attempt.final && this->Chance(0.1)) {
    this->At(leaves, [this, host, request, index] {
      this->OnHost(host, [this, host, request, index] {
        Host& state = this->hosts[host];
        const bool open = state.attempts.count(request) > 0 &&
                          this->history.attempts[index].seen_upstream.empty();
        if (open && this->history.attempts[index].answers == 0) {
          this->history.attempts[index].host_crashed = true;  // nobody listens
          this->Step(host, AbandonClaim{request});
        }
      });
    });
  }
}

void LogWorld::Step(std::size_t host, const LogMessage& message) {
  const bool tick = std::holds_alternative<LogTick>(message);
  if (!tick && !this->healed &&
      ++this->events == this->options.fault_at_event) {
    this->At(this->now, [this] { this->PutFault(); });
  }
  const LogActions actions = this->hosts[host].log->Step(this->now, message);
  for (const LogAction& action : actions) {
    this->Carry(host, action);
  }
}

void LogWorld::Reply(std::size_t host, LogOperationResult result,
                     Duration after) {
  const int start = this->hosts[host].start;
  this->At(this->now + after, [this, host, start, result] {
    if (this->hosts[host].start != start) {
      return;
    }
    this->OnHost(host, [this, host, result] { this->Step(host, result); });
  });
}

void LogWorld::Operate(std::size_t host, LogOperationId operation,
                       std::function<LogOperationResult()> effect,
                       bool writes) {
  const bool away = this->now < this->outage_until && !this->healed;
  const bool refused = !this->healed && this->Chance(this->options.unavailable);
  if (away || refused) {
    this->Reply(host, {operation, LogOperationStatus::kUnavailable, "", {}},
                this->Millis(1, 20));
    return;
  }
  const StepFault pending =
      std::exchange(this->next_operation, StepFault::kNone);
  const StepFault fault = this->healed ? StepFault::kNone : pending;
  const bool lost = fault != StepFault::kNone ||
                    (!this->healed && this->Chance(this->options.lost));
  const bool late = !this->healed && this->Chance(this->options.late);
  const bool no_effect =
      fault == StepFault::kLostBefore ||
      (fault == StepFault::kNone && lost && this->Chance(0.5));
  Duration until = this->Millis(1, 15);
  if (late) {
    until = this->Millis(1000, 15000);
  }
  const bool timed_out = until > kCallTimeout;
  const int start = this->hosts[host].start;
  if (!no_effect && (writes || !timed_out)) {
    this->At(this->now + until, [=, this_start = start] {
      LogOperationResult result = effect();
      result.operation = operation;
      const bool lie = (this->options.broken == BrokenRule::kExistsIsCreated &&
                        result.status == LogOperationStatus::kExists);
      if (lie) {
        result.status = LogOperationStatus::kCreated;
      }
      if (!lost && !timed_out && this->hosts[host].start == this_start) {
        this->Reply(host, result, this->Millis(1, 15));
      }
    });
  }
  if (lost || timed_out) {
    const bool lie =
        writes && this->options.broken == BrokenRule::kLostIsCreated;
    this->Reply(host,
                {operation,
                 lie ? LogOperationStatus::kCreated : LogOperationStatus::kLost,
                 "",
                 {}},
                kCallTimeout);
  }
}

void LogWorld::Carry(std::size_t host, const LogAction& action) {
  if (const auto* create = std::get_if<LogCreate>(&action)) {
    this->Operate(
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
    this->Operate(
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
    const bool blind = this->options.broken == BrokenRule::kNoFloorCheck &&
                       list->prefix.rfind("log-floor/", 0) == 0;
    this->Operate(
        host, list->operation,
        [this, prefix = list->prefix, blind] {
          LogOperationResult result;
          result.status = LogOperationStatus::kListed;
          for (auto it = this->objects.lower_bound(prefix);
               !blind && it != this->objects.end() &&
               it->first.rfind(prefix, 0) == 0;
               ++it) {
            result.names.push_back(it->first);
          }
          return result;
        },
        false);
  } else if (const auto* erase = std::get_if<LogDelete>(&action)) {
    this->Operate(
        host, erase->operation,
        [this, name = erase->name] {
          this->objects.erase(name);
          return LogOperationResult{{}, LogOperationStatus::kDeleted, "", {}};
        },
        true);
  } else if (const auto* dispatch = std::get_if<DispatchClaim>(&action)) {
    this->Dispatch(host, dispatch->request);
  } else if (const auto* replay = std::get_if<ReplayOutcome>(&action)) {
    this->Tell(this->hosts[host].attempts.at(replay->request),
               ToldKind::kReplay, replay->outcome.body, std::nullopt);
  } else if (const auto* kept = std::get_if<OutcomeRecorded>(&action)) {
    OrderAttempt& order =
        this->history.attempts[this->hosts[host].attempts.at(kept->request)];
    order.recorded = order.told == ToldKind::kOutcome && order.answers > 0;
  } else if (const auto* refusal = std::get_if<RefuseClaim>(&action)) {
    this->Tell(this->hosts[host].attempts.at(refusal->request),
               ToldKind::kProblem, "", refusal->problem);
  }
}

void LogWorld::Tell(std::size_t attempt, ToldKind kind,
                    const std::string& outcome,
                    const std::optional<Problem>& problem) {
  OrderAttempt& told = this->history.attempts[attempt];
  ++told.answers;
  told.told = kind;
  told.outcome_body = outcome;
  told.problem = problem;
  told.told_at = this->now;
}

void LogWorld::Dispatch(std::size_t host, RequestId request) {
  const auto found = this->hosts[host].attempts.find(request);
  if (found == this->hosts[host].attempts.end()) {
    return;
  }
  const std::size_t attempt = found->second;
  if (this->Chance(kUpstreamRefuses)) {
    if (this->history.attempts[attempt].answers == 0) {
      this->Tell(
          attempt, ToldKind::kProblem, "",
          Problem{ErrorCode::kUpstreamUnreachable, Outcome::kNotRun, "", {}});
    }
    this->Step(host, RecordNotRun{request});
    return;
  }
  this->Upstream(host, request, attempt);
}

void LogWorld::Upstream(std::size_t host, RequestId request,
                        std::size_t attempt) {
  const int start = this->hosts[host].start;
  this->At(this->now + this->Millis(0, 20), [this, attempt] {
    this->history.attempts[attempt].seen_upstream.push_back(this->now);
  });
  const bool cut = this->Chance(kUpstreamCuts);
  this->At(this->now + this->Millis(21, 800), [this, host, request, attempt,
                                               start, cut] {
    if (this->hosts[host].start != start) {
      return;
    }
    this->OnHost(host, [this, host, request, attempt, cut] {
      const OrderAttempt& order = this->history.attempts[attempt];
      if (cut) {
        if (this->options.broken == BrokenRule::kRetryAfterSend) {
          this->Upstream(host, request, attempt);
          return;
        }
        this->Tell(attempt, ToldKind::kProblem, "",
                   Problem{ErrorCode::kUpstreamCut, Outcome::kUnknown, "", {}});
        this->Step(host, RecordUnknown{request});
        return;
      }
      StoredOutcome outcome;
      outcome.status = 200;
      outcome.body =
          order.key + "/" + order.body + "/" + std::to_string(attempt);
      this->Tell(attempt, ToldKind::kOutcome, outcome.body, std::nullopt);
      this->Step(host, RecordOutcome{request, outcome});
    });
  });
}

}  // namespace limpetlink
