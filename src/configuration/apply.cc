#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

#include "configuration/configuration.h"

namespace limpetlink {
namespace {

using Json = nlohmann::json;

constexpr Duration kPause = std::chrono::milliseconds(300);
constexpr int kVersionDigits = 12;

std::string ReadText(const Json& value, const char* member) {
  const auto found = value.is_object() ? value.find(member) : value.end();
  const bool is_text =
      value.is_object() && found != value.end() && found->is_string();
  return is_text ? found->get<std::string>() : std::string();
}

std::string ChangeIdOf(std::string_view json) {
  return ReadText(Json::parse(json, nullptr, false), "change_id");
}

/// @brief The record that tells whose change a version was; equal for every
/// writer.
std::string HistoryRecord(std::uint64_t version, const std::string& text) {
  const Json document = Json::parse(text, nullptr, false);
  const Json record = {{"version", version},
                       {"change_id", ReadText(document, "change_id")},
                       {"author", ReadText(document, "author")},
                       {"sha256", Sha256Hex(text)}};
  return record.dump(-1, ' ', false, Json::error_handler_t::replace);
}

bool Ran(StoreStatus status) { return status == StoreStatus::kOk; }

}  // namespace

absl::StatusOr<std::string> StampChange(std::string_view json,
                                        std::string_view change_id,
                                        std::string_view author) {
  Json document = Json::parse(json, nullptr, false);
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

ApplyFleet::ApplyFleet(MetadataStoreClient* platform, FleetChange change,
                       Duration limit)
    : platform(platform), change(std::move(change)), limit(limit) {}

void ApplyFleet::Start(Instant now) {
  this->deadline = now + this->limit;
  this->Begin(now, Step::kRead);
}

bool ApplyFleet::IsOwn(std::string_view json) const {
  return ChangeIdOf(json) == this->change.change_id;
}

void ApplyFleet::Begin(Instant now, Step step) {
  const ObjectKey fleet{std::string(kFleetKind), this->change.fleet_name};
  const std::string history(kFleetHistoryKind);
  const std::uint64_t base = this->change.base_version;
  const WriteCondition condition =
      base == 0 ? WriteCondition::IfAbsent() : WriteCondition::IfVersion(base);
  this->step = step;
  this->again_at = kNever;
  switch (step) {
    case Step::kRead:
    case Step::kReadBack:
      this->op = this->platform->Get(now, fleet).value;
      break;
    case Step::kArchive:
      this->op =
          this->platform
              ->Put(now, {history, HistoryName(this->change.fleet_name, base)},
                    HistoryRecord(base, this->seen_text),
                    WriteCondition::IfAbsent())
              .value;
      break;
    case Step::kWrite:
      this->op =
          this->platform->Put(now, fleet, this->change.text, condition).value;
      break;
    case Step::kHistory:
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

void ApplyFleet::Again(Instant now) {
  this->op = 0;
  this->again_at = now + kPause;
}

bool ApplyFleet::OnPlatform(Instant now, const StoreResult& result) {
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
    case Step::kHistory:
      this->HandleHistory(now, result);
      break;
    case Step::kDone:
      break;
  }
  return true;
}

void ApplyFleet::HandleRead(Instant now, const StoreResult& read) {
  const std::uint64_t base = this->change.base_version;
  if (read.status == StoreStatus::kAbsent) {
    if (base == 0) {
      this->Begin(now, Step::kWrite);
    } else {
      this->Conflict();
    }
    return;
  }
  if (!Ran(read.status)) {
    this->Again(now);
    return;
  }
  this->seen_version = read.version;
  this->seen_text = read.bytes;
  if (this->IsOwn(read.bytes)) {
    this->Applied(now, read.version);
  } else if (read.version == base) {
    this->Begin(now, Step::kArchive);
  } else if (read.version > base + 1) {
    this->Begin(now, Step::kHistory);  // an earlier try may stand at base + 1
  } else {
    this->Conflict();
  }
}

void ApplyFleet::HandleArchive(Instant now, const StoreResult& answer) {
  const bool kept =
      Ran(answer.status) || answer.status == StoreStatus::kConflict;
  if (kept) {
    this->Begin(now, Step::kWrite);
  } else {
    this->Again(now);
  }
}

void ApplyFleet::HandleWrite(Instant now, const StoreResult& answer) {
  switch (answer.status) {
    case StoreStatus::kOk:
      this->Applied(now, answer.version);
      return;
    case StoreStatus::kConflict:
      this->Begin(now, Step::kReadBack);
      return;
    case StoreStatus::kUnknown:
      this->write_may_run = true;
      this->Begin(now, Step::kReadBack);
      return;
    case StoreStatus::kRefused:
      this->End(this->write_may_run ? ApplyOutcome::kUnknown
                                    : ApplyOutcome::kNotApplied);
      return;
    default:
      this->Again(now);
      return;
  }
}

void ApplyFleet::HandleReadBack(Instant now, const StoreResult& read) {
  const std::uint64_t base = this->change.base_version;
  const WriteCondition condition =
      base == 0 ? WriteCondition::IfAbsent() : WriteCondition::IfVersion(base);
  const auto is_own = [this](std::string_view json) {
    return this->IsOwn(json);
  };
  const WriteOutcome verdict = ResolveByReadBack(condition, read, is_own);
  if (Ran(read.status)) {
    this->seen_version = read.version;
    this->seen_text = read.bytes;
  }
  switch (verdict) {
    case WriteOutcome::kApplied:
      this->Applied(now, base + 1);
      return;
    case WriteOutcome::kNotApplied:
      this->Conflict();
      return;
    case WriteOutcome::kRetry:
      this->Begin(now, Step::kWrite);
      return;
    case WriteOutcome::kUndetermined:
      this->Begin(now, Step::kHistory);
      return;
    case WriteOutcome::kReadFailed:
      this->Again(now);
      return;
  }
}

void ApplyFleet::HandleHistory(Instant now, const StoreResult& read) {
  if (read.status == StoreStatus::kAbsent) {
    // Whoever wrote version base + 2 did not keep the history: nobody can tell.
    this->End(ApplyOutcome::kUnknown);
    return;
  }
  if (!Ran(read.status)) {
    this->Again(now);
    return;
  }
  if (this->IsOwn(read.bytes)) {
    this->Applied(now, this->change.base_version + 1);
  } else {
    this->Conflict();
  }
}

void ApplyFleet::Applied(Instant now, std::uint64_t version) {
  this->End(ApplyOutcome::kApplied);
  this->result->version = version;
  this->result->current_version = std::max(version, this->seen_version);
  if (version > kKeptHistory) {
    const std::uint64_t old = version - kKeptHistory;
    this->platform->Delete(now,
                           {std::string(kFleetHistoryKind),
                            HistoryName(this->change.fleet_name, old)},
                           WriteCondition{});
  }
}

void ApplyFleet::Conflict() {
  this->End(ApplyOutcome::kConflict);
  this->result->current_version = this->seen_version;
  this->result->current_text = this->seen_text;
  this->result->difference =
      DifferenceAsPatch(this->change.base_text, this->seen_text);
}

void ApplyFleet::End(ApplyOutcome outcome) {
  this->step = Step::kDone;
  this->op = 0;
  this->again_at = kNever;
  this->deadline = kNever;
  this->result = ApplyResult{};
  this->result->outcome = outcome;
}

void ApplyFleet::Tick(Instant now) {
  if (this->result) {
    return;
  }
  if (this->deadline <= now) {
    if (this->op != 0) {
      this->write_may_run = this->write_may_run || this->step == Step::kWrite;
      this->platform->Cancel(StoreOp{this->op});
    }
    this->End(this->write_may_run ? ApplyOutcome::kUnknown
                                  : ApplyOutcome::kNotApplied);
    return;
  }
  if (this->again_at <= now) {
    this->Begin(now, this->step);
  }
}

Instant ApplyFleet::NextWakeup() const {
  return std::min(this->deadline, this->again_at);
}

}  // namespace limpetlink
