#include <algorithm>
#include <iterator>
#include <utility>

#include "absl/strings/str_format.h"
#include "idempotency/detail/log_shard.h"

namespace limpetlink {

bool LogShard::IsCompactionDue() const {
  if (!this->loaded || this->write || this->compaction) {
    return false;
  }
  // The last writer compacts first. Other hosts wait for twice as many segments
  // and take over if it does not.
  const std::uint32_t threshold =
      this->segments_per_checkpoint * (this->last_segment_owned ? 1 : 2);
  return this->segments_since_checkpoint >= threshold;
}

void LogShard::StartCompaction(LogContext& context) {
  const std::int64_t kept_ms = context.options.retention.count() +
                               context.options.retention_margin.count();
  Compaction compaction;
  Checkpoint& checkpoint = compaction.segment.checkpoint;
  checkpoint.cutoff_ms = std::max<std::int64_t>(0, context.unix_ms - kept_ms);
  for (const CheckpointPart& part : this->table.Parts()) {
    if (part.sealed && part.newest_ms > checkpoint.cutoff_ms) {
      checkpoint.parts.push_back(part);
    } else {
      compaction.unused.push_back(part.name);
    }
  }
  const auto entries = this->table.UnsealedEntries(checkpoint.cutoff_ms);
  compaction.part_name =
      absl::StrFormat("log-part/%04d/%s", this->index, context.NextName());
  compaction.part_bytes = EncodePart(entries);
  CheckpointPart part;
  part.name = compaction.part_name;
  part.sealed =
      compaction.part_bytes.size() >= context.options.sealed_part_bytes;
  for (const KeyedEntry& keyed : entries) {
    part.newest_ms = std::max(part.newest_ms, keyed.entry.at_ms);
  }
  checkpoint.parts.push_back(std::move(part));
  compaction.segment.is_checkpoint = true;
  compaction.segment.nonce = context.NextName();
  compaction.segment.checkpoint_sequence = this->checkpoint_sequence;
  this->compaction = std::move(compaction);
  this->Create(context, Step::kCreatingPart, this->compaction->part_name,
               this->compaction->part_bytes);
}

void LogShard::HandlePartCreated(LogContext& context) {
  Write write;
  write.segment = this->compaction->segment;
  this->write = std::move(write);
  this->CreateSegment(context);
}

void LogShard::AbortCompaction(LogContext& context) {
  this->Delete(context, this->compaction->part_name);
  this->compaction.reset();
}

void LogShard::CreateFloor(LogContext& context) {
  const std::string name = absl::StrFormat("%s%016d", this->FloorPrefix(),
                                           this->checkpoint_sequence);
  this->Create(context, Step::kCreatingFloor, name, "");
}

void LogShard::HandleFloorCreated(LogContext& context) {
  const std::string own = absl::StrFormat("%s%016d", this->FloorPrefix(),
                                          this->checkpoint_sequence);
  while (!this->present_segments.empty() &&
         *this->present_segments.begin() < this->checkpoint_sequence) {
    this->Delete(context, this->SegmentName(*this->present_segments.begin()));
    this->present_segments.erase(this->present_segments.begin());
  }
  for (const std::string& name : this->compaction->unused) {
    this->Delete(context, name);
  }
  for (auto it = this->floors.begin(); it != this->floors.end();) {
    const bool older = *it < own;
    if (older) {
      this->Delete(context, *it);
    }
    it = older ? this->floors.erase(it) : std::next(it);
  }
  this->floors.insert(own);
  this->compaction.reset();
  this->step = Step::kIdle;
}

}  // namespace limpetlink
