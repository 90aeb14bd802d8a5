#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

#include "configuration/configuration.h"
#include "decoding/decoding.h"

namespace limpetlink {
namespace {

using Json = nlohmann::json;

constexpr Duration kRetryDelay = std::chrono::milliseconds(300);
constexpr int kVersionDigits = 12;

std::string StringMember(const Json& value, const char* member) {
  const auto found = value.is_object() ? value.find(member) : value.end();
  const bool is_text =
      value.is_object() && found != value.end() && found->is_string();
  return is_text ? found->get<std::string>() : std::string();
}

std::string ReadChangeId(std::string_view json) {
  return StringMember(DecodeJsonOrDiscard(json), "change_id");
}

/// @brief Returns the history record of a version. Every writer produces the
/// same record.
std::string HistoryRecord(std::uint64_t version, const std::string& text) {
  const Json document = DecodeJsonOrDiscard(text);
  const Json record = {{"version", version},
                       {"change_id", StringMember(document, "change_id")},
                       {"author", StringMember(document, "author")},
                       {"sha256", Sha256Hex(text)}};
  return record.dump(-1, ' ', false, Json::error_handler_t::replace);
}

bool Succeeded(StoreStatus status) { return status == StoreStatus::kOk; }

}  // namespace

absl::StatusOr<std::string> StampChange(std::string_view json,
                                        std::string_view change_id,
                                        std::string_view author) {
  Json document = DecodeJsonOrDiscard(json);
  if (!document.is_object()) {
    return MakeStatus(ErrorCode::kFleetMalformed, "not a JSON object");
  }
  document["change_id"] = change_id;
  document["author"] = author;
  return CanonicalText(
      document.dump(-1, ' ', false, Json::error_handler_t::replace));
}

std::string HistoryName(const std::string& fleet_name, std::uint64_t version) {
  std::string digits = std::to_string(version);
  const std::size_t missing =
      kVersionDigits - std::min<std::size_t>(kVersionDigits, digits.size());
  return fleet_name + "/" + std::string(missing, '0') + digits;
}

FleetChangeOperation::FleetChangeOperation(MetadataStoreClient* platform,
                                           FleetChange change, Duration limit)
    : platform(platform), change(std::move(change)), limit(limit) {}

void FleetChangeOperation::Start(Instant now) {
  this->deadline = now + this->limit;
  this->StartStep(now, Step::kRead);
}

bool FleetChangeOperation::IsOwn(std::string_view json) const {
  return ReadChangeId(json) == this->change.change_id;
}

void FleetChangeOperation::StartStep(Instant now, Step step) {
  const ObjectKey fleet{std::string(kFleetKind), this->change.fleet_name};
  const std::string history(kFleetHistoryKind);
  const std::uint64_t base = this->change.base_version;
  const WriteCondition condition =
      base == 0 ? WriteCondition::IfAbsent() : WriteCondition::IfVersion(base);
  this->step = step;
  this->retry_at = kNever;
  switch (step) {
    case Step::kRead:
    case Step::kReadBack:
      this->op = this->platform->Get(now, fleet).value;
      break;
    case Step::kArchive:
      this->op =
          this->platform
              ->Put(now, {history, HistoryName(this->change.fleet_name, base)},
                    HistoryRecord(base, this->latest_text),
                    WriteCondition::IfAbsent())
              .value;
      break;
    case Step::kWrite:
      this->op =
          this->platform->Put(now, fleet, this->change.text, condition).value;
      break;
    case Step::kReadHistory:
      this->op =
          this->platform
              ->Get(now,
                    {history, HistoryName(this->change.fleet_name, base + 1)})
              .value;
      break;
    case Step::kDone:
      break;
  }
}

void FleetChangeOperation::ScheduleRetry(Instant now) {
  this->op = 0;
  this->retry_at = now + kRetryDelay;
}

bool FleetChangeOperation::OnStoreResult(Instant now,
                                         const StoreResult& result) {
  if (this->op == 0 || result.op.value != this->op) {
    return false;
  }
  this->op = 0;
  switch (this->step) {
    case Step::kRead:
      this->HandleRead(now, result);
      break;
    case Step::kArchive:
      this->HandleArchive(now, result);
      break;
    case Step::kWrite:
      this->HandleWrite(now, result);
      break;
    case Step::kReadBack:
      this->HandleReadBack(now, result);
      break;
    case Step::kReadHistory:
      this->HandleHistory(now, result);
      break;
    case Step::kDone:
      break;
  }
  return true;
}

void FleetChangeOperation::HandleRead(Instant now, const StoreResult& read) {
  const std::uint64_t base = this->change.base_version;
  if (read.status == StoreStatus::kAbsent) {
    if (base == 0) {
      this->StartStep(now, Step::kWrite);
    } else {
      this->FinishConflict();
    }
    return;
  }
  if (!Succeeded(read.status)) {
    this->ScheduleRetry(now);
    return;
  }
  this->latest_version = read.version;
  this->latest_text = read.bytes;
  if (this->IsOwn(read.bytes)) {
    this->FinishApplied(now, read.version);
  } else if (read.version == base) {
    this->StartStep(now, Step::kArchive);
  } else if (read.version > base + 1) {
    // An earlier attempt may have produced base + 1.
    this->StartStep(now, Step::kReadHistory);
  } else {
    this->FinishConflict();
  }
}

void FleetChangeOperation::HandleArchive(Instant now,
                                         const StoreResult& result) {
  const bool kept =
      Succeeded(result.status) || result.status == StoreStatus::kConflict;
  if (kept) {
    this->StartStep(now, Step::kWrite);
  } else {
    this->ScheduleRetry(now);
  }
}

void FleetChangeOperation::HandleWrite(Instant now, const StoreResult& result) {
  switch (result.status) {
    case StoreStatus::kOk:
      this->FinishApplied(now, result.version);
      return;
    case StoreStatus::kConflict:
      this->StartStep(now, Step::kReadBack);
      return;
    case StoreStatus::kUnknown:
      this->write_may_apply = true;
      this->StartStep(now, Step::kReadBack);
      return;
    case StoreStatus::kRefused:
      this->Finish(this->write_may_apply ? ApplyOutcome::kUnknown
                                         : ApplyOutcome::kNotApplied);
      return;
    default:
      this->ScheduleRetry(now);
      return;
  }
}

void FleetChangeOperation::HandleReadBack(Instant now,
                                          const StoreResult& read) {
  const std::uint64_t base = this->change.base_version;
  const WriteCondition condition =
      base == 0 ? WriteCondition::IfAbsent() : WriteCondition::IfVersion(base);
  const auto is_own = [this](std::string_view json) {
    return this->IsOwn(json);
  };
  const WriteOutcome outcome = ResolveByReadBack(condition, read, is_own);
  if (Succeeded(read.status)) {
    this->latest_version = read.version;
    this->latest_text = read.bytes;
  }
  switch (outcome) {
    case WriteOutcome::kApplied:
      this->FinishApplied(now, base + 1);
      return;
    case WriteOutcome::kNotApplied:
      this->FinishConflict();
      return;
    case WriteOutcome::kRetry:
      this->StartStep(now, Step::kWrite);
      return;
    case WriteOutcome::kUndetermined:
      this->StartStep(now, Step::kReadHistory);
      return;
    case WriteOutcome::kReadFailed:
      this->ScheduleRetry(now);
      return;
  }
}

void FleetChangeOperation::HandleHistory(Instant now, const StoreResult& read) {
  if (read.status == StoreStatus::kAbsent) {
    // The writer of version base + 2 created no history record, so the outcome
    // cannot be determined.
    this->Finish(ApplyOutcome::kUnknown);
    return;
  }
  if (!Succeeded(read.status)) {
    this->ScheduleRetry(now);
    return;
  }
  if (this->IsOwn(read.bytes)) {
    this->FinishApplied(now, this->change.base_version + 1);
  } else {
    this->FinishConflict();
  }
}

void FleetChangeOperation::FinishApplied(Instant now, std::uint64_t version) {
  this->Finish(ApplyOutcome::kApplied);
  this->result->version = version;
  this->result->current_version = std::max(version, this->latest_version);
  if (version > kMaxHistoryVersions) {
    const std::uint64_t old = version - kMaxHistoryVersions;
    this->platform->Delete(now,
                           {std::string(kFleetHistoryKind),
                            HistoryName(this->change.fleet_name, old)},
                           WriteCondition{});
  }
}

void FleetChangeOperation::FinishConflict() {
  this->Finish(ApplyOutcome::kConflict);
  this->result->current_version = this->latest_version;
  this->result->current_text = this->latest_text;
  this->result->difference =
      DifferenceAsPatch(this->change.base_text, this->latest_text);
}

void FleetChangeOperation::Finish(ApplyOutcome outcome) {
  this->step = Step::kDone;
  this->op = 0;
  this->retry_at = kNever;
  this->deadline = kNever;
  this->result = ApplyResult{};
  this->result->outcome = outcome;
}

void FleetChangeOperation::Tick(Instant now) {
  if (this->result) {
    return;
  }
  if (this->deadline <= now) {
    if (this->op != 0) {
      this->write_may_apply =
          this->write_may_apply || this->step == Step::kWrite;
      this->platform->Cancel(StoreOp{this->op});
    }
    this->Finish(this->write_may_apply ? ApplyOutcome::kUnknown
                                       : ApplyOutcome::kNotApplied);
    return;
  }
  if (this->retry_at <= now) {
    this->StartStep(now, this->step);
  }
}

Instant FleetChangeOperation::NextWakeup() const {
  return std::min(this->deadline, this->retry_at);
}

}  // namespace limpetlink
