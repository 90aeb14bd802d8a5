#include "idempotency/detail/idempotency_log.h"

#include <algorithm>
#include <utility>

namespace limpetlink {

IdempotencyLog::IdempotencyLog(LogOptions options)
    : options(std::move(options)) {
  this->options.shards = std::max<std::uint32_t>(1, this->options.shards);
  this->shards.reserve(this->options.shards);
  for (std::uint32_t i = 0; i < this->options.shards; ++i) {
    this->shards.emplace_back(i, this->options.segments_per_checkpoint);
  }
}

LogActions IdempotencyLog::Step(Instant now, const LogMessage& message) {
  LogActions out;
  std::int64_t unix_ms = this->clock_ms;
  if (unix_ms != 0) {
    unix_ms += std::chrono::duration_cast<std::chrono::milliseconds>(
                   now - this->clock_at)
                   .count();
  }
  LogContext context{now, unix_ms, this->options, this->counter, out};
  std::visit([&](const auto& content) { this->Handle(context, content); },
             message);
  return out;
}

std::uint32_t IdempotencyLog::ShardOf(const KeyDigest& key) const {
  return static_cast<std::uint32_t>(StableHash(key.value) %
                                    this->options.shards);
}

std::uint32_t IdempotencyLog::ShardOf(const OrganisationId& organisation,
                                      std::string_view key) const {
  return this->ShardOf(DigestKey(organisation, key));
}

LogShard* IdempotencyLog::ShardOfRequest(RequestId request) {
  const auto found = this->requests.find(request);
  return found == this->requests.end() ? nullptr : &this->shards[found->second];
}

void IdempotencyLog::TrackActions(const LogActions& actions, std::size_t from,
                                  std::uint32_t shard) {
  for (std::size_t i = from; i < actions.size(); ++i) {
    const LogAction& action = actions[i];
    if (const auto* create = std::get_if<LogCreate>(&action)) {
      this->operations[create->operation] = shard;
    } else if (const auto* read = std::get_if<LogRead>(&action)) {
      this->operations[read->operation] = shard;
    } else if (const auto* list = std::get_if<LogList>(&action)) {
      this->operations[list->operation] = shard;
    } else if (const auto* replay = std::get_if<ReplayOutcome>(&action)) {
      this->requests.erase(replay->request);
    } else if (const auto* recorded = std::get_if<OutcomeRecorded>(&action)) {
      this->requests.erase(recorded->request);
    } else if (const auto* refusal = std::get_if<RefuseClaim>(&action)) {
      this->requests.erase(refusal->request);
    }
  }
}

void IdempotencyLog::Handle(LogContext& context, const ClaimKey& message) {
  const KeyDigest key = DigestKey(message.organisation, message.key);
  const std::uint32_t shard = this->ShardOf(key);
  this->requests[message.request] = shard;
  this->shards[shard].Claim(context, message, key);
  this->TrackActions(context.out, 0, shard);
}

void IdempotencyLog::Handle(LogContext& context, const AbandonClaim& message) {
  if (LogShard* shard = this->ShardOfRequest(message.request)) {
    const std::uint32_t index = this->requests.at(message.request);
    shard->Abandon(context, message.request);
    this->TrackActions(context.out, 0, index);
    this->requests.erase(message.request);
  }
}

void IdempotencyLog::Handle(LogContext& context, const RecordOutcome& message) {
  if (LogShard* shard = this->ShardOfRequest(message.request)) {
    const std::uint32_t index = this->requests.at(message.request);
    shard->StoreOutcome(context, message.request, message.outcome);
    this->TrackActions(context.out, 0, index);
  }
}

void IdempotencyLog::Handle(LogContext& context, const RecordNotRun& message) {
  if (LogShard* shard = this->ShardOfRequest(message.request)) {
    const std::uint32_t index = this->requests.at(message.request);
    shard->Withdraw(context, message.request);
    this->TrackActions(context.out, 0, index);
  }
}

void IdempotencyLog::Handle(LogContext& context, const RecordUnknown& message) {
  if (LogShard* shard = this->ShardOfRequest(message.request)) {
    const std::uint32_t index = this->requests.at(message.request);
    shard->MarkUnknown(context, message.request);
    this->TrackActions(context.out, 0, index);
  }
}

void IdempotencyLog::Handle(LogContext& context,
                            const LogOperationResult& message) {
  const auto found = this->operations.find(message.operation);
  if (found == this->operations.end()) {
    return;
  }
  const std::uint32_t shard = found->second;
  this->operations.erase(found);
  this->shards[shard].HandleResult(context, message);
  this->TrackActions(context.out, 0, shard);
}

void IdempotencyLog::Handle(LogContext& context, const SetLogClock& message) {
  this->clock_ms = message.unix_milliseconds;
  this->clock_at = context.now;
}

void IdempotencyLog::Handle(LogContext& context, const LoadShards& message) {
  std::vector<std::uint32_t> requested = message.shards;
  if (requested.empty()) {
    for (std::uint32_t i = 0; i < this->options.shards; ++i) {
      requested.push_back(i);
    }
  }
  for (const std::uint32_t index : requested) {
    const std::size_t from = context.out.size();
    this->shards.at(index).Load(context);
    this->TrackActions(context.out, from, index);
  }
}

void IdempotencyLog::Handle(LogContext& context, const LogTick&) {
  for (std::uint32_t i = 0; i < this->options.shards; ++i) {
    const std::size_t from = context.out.size();
    this->shards[i].Tick(context);
    this->TrackActions(context.out, from, i);
  }
}

Instant IdempotencyLog::NextWakeup() const {
  Instant next = kNever;
  for (const LogShard& shard : this->shards) {
    next = std::min(next, shard.NextWakeup());
  }
  return next;
}

bool IdempotencyLog::Idle() const {
  return std::all_of(this->shards.begin(), this->shards.end(),
                     [](const LogShard& shard) { return shard.Idle(); });
}

std::uint32_t IdempotencyLog::UnavailableShards() const {
  return static_cast<std::uint32_t>(
      std::count_if(this->shards.begin(), this->shards.end(),
                    [](const LogShard& shard) { return shard.Unavailable(); }));
}

LogCounts IdempotencyLog::Counts() const {
  LogCounts sum;
  for (const LogShard& shard : this->shards) {
    const LogCounts& part = shard.Counts();
    sum.creates += part.creates;
    sum.reads += part.reads;
    sum.lists += part.lists;
    sum.deletes += part.deletes;
    sum.segments += part.segments;
    sum.records += part.records;
    sum.collisions += part.collisions;
    sum.lost_responses += part.lost_responses;
    sum.stale_views += part.stale_views;
    sum.checkpoints += part.checkpoints;
    sum.dispatched += part.dispatched;
    sum.replayed += part.replayed;
    sum.refused += part.refused;
  }
  return sum;
}

}  // namespace limpetlink
