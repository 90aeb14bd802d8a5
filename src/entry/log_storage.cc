#include "entry/detail/log_storage.h"

#include <utility>

namespace limpetlink {
namespace {

const std::string& Kind() {
  static const std::string kind = "idempotency";
  return kind;
}

constexpr std::uint32_t kPageRows = 1000;

LogOperationEnd EndOf(const StoreResult& result) {
  const bool write =
      result.verb == StoreVerb::kPut || result.verb == StoreVerb::kDelete;
  switch (result.status) {
    case StoreStatus::kOk:
      break;
    case StoreStatus::kAbsent:
      return LogOperationEnd::kAbsent;
    case StoreStatus::kConflict:
      return LogOperationEnd::kExists;
    case StoreStatus::kUnknown:
      return write ? LogOperationEnd::kLost : LogOperationEnd::kUnavailable;
    case StoreStatus::kUnchanged:
    case StoreStatus::kThrottled:
    case StoreStatus::kUnavailable:
    case StoreStatus::kRefused:
    case StoreStatus::kHistoryGone:
      return LogOperationEnd::kUnavailable;
  }
  switch (result.verb) {
    case StoreVerb::kPut:
      return LogOperationEnd::kCreated;
    case StoreVerb::kDelete:
      return LogOperationEnd::kDeleted;
    case StoreVerb::kList:
      return LogOperationEnd::kListed;
    default:
      return LogOperationEnd::kFound;
  }
}

}  // namespace

LogStorage::LogStorage(MetadataStoreClient& platform) : platform(platform) {}

void LogStorage::Start(Instant now, const LogCreate& create) {
  const StoreOp op = this->platform.Put(
      now, {Kind(), create.name}, create.bytes, WriteCondition::IfAbsent());
  this->open.emplace(op, Open{create.operation, {}, {}});
}

void LogStorage::Start(Instant now, const LogRead& read) {
  const StoreOp op = this->platform.Get(now, {Kind(), read.name});
  this->open.emplace(op, Open{read.operation, {}, {}});
}

void LogStorage::Start(Instant now, const LogList& list) {
  this->NextPage(now, Open{list.operation, list.prefix, {}});
}

void LogStorage::Start(Instant now, const LogDelete& remove) {
  const StoreOp op = this->platform.Delete(now, {Kind(), remove.name}, {});
  this->open.emplace(op, Open{remove.operation, {}, {}});
}

void LogStorage::NextPage(Instant now, Open list) {
  const std::string after =
      list.names.empty() ? std::string() : list.names.back();
  const StoreOp op =
      this->platform.List(now, Kind(), list.prefix, after, kPageRows);
  this->open.emplace(op, std::move(list));
}

std::vector<LogOperationResult> LogStorage::Take(Instant now,
                                                 const StoreResult& result) {
  const auto found = this->open.find(result.op);
  if (found == this->open.end()) {
    return {};
  }
  Open ended = std::move(found->second);
  this->open.erase(found);
  for (const ObjectEntry& entry : result.objects) {
    ended.names.push_back(entry.name);
  }
  if (result.objects.size() >= kPageRows) {
    this->NextPage(now, std::move(ended));
    return {};
  }
  return {
      {ended.operation, EndOf(result), result.bytes, std::move(ended.names)}};
}

}  // namespace limpetlink
