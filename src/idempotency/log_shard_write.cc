#include <algorithm>
#include <iterator>
#include <utility>

#include "idempotency/detail/log_shard.h"

namespace limpetlink {
namespace {

// Estimated sizes in a segment; a record without the body of its outcome.
constexpr std::size_t kEstimatedIntentBytes = 200;
constexpr std::size_t kEstimatedRecordBytes = 120;

std::size_t EstimateSize(const LogRecord& record) {
  const auto* outcome = std::get_if<OutcomeRecord>(&record);
  if (outcome == nullptr) {
    return kEstimatedRecordBytes;
  }
  std::size_t size = kEstimatedRecordBytes + outcome->outcome.body.size();
  for (const StoredHeader& header : outcome->outcome.headers) {
    size += header.name.size() + header.value.size() + 4;
  }
  return size;
}

}  // namespace

void LogShard::StartWrite(LogContext& context,
                          const std::vector<RequestId>& requests) {
  Write write;
  std::size_t bytes = 0;
  const std::size_t max_bytes = context.options.max_segment_bytes;
  while (!this->records.empty() && bytes < max_bytes) {
    bytes += EstimateSize(this->records.front().record);
    write.segment.records.push_back(this->records.front().record);
    write.records.push_back(std::move(this->records.front()));
    this->records.pop_front();
  }
  for (const RequestId request : requests) {
    ClaimEntry& claim = this->claims.at(request);
    if (bytes >= max_bytes || this->active_claims.count(claim.key) > 0) {
      continue;
    }
    bytes += kEstimatedIntentBytes;
    claim.phase = ClaimPhase::kWriting;
    this->waiting.erase(request);
    this->active_claims[claim.key] = request;
    const KeyEntry* entry = this->table.Find(claim.key);
    write.segment.records.push_back(
        IntentRecord{claim.key, claim.id, claim.body_digest, context.unix_ms,
                     entry == nullptr ? ClaimId{} : entry->claim});
    write.claims.push_back(request);
  }
  write.segment.nonce = context.NextName();
  write.segment.checkpoint_sequence = this->checkpoint_sequence;
  this->write = std::move(write);
  this->CreateSegment(context);
}

void LogShard::CreateSegment(LogContext& context) {
  Write& write = *this->write;
  if (write.bytes.empty()) {
    write.sequence = this->next_sequence;
    write.bytes = EncodeSegment(write.segment);
    this->next_write_at = context.now + context.options.write_interval;
  }
  this->Create(context, Step::kCreating, this->SegmentName(write.sequence),
               write.bytes);
}

void LogShard::HandleCreated(LogContext& context,
                             const LogOperationResult& result) {
  if (result.status == LogOperationStatus::kCreated) {
    this->List(context, Step::kCheckingWrite, this->FloorPrefix());
    return;
  }
  this->Read(context, Step::kReadingBack,
             this->SegmentName(this->write->sequence));
}

void LogShard::HandleReadBack(LogContext& context,
                              const LogOperationResult& result) {
  if (result.status != LogOperationStatus::kFound) {
    this->CreateSegment(context);
    return;
  }
  const auto segment = DecodeSegment(result.bytes);
  if (!segment.ok()) {
    this->HandleWriteFailure(context, LogOperationStatus::kUnavailable);
    return;
  }
  if (segment->nonce == this->write->segment.nonce) {
    this->List(context, Step::kCheckingWrite, this->FloorPrefix());
    return;
  }
  ++this->counts.collisions;
  this->view_fresh_until = context.now;
  this->ApplySegment(*segment, result.bytes.size());
  this->last_segment_owned = false;
  this->RollBackWrite(context);
}

void LogShard::HandleWriteCheck(LogContext& context,
                                const LogOperationResult& result) {
  const std::uint64_t floor = this->UpdateFloors(result.names);
  if (floor <= this->verified_sequence) {
    this->ConfirmWrite(context);
    return;
  }
  // Sequence numbers that this view was read from had been freed by deletions
  // and may have been reused, so the shard is read again. A segment below the
  // floor is ignored by all hosts; one above it is valid, and the new view
  // shows what became of its records.
  ++this->counts.stale_views;
  if (floor > this->write->sequence) {
    this->Delete(context, this->SegmentName(this->write->sequence));
  }
  this->RollBackWrite(context);
  this->Unload();
}

void LogShard::ConfirmWrite(LogContext& context) {
  Write write = *std::move(this->write);
  this->write.reset();
  this->step = Step::kIdle;
  this->ApplySegment(write.segment, write.bytes.size());
  this->verified_sequence = this->next_sequence;
  this->last_segment_owned = true;
  this->MarkViewFresh(context);
  ++this->counts.segments;
  this->counts.records += write.segment.records.size();
  for (const RequestId request : write.claims) {
    ClaimEntry& claim = this->claims.at(request);
    claim.phase = ClaimPhase::kWaiting;
    this->active_claims.erase(claim.key);
    this->waiting.insert(request);
    this->Decide(context, claim);
  }
  for (const QueuedRecord& queued : write.records) {
    this->Remove(queued.request);
    if (queued.notify) {
      context.out.emplace_back(OutcomeRecorded{queued.request});
    }
  }
  if (write.segment.is_checkpoint) {
    ++this->counts.checkpoints;
    this->CreateFloor(context);
  }
}

void LogShard::RollBackWrite(LogContext& context) {
  Write write = *std::move(this->write);
  this->write.reset();
  this->step = Step::kIdle;
  this->next_write_at = context.now;
  for (const RequestId request : write.claims) {
    ClaimEntry& claim = this->claims.at(request);
    claim.phase = ClaimPhase::kWaiting;
    this->active_claims.erase(claim.key);
    this->waiting.insert(request);
  }
  this->records.insert(this->records.begin(),
                       std::make_move_iterator(write.records.begin()),
                       std::make_move_iterator(write.records.end()));
  if (write.segment.is_checkpoint) {
    this->AbortCompaction(context);
  }
}

void LogShard::HandleWriteFailure(LogContext& context,
                                  LogOperationStatus status) {
  Write& write = *this->write;
  if (this->step == Step::kCreating && status == LogOperationStatus::kLost) {
    write.uncertain = true;
    this->Read(context, Step::kReadingBack, this->SegmentName(write.sequence));
    return;
  }
  this->BackOff(context);
  const bool never_sent = this->step == Step::kCreating && !write.uncertain;
  if (never_sent) {
    this->RollBackWrite(context);
    this->RefuseWaiting(context);
    return;
  }
  this->RefuseWriting(context);
  this->RefuseWaiting(context);
}

void LogShard::RefuseWriting(LogContext& context) {
  for (const RequestId request : this->write->claims) {
    ClaimEntry& claim = this->claims.at(request);
    if (!claim.cancelled) {
      this->RefuseUnavailable(context, claim);
    }
  }
}

}  // namespace limpetlink
