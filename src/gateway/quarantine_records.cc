#include "gateway/detail/quarantine_records.h"

#include <set>

#include "decoding/decoding.h"
#include "quarantine/detail/evidence_json.h"

namespace limpetlink {
namespace {

constexpr Duration kListRetryInterval = std::chrono::milliseconds(1000);

}  // namespace

void QuarantineRecords::Tick(Instant now) {
  if (this->kind.empty()) {
    this->next_list = kNever;
  }
  if (this->next_list > now) {
    return;
  }
  this->next_list = kNever;
  const StoreOp op = this->store->ListRecords(now, this->kind, "", true);
  this->operations.emplace(op.value, std::string());
}

void QuarantineRecords::Update(Instant now) {
  if (this->kind.empty()) {
    return;
  }
  std::set<std::string> quarantined;
  for (const QuarantinedInput& input : this->quarantine->Quarantined(now)) {
    quarantined.insert(input.id);
    if (this->stored.count(input.id) > 0) {
      continue;
    }
    this->stored[input.id] = Record::kWriting;
    const StoreOp op = this->store->Put(
        now, {this->kind, input.id},
        ToJson(this->quarantine->ExportInput(now, input.id))
            .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
        WriteCondition::IfAbsent());
    this->operations.emplace(op.value, input.id);
  }
  for (auto& [input, record] : this->stored) {
    if (record != Record::kStored || quarantined.count(input) > 0) {
      continue;
    }
    record = Record::kDeleting;
    const StoreOp op =
        this->store->Delete(now, {this->kind, input}, WriteCondition{});
    this->operations.emplace(op.value, input);
  }
}

bool QuarantineRecords::OnResult(Instant now, const StoreResult& result) {
  const auto operation = this->operations.find(result.op.value);
  if (operation == this->operations.end()) {
    return false;
  }
  const std::string input = operation->second;
  this->operations.erase(operation);
  if (input.empty()) {
    if (result.status != StoreStatus::kOk) {
      this->next_list = now + kListRetryInterval;
      return true;
    }
    for (const ObjectRecord& record : result.records) {
      this->ApplyRecord(now, record);
    }
    return true;
  }
  const auto record = this->stored.find(input);
  if (record == this->stored.end()) {
    return true;  // the store was restored meanwhile
  }
  const bool writing = record->second == Record::kWriting;
  const bool done = result.status == StoreStatus::kOk ||
                    result.status == (writing ? StoreStatus::kConflict
                                              : StoreStatus::kAbsent);
  if (!done) {
    this->hooks.record_failed(input, std::string(ToText(result.status)));
  }
  // What failed is repeated with the next update.
  if (writing == done) {
    record->second = Record::kStored;
  } else {
    this->stored.erase(record);
  }
  return true;
}

void QuarantineRecords::ApplyRecord(Instant now, const ObjectRecord& record) {
  const std::optional<CrashEvidence> evidence =
      CrashEvidenceFromJson(DecodeJsonOrDiscard(record.bytes));
  this->stored[record.name] = Record::kStored;
  if (!evidence.has_value()) {
    this->hooks.record_failed(record.name, "unreadable");
    return;
  }
  if (this->quarantine->Merge(now, *evidence)) {
    this->hooks.evidence_changed(now);
  }
}

}  // namespace limpetlink
