#include "entry/detail/log_storage.h"

#include <utility>

namespace limpetlink {
namespace {

const std::string& ObjectKind() {
  static const std::string kind = "idempotency";
  return kind;
}

constexpr std::uint32_t kPageSize = 1000;

LogOperationStatus LogOperationStatusOf(const StoreResult& result) {
  const bool write =
      result.verb == StoreVerb::kPut || result.verb == StoreVerb::kDelete;
  switch (result.status) {
    case StoreStatus::kOk:
      break;
    case StoreStatus::kAbsent:
      return LogOperationStatus::kAbsent;
    case StoreStatus::kConflict:
      return LogOperationStatus::kExists;
    case StoreStatus::kUnknown:
      return write ? LogOperationStatus::kLost
                   : LogOperationStatus::kUnavailable;
    case StoreStatus::kUnchanged:
    case StoreStatus::kThrottled:
    case StoreStatus::kUnavailable:
    case StoreStatus::kRefused:
    case StoreStatus::kHistoryGone:
      return LogOperationStatus::kUnavailable;
  }
  switch (result.verb) {
    case StoreVerb::kPut:
      return LogOperationStatus::kCreated;
    case StoreVerb::kDelete:
      return LogOperationStatus::kDeleted;
    case StoreVerb::kList:
      return LogOperationStatus::kListed;
    default:
      return LogOperationStatus::kFound;
  }
}

}  // namespace

LogStorage::LogStorage(MetadataStoreClient& platform) : platform(platform) {}

void LogStorage::Start(Instant now, const LogCreate& create) {
  const StoreOp op =
      this->platform.Put(now, {ObjectKind(), create.name}, create.bytes,
                         WriteCondition::IfAbsent());
  this->open_operations.emplace(op, OpenOperation{create.operation, {}, {}});
}

void LogStorage::Start(Instant now, const LogRead& read) {
  const StoreOp op = this->platform.Get(now, {ObjectKind(), read.name});
  this->open_operations.emplace(op, OpenOperation{read.operation, {}, {}});
}

void LogStorage::Start(Instant now, const LogList& list) {
  this->RequestNextPage(now, OpenOperation{list.operation, list.prefix, {}});
}

void LogStorage::Start(Instant now, const LogDelete& remove) {
  const StoreOp op =
      this->platform.Delete(now, {ObjectKind(), remove.name}, {});
  this->open_operations.emplace(op, OpenOperation{remove.operation, {}, {}});
}

void LogStorage::RequestNextPage(Instant now, OpenOperation list) {
  const std::string after =
      list.names.empty() ? std::string() : list.names.back();
  const StoreOp op =
      this->platform.List(now, ObjectKind(), list.prefix, after, kPageSize);
  this->open_operations.emplace(op, std::move(list));
}

std::vector<LogOperationResult> LogStorage::OnStoreResult(
    Instant now, const StoreResult& result) {
  const auto found = this->open_operations.find(result.op);
  if (found == this->open_operations.end()) {
    return {};
  }
  OpenOperation finished = std::move(found->second);
  this->open_operations.erase(found);
  for (const ObjectEntry& entry : result.objects) {
    finished.names.push_back(entry.name);
  }
  if (result.objects.size() >= kPageSize) {
    this->RequestNextPage(now, std::move(finished));
    return {};
  }
  return {{finished.operation, LogOperationStatusOf(result), result.bytes,
           std::move(finished.names)}};
}

}  // namespace limpetlink
