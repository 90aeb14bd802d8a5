#include "idempotency/detail/key_table.h"

#include <algorithm>
#include <utility>

namespace limpetlink {

void KeyTable::Apply(const Segment& segment) {
  for (const LogRecord& record : segment.records) {
    std::visit([this](const auto& content) { this->Apply(content); }, record);
  }
  if (segment.is_checkpoint) {
    this->ApplyCheckpoint(segment.checkpoint);
  }
}

void KeyTable::Apply(const IntentRecord& record) {
  const auto found = this->entries.find(record.key);
  const bool free = found == this->entries.end() ||
                    found->second.state == KeyState::kWithdrawn ||
                    found->second.claim == record.replaces;
  if (!free) {
    return;
  }
  KeyEntry entry;
  entry.claim = record.claim;
  entry.body_digest = record.body_digest;
  const bool exists = found != this->entries.end();
  entry.at_ms =
      exists ? std::max(record.at_ms, found->second.at_ms) : record.at_ms;
  this->entries.insert_or_assign(record.key, std::move(entry));
  this->unsealed_keys.insert(record.key);
}

void KeyTable::Apply(const OutcomeRecord& record) {
  const auto found = this->entries.find(record.key);
  if (found == this->entries.end() || found->second.claim != record.claim ||
      found->second.state != KeyState::kPending) {
    return;
  }
  found->second.state = KeyState::kDone;
  found->second.at_ms = std::max(record.at_ms, found->second.at_ms);
  found->second.outcome = record.outcome;
  this->unsealed_keys.insert(record.key);
}

void KeyTable::Apply(const WithdrawRecord& record) {
  const auto found = this->entries.find(record.key);
  if (found == this->entries.end() || found->second.claim != record.claim ||
      found->second.state != KeyState::kPending) {
    return;
  }
  found->second.state = KeyState::kWithdrawn;
  found->second.at_ms = std::max(record.at_ms, found->second.at_ms);
  this->unsealed_keys.insert(record.key);
}

void KeyTable::ApplyPart(const std::vector<KeyedEntry>& entries) {
  this->unsealed_keys.clear();
  for (const KeyedEntry& keyed : entries) {
    this->entries.insert_or_assign(keyed.key, keyed.entry);
    this->unsealed_keys.insert(keyed.key);
  }
}

void KeyTable::ApplyCheckpoint(const Checkpoint& checkpoint) {
  this->parts = checkpoint.parts;
  if (this->parts.empty() || this->parts.back().sealed) {
    this->unsealed_keys.clear();
  }
  this->RemoveExpired(checkpoint.cutoff_ms);
}

void KeyTable::RemoveExpired(std::int64_t cutoff_ms) {
  for (auto it = this->entries.begin(); it != this->entries.end();) {
    if (it->second.at_ms <= cutoff_ms) {
      this->unsealed_keys.erase(it->first);
      it = this->entries.erase(it);
    } else {
      ++it;
    }
  }
}

const KeyEntry* KeyTable::Find(const KeyDigest& key) const {
  const auto found = this->entries.find(key);
  return found == this->entries.end() ? nullptr : &found->second;
}

std::vector<KeyedEntry> KeyTable::UnsealedEntries(
    std::int64_t cutoff_ms) const {
  std::vector<KeyedEntry> unsealed;
  for (const KeyDigest& key : this->unsealed_keys) {
    const KeyEntry& entry = this->entries.at(key);
    if (entry.at_ms > cutoff_ms) {
      unsealed.push_back({key, entry});
    }
  }
  return unsealed;
}

}  // namespace limpetlink
