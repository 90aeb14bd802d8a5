#include <algorithm>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_format.h"
#include "idempotency/detail/log_shard.h"

namespace limpetlink {
namespace {

constexpr Duration kReloadDelay = std::chrono::milliseconds(20);
/// How long the last known end of the log is assumed to be current. Affects
/// only efficiency: if the assumption is wrong, a create collides.
constexpr Duration kViewLifetime = std::chrono::seconds(1);

bool IsFailure(LogOperationStatus status) {
  return status == LogOperationStatus::kUnavailable ||
         status == LogOperationStatus::kLost;
}

std::uint64_t ParseSequence(const std::string& name) {
  const std::size_t cut = name.rfind('/');
  const absl::string_view digits =
      absl::string_view(name).substr(cut == std::string::npos ? 0 : cut + 1);
  std::uint64_t sequence = 0;
  return absl::SimpleAtoi(digits, &sequence) ? sequence : 0;
}

}  // namespace

std::string LogShard::SegmentPrefix() const {
  return absl::StrFormat("log/%04d/", this->index);
}

std::string LogShard::SegmentName(std::uint64_t sequence) const {
  return absl::StrFormat("log/%04d/%016d", this->index, sequence);
}

std::string LogShard::FloorPrefix() const {
  return absl::StrFormat("log-floor/%04d/", this->index);
}

void LogShard::Create(LogContext& context, Step step, const std::string& name,
                      const std::string& bytes) {
  ++this->counts.creates;
  this->step = step;
  this->operation = LogOperationId{context.NextNumber()};
  context.out.emplace_back(LogCreate{this->operation, name, bytes});
}

void LogShard::Read(LogContext& context, Step step, const std::string& name) {
  ++this->counts.reads;
  this->step = step;
  this->operation = LogOperationId{context.NextNumber()};
  context.out.emplace_back(LogRead{this->operation, name});
}

void LogShard::List(LogContext& context, Step step, const std::string& prefix) {
  ++this->counts.lists;
  this->step = step;
  this->operation = LogOperationId{context.NextNumber()};
  context.out.emplace_back(LogList{this->operation, prefix});
}

void LogShard::Delete(LogContext& context, const std::string& name) {
  ++this->counts.deletes;
  context.out.emplace_back(
      LogDelete{LogOperationId{context.NextNumber()}, name});
}

void LogShard::StartNextOperation(LogContext& context) {
  if (this->operation != LogOperationId{} || context.now < this->retry_at) {
    return;
  }
  if (this->write) {
    if (this->step == Step::kCheckingWrite) {
      this->List(context, Step::kCheckingWrite, this->FloorPrefix());
    } else {
      this->Read(context, Step::kReadingBack,
                 this->SegmentName(this->write->sequence));
    }
    return;
  }
  if (!this->loaded) {
    if (this->load_requested || !this->Idle()) {
      this->StartLoad(context);
    }
    return;
  }
  std::vector<RequestId> writing;
  bool tail = this->unavailable;
  const std::set<RequestId> requests = this->waiting;
  for (const RequestId request : requests) {
    const Requirement requirement =
        this->Decide(context, this->claims.at(request));
    tail = tail || requirement == Requirement::kTailRead;
    if (requirement == Requirement::kWrite) {
      writing.push_back(request);
    }
  }
  if (!this->unavailable && context.now >= this->next_write_at) {
    if (this->IsCompactionDue()) {
      // A checkpoint may only be built from a verified view.
      if (this->verified_sequence == this->next_sequence) {
        this->StartCompaction(context);
      } else {
        this->ReadTail(context);
      }
      return;
    }
    if (!writing.empty() || !this->records.empty()) {
      // A read is cheaper for the platform than a create that collides.
      if (context.now < this->view_fresh_until) {
        this->StartWrite(context, writing);
      } else {
        this->ReadTail(context, true);
      }
      return;
    }
  }
  if (tail) {
    this->ReadTail(context);
  }
}

void LogShard::HandleResult(LogContext& context,
                            const LogOperationResult& result) {
  if (result.operation != this->operation) {
    return;
  }
  this->operation = LogOperationId{};
  if (IsFailure(result.status)) {
    this->HandleFailure(context, result.status);
    this->StartNextOperation(context);
    return;
  }
  this->unavailable = false;
  this->backoff = Duration(0);
  this->retry_at = context.now;
  switch (this->step) {
    case Step::kIdle:
      break;
    case Step::kListing:
      this->HandleSegmentList(context, result);
      break;
    case Step::kReadingNewest:
      this->HandleNewestSegment(context, result);
      break;
    case Step::kReadingCheckpoint:
      this->HandleCheckpoint(context, result);
      break;
    case Step::kReadingCheckpointPart:
      this->HandlePart(context, result);
      break;
    case Step::kReadingTail:
      this->HandleTail(context, result);
      break;
    case Step::kCheckingTail:
      this->HandleTailCheck(context, result);
      break;
    case Step::kCreating:
      this->HandleCreated(context, result);
      break;
    case Step::kReadingBack:
      this->HandleReadBack(context, result);
      break;
    case Step::kCheckingWrite:
      this->HandleWriteCheck(context, result);
      break;
    case Step::kCreatingPart:
      this->HandlePartCreated(context);
      break;
    case Step::kCreatingFloor:
      this->HandleFloorCreated(context);
      break;
  }
  this->StartNextOperation(context);
}

void LogShard::BackOff(LogContext& context) {
  this->unavailable = true;
  this->backoff =
      this->backoff == Duration(0)
          ? context.options.retry_backoff
          : std::min(this->backoff * 2, context.options.max_retry_backoff);
  this->retry_at = context.now + this->backoff;
}

void LogShard::HandleFailure(LogContext& context, LogOperationStatus status) {
  if (status == LogOperationStatus::kLost) {
    ++this->counts.lost_responses;
  }
  if (this->write) {
    this->HandleWriteFailure(context, status);
    return;
  }
  this->BackOff(context);
  if (this->step == Step::kCreatingFloor) {
    this->compaction.reset();  // keep its checkpoint; delete nothing
  } else if (this->compaction) {
    this->AbortCompaction(context);
  }
  if (!this->loaded) {
    this->Unload();
  }
  this->step = Step::kIdle;
  this->RefuseWaiting(context);
}

void LogShard::Unload() {
  this->table = KeyTable();
  this->loaded = false;
  this->next_sequence = 1;
  this->verified_sequence = 1;
  this->checkpoint_sequence = 0;
  this->segments_since_checkpoint = 0;
  this->bytes_since_checkpoint = 0;
  this->present_segments.clear();
  this->step = Step::kIdle;
}

void LogShard::StartLoad(LogContext& context) {
  this->Unload();
  this->load_requested = true;
  this->List(context, Step::kListing, this->SegmentPrefix());
}

void LogShard::HandleSegmentList(LogContext& context,
                                 const LogOperationResult& result) {
  for (const std::string& name : result.names) {
    this->present_segments.insert(ParseSequence(name));
  }
  if (this->present_segments.empty()) {
    this->ReadTail(context);
    return;
  }
  this->Read(context, Step::kReadingNewest,
             this->SegmentName(*this->present_segments.rbegin()));
}

void LogShard::HandleNewestSegment(LogContext& context,
                                   const LogOperationResult& result) {
  const auto segment = DecodeSegment(result.bytes);
  if (result.status != LogOperationStatus::kFound || !segment.ok()) {
    this->Unload();  // deleted since the list: list again
    this->retry_at = context.now + kReloadDelay;
    return;
  }
  this->checkpoint_sequence = segment->is_checkpoint
                                  ? *this->present_segments.rbegin()
                                  : segment->checkpoint_sequence;
  if (this->checkpoint_sequence == 0) {
    this->ReadTail(context);
    return;
  }
  this->Read(context, Step::kReadingCheckpoint,
             this->SegmentName(this->checkpoint_sequence));
}

void LogShard::HandleCheckpoint(LogContext& context,
                                const LogOperationResult& result) {
  const auto segment = DecodeSegment(result.bytes);
  const bool found = result.status == LogOperationStatus::kFound &&
                     segment.ok() && segment->is_checkpoint;
  if (!found) {
    this->Unload();
    this->retry_at = context.now + kReloadDelay;
    return;
  }
  this->loading_checkpoint = segment->checkpoint;
  this->loading_part = 0;
  this->ReadNextPart(context);
}

void LogShard::ReadNextPart(LogContext& context) {
  if (this->loading_part < this->loading_checkpoint.parts.size()) {
    this->Read(context, Step::kReadingCheckpointPart,
               this->loading_checkpoint.parts[this->loading_part].name);
    return;
  }
  this->table.ApplyCheckpoint(this->loading_checkpoint);
  this->verified_sequence = this->checkpoint_sequence;
  this->next_sequence = this->checkpoint_sequence + 1;
  this->ReadTail(context);
}

void LogShard::HandlePart(LogContext& context,
                          const LogOperationResult& result) {
  const auto entries = DecodePart(result.bytes);
  if (result.status != LogOperationStatus::kFound || !entries.ok()) {
    this->Unload();
    this->retry_at = context.now + kReloadDelay;
    return;
  }
  this->table.ApplyPart(*entries);
  ++this->loading_part;
  this->ReadNextPart(context);
}

void LogShard::MarkViewFresh(const LogContext& context) {
  this->view_fresh_until = context.now + kViewLifetime;
}

void LogShard::ReadTail(LogContext& context, bool for_write) {
  this->tail_for_write = for_write;
  this->Read(context, Step::kReadingTail,
             this->SegmentName(this->next_sequence));
}

void LogShard::HandleTail(LogContext& context,
                          const LogOperationResult& result) {
  if (result.status == LogOperationStatus::kFound) {
    const auto segment = DecodeSegment(result.bytes);
    if (!segment.ok()) {
      this->HandleFailure(context, LogOperationStatus::kUnavailable);
      return;
    }
    this->ApplySegment(*segment, result.bytes.size());
    this->last_segment_owned = false;
    this->ReadTail(context, this->tail_for_write);
    return;
  }
  this->MarkViewFresh(context);
  if (this->tail_for_write) {
    this->step = Step::kIdle;  // the write has its own check
    return;
  }
  this->last_tail_read = result.operation;
  this->List(context, Step::kCheckingTail, this->FloorPrefix());
}

void LogShard::HandleTailCheck(LogContext& context,
                               const LogOperationResult& result) {
  if (this->UpdateFloors(result.names) > this->verified_sequence) {
    ++this->counts.stale_views;
    this->Unload();
    this->retry_at = context.now + kReloadDelay;
    return;
  }
  this->verified_sequence = this->next_sequence;
  this->loaded = true;
  this->step = Step::kIdle;
  // Claims that arrived before this read started may be decided by its result.
  for (const RequestId request : this->waiting) {
    ClaimEntry& claim = this->claims.at(request);
    claim.tail_confirmed =
        claim.tail_confirmed || claim.arrival < this->last_tail_read.value;
  }
}

std::uint64_t LogShard::UpdateFloors(const std::vector<std::string>& names) {
  this->floors.insert(names.begin(), names.end());
  std::uint64_t floor = 0;
  for (const std::string& name : names) {
    floor = std::max(floor, ParseSequence(name));
  }
  return floor;
}

void LogShard::ApplySegment(const Segment& segment, std::size_t bytes) {
  this->table.Apply(segment);
  this->present_segments.insert(this->next_sequence);
  ++this->segments_since_checkpoint;
  this->bytes_since_checkpoint += bytes;
  if (segment.is_checkpoint) {
    this->checkpoint_sequence = this->next_sequence;
    this->segments_since_checkpoint = 0;
    this->bytes_since_checkpoint = 0;
  }
  ++this->next_sequence;
}

}  // namespace limpetlink
