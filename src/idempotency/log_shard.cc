#include "idempotency/detail/log_shard.h"

#include <algorithm>
#include <utility>

namespace limpetlink {
namespace {

constexpr Duration kInProgressRetry = std::chrono::seconds(1);
constexpr Duration kMinRetryAfter = std::chrono::seconds(1);

}  // namespace

LogShard::LogShard(std::uint32_t index, std::uint32_t segments_per_checkpoint)
    : index(index), segments_per_checkpoint(segments_per_checkpoint) {}

void LogShard::Claim(LogContext& context, const ClaimKey& claim,
                     const KeyDigest& key) {
  ClaimEntry entry;
  entry.request = claim.request;
  entry.key = key;
  entry.id = ClaimId{context.NextName()};
  entry.body_digest = claim.body_digest;
  entry.deadline = claim.deadline;
  entry.attempt = claim.attempt;
  entry.times_out_at = context.now + context.options.claim_timeout;
  entry.arrival = context.counter;
  this->claims.insert_or_assign(claim.request, std::move(entry));
  this->waiting.insert(claim.request);
  if (this->unavailable) {
    this->RefuseWaiting(context);
  }
  this->StartNextOperation(context);
}

void LogShard::Abandon(LogContext& context, RequestId request) {
  const auto found = this->claims.find(request);
  if (found == this->claims.end()) {
    return;
  }
  ClaimEntry& claim = found->second;
  if (claim.phase == ClaimPhase::kWaiting ||
      claim.phase == ClaimPhase::kWriting) {
    claim.cancelled = true;
  }
  this->StartNextOperation(context);
}

LogShard::ClaimEntry* LogShard::FindDispatched(RequestId request) {
  const auto found = this->claims.find(request);
  const bool dispatched = found != this->claims.end() &&
                          found->second.phase == ClaimPhase::kDispatched;
  return dispatched ? &found->second : nullptr;
}

void LogShard::StoreOutcome(LogContext& context, RequestId request,
                            StoredOutcome outcome) {
  ClaimEntry* claim = this->FindDispatched(request);
  if (claim == nullptr) {
    return;
  }
  if (outcome.body.size() > context.options.max_body_bytes) {
    outcome.body.clear();
    outcome.body_stored = false;
  }
  claim->phase = ClaimPhase::kClosing;
  this->QueueRecord(
      OutcomeRecord{claim->key, claim->id, context.unix_ms, std::move(outcome)},
      request, true);
  this->StartNextOperation(context);
}

void LogShard::Withdraw(LogContext& context, RequestId request) {
  ClaimEntry* claim = this->FindDispatched(request);
  if (claim == nullptr) {
    return;
  }
  claim->phase = ClaimPhase::kClosing;
  claim->cancelled = true;
  this->QueueRecord(WithdrawRecord{claim->key, claim->id, context.unix_ms},
                    request, true);
  this->StartNextOperation(context);
}

void LogShard::MarkUnknown(LogContext& context, RequestId request) {
  if (this->FindDispatched(request) == nullptr) {
    return;
  }
  this->Remove(request);
  context.out.emplace_back(OutcomeRecorded{request});
}

void LogShard::QueueRecord(LogRecord record, RequestId request, bool notify) {
  this->records.push_back({std::move(record), request, notify});
}

void LogShard::Remove(RequestId request) {
  const auto found = this->claims.find(request);
  if (found == this->claims.end()) {
    return;
  }
  const auto holder = this->active_claims.find(found->second.key);
  if (holder != this->active_claims.end() && holder->second == request) {
    this->active_claims.erase(holder);
  }
  this->waiting.erase(request);
  this->claims.erase(found);
}

bool LogShard::IsExpired(const LogContext& context,
                         const KeyEntry& entry) const {
  return entry.at_ms + context.options.retention.count() < context.unix_ms;
}

LogShard::Requirement LogShard::Decide(LogContext& context, ClaimEntry& claim) {
  const KeyEntry* entry = this->table.Find(claim.key);
  const bool own = entry != nullptr && entry->state == KeyState::kPending &&
                   entry->claim == claim.id;
  if (own) {
    const bool genuine =
        this->loaded && this->verified_sequence == this->next_sequence;
    if (!genuine) {
      return Requirement::kTailRead;
    }
    this->Grant(context, claim);
    return Requirement::kNone;
  }
  if (claim.cancelled) {
    this->Remove(claim.request);
    return Requirement::kNone;
  }
  const auto holder = this->active_claims.find(claim.key);
  if (holder != this->active_claims.end()) {
    this->DecideAgainstActive(context, claim, this->claims.at(holder->second));
    return Requirement::kNone;
  }
  if (entry == nullptr || entry->state == KeyState::kWithdrawn ||
      this->IsExpired(context, *entry)) {
    return Requirement::kWrite;
  }
  return this->DecideByEntry(context, claim, *entry);
}

void LogShard::DecideAgainstActive(LogContext& context, ClaimEntry& claim,
                                   const ClaimEntry& active) {
  if (active.cancelled) {
    // The claim is being withdrawn: its key may already be free and claimed by
    // another host.
    this->RefuseUnavailable(context, claim);
    return;
  }
  // Until the intent of the active claim is persisted, the state of the key is
  // unknown.
  const bool persisted = active.phase != ClaimPhase::kWriting;
  if (persisted && active.body_digest != claim.body_digest) {
    this->Refuse(context, claim, ErrorCode::kIdempotencyKeyReused,
                 Outcome::kNotRun, "another request with this key is running");
    return;
  }
  const StoredOutcome* outcome =
      persisted ? this->FindUnconfirmedOutcome(active.id) : nullptr;
  if (outcome != nullptr) {
    ++this->counts.replayed;
    context.out.push_back(ReplayOutcome{claim.request, *outcome});
    this->Remove(claim.request);
    return;
  }
  this->Refuse(context, claim, ErrorCode::kIdempotencyInProgress,
               Outcome::kUnknown, "a request with this key is in progress");
}

const StoredOutcome* LogShard::FindUnconfirmedOutcome(const ClaimId& id) const {
  const auto find_in = [&id](const auto& queued) -> const StoredOutcome* {
    for (const QueuedRecord& record : queued) {
      const auto* outcome_record = std::get_if<OutcomeRecord>(&record.record);
      if (outcome_record != nullptr && outcome_record->claim == id) {
        return &outcome_record->outcome;
      }
    }
    return nullptr;
  };
  const StoredOutcome* outcome = find_in(this->records);
  if (outcome == nullptr && this->write) {
    outcome = find_in(this->write->records);
  }
  return outcome;
}

LogShard::Requirement LogShard::DecideByEntry(LogContext& context,
                                              ClaimEntry& claim,
                                              const KeyEntry& entry) {
  const bool pending = entry.state == KeyState::kPending;
  if (pending && !claim.tail_confirmed) {
    return Requirement::kTailRead;  // the holder may have been withdrawn
  }
  if (entry.body_digest != claim.body_digest) {
    this->Refuse(context, claim, ErrorCode::kIdempotencyKeyReused,
                 Outcome::kNotRun, "the key was used with another request");
    return Requirement::kNone;
  }
  if (!pending) {
    ++this->counts.replayed;
    context.out.emplace_back(ReplayOutcome{claim.request, entry.outcome});
    this->Remove(claim.request);
    return Requirement::kNone;
  }
  this->Refuse(
      context, claim, ErrorCode::kIdempotencyOutcomeUnknown, Outcome::kUnknown,
      "a request with this key was dispatched and has no stored outcome");
  return Requirement::kNone;
}

void LogShard::Grant(LogContext& context, ClaimEntry& claim) {
  this->waiting.erase(claim.request);
  this->active_claims[claim.key] = claim.request;
  if (!claim.cancelled && context.now >= claim.deadline) {
    ++this->counts.refused;
    context.out.emplace_back(
        RefuseClaim{claim.request,
                    {ErrorCode::kRequestDeadlineReached,
                     Outcome::kNotRun,
                     "the deadline was reached before the request was sent",
                     {}}});
    claim.cancelled = true;
  }
  if (claim.cancelled) {
    this->Close(context, claim);
    return;
  }
  claim.phase = ClaimPhase::kDispatched;
  ++this->counts.dispatched;
  context.out.emplace_back(DispatchClaim{claim.request});
}

void LogShard::Close(LogContext& context, ClaimEntry& claim) {
  claim.phase = ClaimPhase::kClosing;
  this->QueueRecord(WithdrawRecord{claim.key, claim.id, context.unix_ms},
                    claim.request, false);
}

void LogShard::Refuse(LogContext& context, ClaimEntry& claim, ErrorCode code,
                      Outcome outcome, std::string_view detail) {
  ++this->counts.refused;
  const bool retryable = code != ErrorCode::kIdempotencyKeyReused;
  const Duration wait = std::max(kMinRetryAfter, this->retry_at - context.now);
  context.out.emplace_back(RefuseClaim{
      claim.request,
      {code, outcome, std::string(detail),
       retryable ? std::optional(code == ErrorCode::kIdempotencyLogUnavailable
                                     ? wait
                                     : kInProgressRetry)
                 : std::nullopt}});
  if (claim.phase == ClaimPhase::kWaiting) {
    this->Remove(claim.request);
  } else {
    claim.cancelled = true;
  }
}

void LogShard::RefuseUnavailable(LogContext& context, ClaimEntry& claim) {
  const bool first = claim.attempt == ClaimAttempt::kFirst;
  this->Refuse(context, claim, ErrorCode::kIdempotencyLogUnavailable,
               first ? Outcome::kNotRun : Outcome::kUnknown,
               first ? "this request was not sent"
                     : "this attempt was not sent; the log cannot be read to "
                       "tell whether an earlier one was");
}

void LogShard::RefuseWaiting(LogContext& context) {
  const std::set<RequestId> requests = this->waiting;
  for (const RequestId request : requests) {
    ClaimEntry& claim = this->claims.at(request);
    const Requirement requirement = this->Decide(context, claim);
    if (requirement == Requirement::kWrite) {
      this->RefuseUnavailable(context, claim);
    } else if (requirement == Requirement::kTailRead) {
      this->Refuse(context, claim, ErrorCode::kIdempotencyOutcomeUnknown,
                   Outcome::kUnknown,
                   "the key is claimed and its outcome cannot be read now");
    }
  }
}

void LogShard::RefuseTimedOut(LogContext& context) {
  std::vector<RequestId> candidates;
  for (const RequestId request : this->waiting) {
    candidates.push_back(request);
  }
  if (this->write) {
    candidates.insert(candidates.end(), this->write->claims.begin(),
                      this->write->claims.end());
  }
  for (const RequestId request : candidates) {
    const auto found = this->claims.find(request);
    if (found == this->claims.end()) {
      continue;
    }
    ClaimEntry& claim = found->second;
    if (!claim.cancelled && context.now >= claim.times_out_at) {
      this->RefuseUnavailable(context, claim);
    }
  }
}

void LogShard::Load(LogContext& context) {
  this->load_requested = true;
  this->StartNextOperation(context);
}

void LogShard::Tick(LogContext& context) {
  this->RefuseTimedOut(context);
  this->StartNextOperation(context);
}

Instant LogShard::NextWakeup() const {
  Instant next = kNever;
  for (const RequestId request : this->waiting) {
    next = std::min(next, this->claims.at(request).times_out_at);
  }
  if (this->write) {
    for (const RequestId request : this->write->claims) {
      const auto found = this->claims.find(request);
      if (found != this->claims.end() && !found->second.cancelled) {
        next = std::min(next, found->second.times_out_at);
      }
    }
  }
  if (this->operation != LogOperationId{}) {
    return next;
  }
  if (this->write || this->unavailable ||
      (!this->loaded && this->load_requested)) {
    next = std::min(next, this->retry_at);
  }
  const bool work = !this->waiting.empty() || !this->records.empty() ||
                    this->IsCompactionDue();
  if (work) {
    next = std::min(next, std::max(this->retry_at, this->next_write_at));
  }
  return next;
}

}  // namespace limpetlink
